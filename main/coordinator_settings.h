#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "main/settings.h"
#include "transport/http_message.h"

#include <string>
#include <vector>

namespace curranttrail {

// Where a process finds the control group and how it authenticates its frames.
struct GroupContact {
    // Addresses under which operators reach control instances; the group's own port is the same on all of them.
    std::vector<transport::Endpoint> seeds;
    std::uint16_t groupPort = 0;
    // At least 32 characters, the same on all instances.
    std::string linkKey;
};

// A control instance that finds its group through seeds and holds the configuration document.
struct CoordinatorSettings {
    std::string name;
    DataCentreName dataCentre;
    std::string dataFolder;
    transport::Endpoint http { "127.0.0.1", 0 };
    transport::Endpoint group { "127.0.0.1", 0 };
    transport::Endpoint metrics { "127.0.0.1", 0 };
    GroupContact contact;
    // True at the first start of the whole system only: the seeds then found the group.
    bool bootstrap = false;
    // Disks of the group that may be lost at once.
    std::int64_t lostDisks = 1;
    // Where the platform serves its list of backend servers.
    transport::Endpoint serverList;
    // Calls to that list that all instances together may make in a second.
    double listCallsPerSecond = 10;
    Micros stopLimit { 2'000'000 };
};

CoordinatorSettings readCoordinatorSettings(const SettingsFile& file);

// Reads the seeds, the port and the key of a group.
GroupContact readGroupContact(const SettingsTable& table);

// The name under which the group knows the instance that operators reach at the seed.
InstanceName memberName(const GroupContact& contact, const transport::Endpoint& seed);

} // namespace curranttrail
