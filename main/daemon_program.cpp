#include "main/daemon_program.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <cstdio>
#include <cstdlib>
#include <exception>
#include <fcntl.h>
#include <unistd.h>

namespace curranttrail {

namespace {
    constexpr const char* kSettingsVariable = "CURRANTTRAIL_CONFIG";
    // Events kept in memory for the timeline.
    constexpr std::size_t kRetainedEvents = 128;
    // Maximum number of log lines per second; further lines are counted and dropped.
    constexpr std::uint32_t kMaximumLinesPerSecond = 400;
}

int runWithErrorReport(std::string_view program, const std::function<int()>& body)
{
    try {
        return body();
    } catch (const TCLAP::ExitException& exit) {
        return exit.getExitStatus();
    } catch (const TCLAP::ArgException& error) {
        fmt::print(stderr, "{} {}\n", error.error(), error.argId());
        return kExitInvalidSettings;
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}: {}\n", program, error.what());
        return 1;
    }
}

ProgramArguments parseProgramArguments(int argc, const char* const* argv, const std::string& description)
{
    TCLAP::CmdLine line(description, ' ', CURRANTTRAIL_VERSION);
    line.setExceptionHandling(false);
    TCLAP::UnlabeledValueArg<std::string> settings("settings", "Settings file in TOML; by default the one that CURRANTTRAIL_CONFIG names.", false, "", "FILE", line);
    TCLAP::SwitchArg check("", "check", "Check the settings file and exit.", line);
    line.parse(argc, argv);
    std::string path = settings.getValue();
    const char* variable = std::getenv(kSettingsVariable);
    if (path.empty() && variable)
        path = variable;
    if (path.empty())
        throw TCLAP::ArgException("name a settings file or set CURRANTTRAIL_CONFIG", "settings");
    return { path, check.getValue() };
}

transport::EventSink::Options standardOutputLogOptions(const InstanceName& name)
{
    const int flags = ::fcntl(STDOUT_FILENO, F_GETFL);
    if (flags >= 0)
        ::fcntl(STDOUT_FILENO, F_SETFL, flags | O_NONBLOCK);
    transport::EventSink::Options options;
    options.instance = name;
    options.maximumRetainedEvents = kRetainedEvents;
    options.output = nullptr;
    options.descriptor = STDOUT_FILENO;
    options.linesPerSecond = kMaximumLinesPerSecond;
    return options;
}

} // namespace curranttrail
