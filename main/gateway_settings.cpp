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
    settings.relay = root.endpoint("relay", settings.relay);
    settings.gracePeriod = root.duration("grace", settings.gracePeriod, Micros { 1'000'000 }, Micros { 600'000'000 });
    settings.groupConnection = readGroupConnection(root.table("group"));
    const SettingsTable additionalAttempts = root.table("repeats");
    settings.additionalAttempts.ratio = additionalAttempts.real("ratio", settings.additionalAttempts.ratio, 0, 10);
    settings.additionalAttempts.allowance = additionalAttempts.real("allowance", settings.additionalAttempts.allowance, 0, 1e6);
    settings.additionalAttempts.window = additionalAttempts.duration("window", settings.additionalAttempts.window, Micros { 1'000'000 }, Micros { 600'000'000 });
    const SettingsTable accounts = root.table("accounts");
    if (accounts.has("revocation_limit"))
        settings.keyRevocationLimit = accounts.duration("revocation_limit", Micros { 1'000'000 }, Micros { 3'600'000'000 });
    return settings;
}

} // namespace curranttrail
