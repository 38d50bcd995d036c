#pragma once

#include "main/events.h"
#include "main/feed_events.h"
#include "main/settings.h"
#include "main/stop_request.h"
#include "transport/event_sink.h"

#include <chrono>
#include <functional>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail {

// Runs the body of a daemon's program and turns exceptions into a message on standard error and an exit code: kExitInvalidSettings
// for invalid arguments, 1 for any other error.
int runWithErrorReport(std::string_view program, const std::function<int()>& body);

// Reads and checks a settings file, prints all its errors, and runs the daemon unless only a check is requested.
template <typename Settings>
int runWithSettings(const std::string& path, bool checkOnly, Settings (*read)(const SettingsFile&), const std::function<int(const Settings&)>& run)
{
    const SettingsFile file = SettingsFile::load(path);
    const Settings settings = read(file);
    const std::vector<SettingsError> errors = file.errors();
    printErrors(errors);
    if (!errors.empty())
        return kExitInvalidSettings;
    return checkOnly ? 0 : run(settings);
}

struct ProgramArguments {
    std::string path;
    bool checkOnly = false;
};

// Parses "[--check] [FILE]". If no file is given, the environment variable CURRANTTRAIL_CONFIG names it.
ProgramArguments parseProgramArguments(int argc, const char* const* argv, const std::string& description);

// Waits for a stop signal, then stops the daemon within the limit. Returns the exit code.
template <typename Daemon>
int stopOnRequest(Daemon& daemon, StopRequest& stop, Micros limit, transport::EventSink& sink)
{
    stop.wait();
    sink.log(events::kDraining);
    daemon.stop(std::chrono::duration_cast<std::chrono::milliseconds>(limit));
    sink.log(events::kStopped);
    return 0;
}

// Returns the options of a log on standard output that never blocks the process.
transport::EventSink::Options standardOutputLogOptions(const InstanceName& name);

// Reads the settings file again. If it has errors, logs the first one and returns nothing.
template <typename Settings>
std::optional<Settings> reloadSettings(const std::string& path, Settings (*read)(const SettingsFile&), transport::EventSink& sink)
{
    const SettingsFile file = SettingsFile::load(path);
    Settings settings = read(file);
    const std::vector<SettingsError> errors = file.errors();
    if (!errors.empty()) {
        sink.log(events::kSettingsRefused, { { "fault", errors.front().text() } });
        return std::nullopt;
    }
    sink.log(events::kSettingsReloaded, { { "file", path } });
    return settings;
}

} // namespace curranttrail
