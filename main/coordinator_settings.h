#pragma once

#include "main/group_connection.h"

#include <string>

namespace curranttrail {

// A control instance that finds its group through seeds and holds the configuration document.
struct CoordinatorSettings {
    std::string name;
    DataCentreName dataCentre;
    std::string dataFolder;
    transport::Endpoint http { "127.0.0.1", 0 };
    transport::Endpoint group { "127.0.0.1", 0 };
    transport::Endpoint metrics { "127.0.0.1", 0 };
    GroupConnection groupConnection;
    // True at the first start of the whole system only: the seeds then found the group.
    bool bootstrap = false;
    // Disks of the group that may be lost at once.
    std::int64_t toleratedDiskLosses = 1;
    // Where the platform serves its list of backend servers.
    transport::Endpoint serverList;
    // Calls to that list that all instances together may make in a second.
    double listCallsPerSecond = 10;
    Micros stopTimeout { 2'000'000 };
};

CoordinatorSettings readCoordinatorSettings(const SettingsFile& file);

} // namespace curranttrail
