#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "main/control_settings.h"
#include "main/settings.h"
#include "transport/http_message.h"
#include "transport/http_server.h"

#include <map>
#include <string>
#include <vector>

namespace curranttrail {

struct EntrySettings {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    // HTTP server for callers, health checks and metrics.
    transport::HttpServerOptions http;
    // Listening address for other instances: TCP for configurations, UDP on the same port for membership.
    transport::Endpoint frames { "127.0.0.1", 0 };
    std::string clusterKeyFile;
    // Ed25519 key in PEM that signs this instance's usage records; if empty, no usage is recorded.
    std::string usageKeyFile;
    // The control instances of all owners.
    std::vector<PartnerInstance> control;
    // Frame addresses of entry instances through which to join.
    std::vector<transport::Endpoint> seeds;
    transport::Endpoint platform;
    std::vector<OperatorAccount> callers;
    std::map<DataCentreName, Micros> distances;
    unsigned threads = 2;
    std::uint32_t maximumQueries = 4'000;
    Micros instancesInterval { 1'000'000 };
    Micros reportInterval { 1'000'000 };
    Micros pollTimeout { 1'000'000 };
    // Time between reporting not ready and refusing queries, for the load balancer to react.
    Micros drainPause { 5'000'000 };
    // Maximum time after that for queries in flight.
    Micros stopTimeout { 30'000'000 };
    Severity logThreshold = Severity::Information;
};

// Reads all settings; errors are collected in the file.
EntrySettings readEntrySettings(const SettingsFile& file);

} // namespace curranttrail
