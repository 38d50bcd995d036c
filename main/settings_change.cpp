#include "main/settings_change.h"

#include "main/feed_events.h"

#include <string>

namespace curranttrail {

void logSettingsThatNeedRestart(const std::vector<ReloadedSetting>& reloaded, transport::EventSink& sink)
{
    for (const ReloadedSetting& setting : reloaded) {
        if (!setting.isSame)
            sink.log(events::kSettingNeedsRestart, { { "setting", std::string { setting.name } } });
    }
}

} // namespace curranttrail
