#pragma once

#include "main/feed_events.h"
#include "main/settings.h"
#include "transport/event_sink.h"

#include <optional>
#include <string>

namespace curranttrail {

struct SettingsArguments {
    std::string path;
    bool checkOnly = false;
};

// Reads "[--check] [FILE]". Without a file the environment variable CURRANTTRAIL_CONFIG names it.
SettingsArguments parseSettingsArguments(int argc, const char* const* argv, const std::string& description);

// Log lines go to standard output, which is never waited for.
transport::EventSink::Options standardOutputLog(const InstanceName& name);

// Reads the settings file again; nothing if it has faults, which are logged.
template <typename Settings>
std::optional<Settings> reloadSettings(const std::string& path, Settings (*read)(const SettingsFile&), transport::EventSink& sink)
{
    const SettingsFile file = SettingsFile::load(path);
    Settings settings = read(file);
    const std::vector<SettingsFault> faults = file.faults();
    if (!faults.empty()) {
        sink.log(events::kSettingsRefused, { { "fault", faults.front().text() } });
        return std::nullopt;
    }
    sink.log(events::kSettingsReloaded, { { "file", path } });
    return settings;
}

} // namespace curranttrail
