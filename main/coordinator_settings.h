#pragma once

#include "main/group_connection.h"

#include <string>

namespace curranttrail {

// Settings of a control instance that discovers its group through seeds and replicates the configuration document.
struct CoordinatorSettings {
    std::string name;
    DataCentreName dataCentre;
    std::string dataFolder;
    transport::Endpoint http { "127.0.0.1", 0 };
    transport::Endpoint group { "127.0.0.1", 0 };
    transport::Endpoint metrics { "127.0.0.1", 0 };
    GroupConnection groupConnection;
    // True only at the first start of the system, when the seeds form the group.
    bool bootstrap = false;
    // Number of disks of the group that may be lost at the same time.
    std::int64_t toleratedDiskLosses = 1;
    // Address at which the platform serves its list of backend servers.
    transport::Endpoint serverList;
    // Calls per second that all control instances together may make to that address.
    double listCallsPerSecond = 10;
    // Time from the stop signal to the end, of which the most is for leaving the group.
    Micros stopTimeout { 5'000'000 };
};

CoordinatorSettings readCoordinatorSettings(const SettingsFile& file);

} // namespace curranttrail
