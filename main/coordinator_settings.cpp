#include "main/coordinator_settings.h"

namespace curranttrail {

CoordinatorSettings readCoordinatorSettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    CoordinatorSettings settings;
    settings.name = root.text("name");
    settings.dataCentre = root.text("data_centre");
    settings.dataFolder = root.text("data_folder");
    settings.http = root.endpoint("http");
    settings.metrics = root.endpoint("metrics", settings.metrics);
    settings.stopTimeout = root.duration("stop_limit", settings.stopTimeout, Micros { 0 }, Micros { 60'000'000 });
    const SettingsTable group = root.table("group");
    settings.group = group.endpoint("address");
    settings.groupConnection = readGroupConnection(group);
    settings.bootstrap = group.boolean("bootstrap", false);
    settings.toleratedDiskLosses = group.integer("lost_disks", 1, 0, 4);
    const SettingsTable list = root.table("server_list");
    settings.serverList = list.endpoint("address");
    settings.listCallsPerSecond = list.real("calls_per_second", 10, 0.1, 100'000);
    return settings;
}

} // namespace curranttrail
