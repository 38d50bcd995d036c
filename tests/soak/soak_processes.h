#pragma once

#include <chrono>
#include <string>
#include <sys/types.h>
#include <vector>

namespace curranttrail::soak {

// A child process that the soak test starts, signals and ends by its process id.
class ChildProcess {
public:
    ChildProcess(std::string program, std::string settingsFile, std::string logFile);
    ~ChildProcess();
    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess(const ChildProcess&) = delete;
    ChildProcess& operator=(const ChildProcess&) = delete;

    void start();
    bool isRunning();
    // Sends a signal to the process. Does nothing if it has exited. SIGHUP is delayed until the program has been loaded, since
    // its default action would end a process that has not yet reached main().
    void signal(int number);
    // Waits until the process has exited. Kills it after the limit and returns false.
    bool waitForExit(std::chrono::milliseconds limit);
    // Describes an exit that no signal of the soak test has caused, such as "signal 11". Empty if there was none.
    const std::string& unexpectedExit() const { return m_unexpectedExit; }

private:
    bool reap(bool block);

    std::string m_program;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_processId = -1;
    std::chrono::steady_clock::time_point m_startedAt;
    // True if SIGTERM or SIGKILL was sent since the last start.
    bool m_exitExpected = false;
    std::string m_unexpectedExit;
};

// Replaces a file at once, so that a process that starts meanwhile reads the old or the new text.
void replaceFile(const std::string& path, const std::string& text);

} // namespace curranttrail::soak
