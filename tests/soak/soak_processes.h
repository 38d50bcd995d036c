#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace curranttrail::soak {

// One program that the soak starts, signals and ends by its process id, and nothing else.
class ChildProcess {
public:
    ChildProcess(std::string program, std::string settingsFile, std::string logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void start();
    bool isRunning();
    // Does nothing if the process has ended. SIGHUP waits until the program has reached its own code: before that no program can
    // keep the signal's default effect away.
    void signal(int number);
    // Waits until the process has ended; kills it after the limit and returns false.
    bool waitForExit(std::chrono::milliseconds limit);
    // How the process ended although no signal of the soak explains it, such as "signal 11"; empty if it did not.
    const std::string& unexpectedExit() const { return m_unexpectedExit; }

private:
    bool reap(bool block);

    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_processId = -1;
    std::chrono::steady_clock::time_point m_startedAt;
    // A signal that ends the process was sent since its start.
    bool m_exitExpected = false;
    std::string m_unexpectedExit;
};

} // namespace curranttrail::soak
