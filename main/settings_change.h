#pragma once

#include "transport/event_sink.h"

#include <string_view>
#include <vector>

namespace curranttrail {

// Whether a setting that is only read at the start is the same in the reloaded file.
struct ReloadedSetting {
    std::string_view name;
    bool isSame = true;
};

// Logs the settings that have changed without effect.
void logSettingsThatNeedRestart(const std::vector<ReloadedSetting>& reloaded, transport::EventSink& sink);

} // namespace curranttrail
