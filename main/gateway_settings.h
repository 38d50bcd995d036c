#pragma once

#include "main/group_connection.h"
#include "policy/additional_attempt_budget.h"

#include <optional>

namespace curranttrail {

// Settings of an entry instance that forwards HTTP requests by the routes of the configuration document.
struct GatewaySettings {
    InstanceName name;
    DataCentreName dataCentre;
    // Address to which callers connect.
    transport::Endpoint callers { "127.0.0.1", 0 };
    // Address of the readiness endpoint for the load balancer.
    transport::Endpoint ready { "127.0.0.1", 0 };
    transport::Endpoint metrics { "127.0.0.1", 0 };
    // Address at which connections to servers are relayed for other entry instances. None are if the port is 0.
    transport::Endpoint relay { "127.0.0.1", 0 };
    GroupConnection groupConnection;
    // Limits on the additional attempts that all instances together may send to one collection.
    policy::AdditionalAttemptLimits additionalAttempts;
    // Time after the acknowledgement of a document without a key from which no instance admits the key, not even one that is cut off.
    // Without a value, such an instance admits it until it hears of the document.
    std::optional<Micros> keyRevocationLimit;
    // Maximum time from the stop signal to the forced end.
    Micros gracePeriod { 6'000'000 };
};

GatewaySettings readGatewaySettings(const SettingsFile& file);

} // namespace curranttrail
