#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::routing {

// Entry of the platform's server list.
struct ServerRecord {
    // Identifies the incarnation. Another process at the same address has another instance id.
    std::string instance;
    CollectionName collection;
    // Numeric address with port.
    std::string address;
    DataCentreName dataCentre;
    std::uint32_t slots = 1;
    // True if the server is leaving and must get no new work.
    bool leaving = false;
    // Remaining cold-start time of the server when the list was made.
    Micros coldStartRemaining { 0 };

    bool operator==(const ServerRecord&) const = default;
};

using ServerList = std::vector<ServerRecord>;

// The difference between two server lists.
struct ServerListDelta {
    // New and changed servers.
    std::vector<ServerRecord> listed;
    // Instance ids of the servers that the newer list lacks.
    std::vector<std::string> removed;

    bool operator==(const ServerListDelta&) const = default;
};

} // namespace curranttrail::routing
