#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::routing {

// One backend server as the platform's list names it.
struct ServerRecord {
    // The incarnation. Another process at the same address has another one.
    std::string instance;
    CollectionName collection;
    // Numeric address with port.
    std::string address;
    DataCentreName dataCentre;
    std::uint32_t slots = 1;
    // A leaving server gets no new work.
    bool leaving = false;
    // How much longer the server stays slow after its start, at the time of the list.
    Micros coldStartRemaining { 0 };

    bool operator==(const ServerRecord&) const = default;
};

using ServerList = std::vector<ServerRecord>;

// The difference between two lists.
struct ServerListDelta {
    // New servers, and listed ones of which something changed.
    std::vector<ServerRecord> listed;
    // Incarnations that the list no longer names.
    std::vector<std::string> removed;

    bool operator==(const ServerListDelta&) const = default;
};

} // namespace curranttrail::routing
