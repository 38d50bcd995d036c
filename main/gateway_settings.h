#pragma once

#include "main/group_connection.h"
#include "policy/shared_budget.h"

namespace curranttrail {

// An entry instance that forwards raw HTTP requests by the routes of the configuration document.
struct GatewaySettings {
    InstanceName name;
    DataCentreName dataCentre;
    // Where callers connect.
    transport::Endpoint callers { "127.0.0.1", 0 };
    // Where the balancer asks whether this instance is ready.
    transport::Endpoint ready { "127.0.0.1", 0 };
    transport::Endpoint metrics { "127.0.0.1", 0 };
    GroupConnection groupConnection;
    // Repeats that all instances together may send to one collection.
    policy::RepeatLimits repeats;
    // The time from the signal to stop to the forced end.
    Micros gracePeriod { 6'000'000 };
};

GatewaySettings readGatewaySettings(const SettingsFile& file);

} // namespace curranttrail
