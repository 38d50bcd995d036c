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
    settings.grace = root.duration("grace", settings.grace, Micros { 1'000'000 }, Micros { 600'000'000 });
    settings.contact = readGroupContact(root.table("group"));
    const SettingsTable repeats = root.table("repeats");
    settings.repeatRatio = repeats.real("ratio", settings.repeatRatio, 0, 10);
    settings.repeatAllowance = repeats.real("allowance", settings.repeatAllowance, 0, 1e6);
    return settings;
}

} // namespace curranttrail
