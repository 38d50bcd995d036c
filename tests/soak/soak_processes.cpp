#include "tests/soak/soak_processes.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <csignal>
#include <filesystem>
#include <fstream>
#include <stdexcept>
#include <thread>
#include <utility>

namespace curranttrail::soak {

namespace {
    constexpr std::chrono::milliseconds kPollInterval { 10 };
    // Time within which the system loads a program and its libraries.
    constexpr std::chrono::milliseconds kProgramLoadTime { 250 };
}

ChildProcess::ChildProcess(std::string program, std::string settingsFile, std::string logFile)
    : m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : m_program(std::move(other.m_program))
    , m_settingsFile(std::move(other.m_settingsFile))
    , m_logFile(std::move(other.m_logFile))
    , m_processId(std::exchange(other.m_processId, -1))
    , m_exitExpected(other.m_exitExpected)
    , m_unexpectedExit(std::move(other.m_unexpectedExit))
{
}

ChildProcess::~ChildProcess()
{
    if (!isRunning())
        return;
    ::kill(m_processId, SIGCONT);
    ::kill(m_processId, SIGKILL);
    m_exitExpected = true;
    reap(true);
}

void ChildProcess::start()
{
    if (isRunning())
        return;
    m_exitExpected = false;
    m_startedAt = std::chrono::steady_clock::now();
    m_processId = ::fork();
    if (m_processId < 0)
        throw std::runtime_error("cannot fork a process");
    if (m_processId > 0)
        return;
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    ::execl(m_program.c_str(), m_program.c_str(), m_settingsFile.c_str(), nullptr);
    ::_exit(127);
}

bool ChildProcess::reap(bool block)
{
    int status = 0;
    if (m_processId < 0 || ::waitpid(m_processId, &status, block ? 0 : WNOHANG) != m_processId)
        return false;
    m_processId = -1;
    if (!m_exitExpected)
        m_unexpectedExit = WIFSIGNALED(status) ? fmt::format("signal {}", WTERMSIG(status)) : fmt::format("status {}", WEXITSTATUS(status));
    return true;
}

bool ChildProcess::isRunning()
{
    reap(false);
    return m_processId >= 0;
}

void ChildProcess::signal(int number)
{
    if (!isRunning())
        return;
    if (number == SIGKILL || number == SIGTERM)
        m_exitExpected = true;
    if (number == SIGHUP)
        std::this_thread::sleep_until(m_startedAt + kProgramLoadTime);
    ::kill(m_processId, number);
}

bool ChildProcess::waitForExit(std::chrono::milliseconds limit)
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + limit;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() > deadline) {
            signal(SIGKILL);
            reap(true);
            return false;
        }
        std::this_thread::sleep_for(kPollInterval);
    }
    return true;
}

void replaceFile(const std::string& path, const std::string& text)
{
    std::ofstream(path + ".new") << text;
    std::filesystem::rename(path + ".new", path);
}

} // namespace curranttrail::soak
