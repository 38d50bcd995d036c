#include "main/gateway_settings.h"

namespace curranttrail {

GatewaySettings readGatewaySettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    GatewaySettings settings;
    settings.name = root.text("name");
    settings.dataCentre = root.text("data_centre");
    settings.callers = root.endpoint("callers");
    settings.ready = root.endpoint("ready");
    settings.metrics = root.endpoint("metrics", settings.metrics);
    settings.gracePeriod = root.duration("grace", settings.gracePeriod, Micros { 1'000'000 }, Micros { 600'000'000 });
    settings.groupConnection = readGroupConnection(root.table("group"));
    const SettingsTable repeats = root.table("repeats");
    settings.repeats.ratio = repeats.real("ratio", settings.repeats.ratio, 0, 10);
    settings.repeats.allowance = repeats.real("allowance", settings.repeats.allowance, 0, 1e6);
    settings.repeats.window = repeats.duration("window", settings.repeats.window, Micros { 1'000'000 }, Micros { 600'000'000 });
    return settings;
}

} // namespace curranttrail
