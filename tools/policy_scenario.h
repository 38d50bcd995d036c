#pragma once

#include "core/class_target.h"
#include "core/enum_names.h"
#include "core/units.h"

#include <array>
#include <cstdint>
#include <filesystem>
#include <string>
#include <vector>

namespace curranttrail::tools {

// Kinds of faults that a scenario injects into the simulated backend servers and links at a point in time.
enum class FaultKind {
    // Each subquery takes `factor` times as long with probability `share`.
    Stragglers,
    // The first `count` servers of the main collection are `factor` times slower.
    Slow,
    // Stops `count` servers; connections are reset and new ones refused.
    Kill,
    // Restarts `count` services with all replicas. They are up again after `duration`, and slower while caches are cold for three
    // seconds.
    ColdRestart,
    // Server reports arrive with a delay of `duration`.
    ReportLag,
    // A share of the servers reports zero load and is `factor` times slower.
    FalseLoadReports,
    // Multiplies the urgent class's arrival rate by `factor`.
    UrgentLoad,
    // The servers switch to the next index version at random times within `duration`.
    IndexSwitch,
    // Like IndexSwitch, but the next version has different key ranges.
    Repartition,
    // Partitions the first data centre from the others for `duration`.
    DataCentrePartition,
    // A share of the open connections stops transferring bytes without being closed.
    SilentConnections,
    // `count` servers drain. The list of the platform shows it five seconds later.
    Drain,
};

inline constexpr std::array<EnumName<FaultKind>, 12> kFaultKindNames { {
    { FaultKind::Stragglers, "stragglers" },
    { FaultKind::Slow, "slow" },
    { FaultKind::Kill, "kill" },
    { FaultKind::ColdRestart, "cold_restart" },
    { FaultKind::ReportLag, "report_lag" },
    { FaultKind::FalseLoadReports, "lying_reports" },
    { FaultKind::UrgentLoad, "urgent_load" },
    { FaultKind::IndexSwitch, "index_switch" },
    { FaultKind::Repartition, "repartition" },
    { FaultKind::DataCentrePartition, "centre_cut" },
    { FaultKind::SilentConnections, "silent_connections" },
    { FaultKind::Drain, "drain" },
} };

struct Fault {
    Micros at { 0 };
    FaultKind kind = FaultKind::Stragglers;
    double share = 0;
    double factor = 1;
    std::size_t count = 0;
    Micros duration { 0 };
};

// A bound on one result of one class, taken from a stated target.
struct Expectation {
    std::string deployment;
    std::string className;
    // A column of the report, or p99_ratio: the 99th percentile divided by that of the scenario calm.
    std::string measure;
    bool atMost = true;
    double bound = 0;
};

// Distribution of the service time of one subquery.
enum class ServiceTime {
    // Log-normal with a median of 3.6 ms, typical of search servers.
    Lognormal,
    // 3 ms plus an exponential part with a mean of 1 ms. Almost constant, so that the hedge delay dominates the latency of hedged
    // subqueries.
    Narrow,
};

inline constexpr std::array<EnumName<ServiceTime>, 2> kServiceTimeNames { {
    { ServiceTime::Lognormal, "lognormal" },
    { ServiceTime::Narrow, "narrow" },
} };

// One scenario of the policy benchmark. Loads are shares of the capacity of the main collection.
struct Scenario {
    std::string name;
    double urgentLoad = 0.2;
    double ordinaryLoad = 0.15;
    Micros duration { 6'000'000 };
    ServiceTime serviceTime = ServiceTime::Lognormal;
    std::vector<Fault> faults;
    std::vector<Expectation> expectations;
};

// Reads all *.toml files of a folder, ordered by name. Throws std::runtime_error with file and line if a file is invalid.
std::vector<Scenario> loadScenarios(const std::filesystem::path& folder);

// Size of one collection of a deployment.
struct CollectionShape {
    CollectionName name;
    std::size_t shards = 1;
    std::size_t replicas = 2;
    std::uint32_t connectionLimit = 25;
    Micros connectionSetup { 6'000 };
};

// A class and the deadline of its callers.
struct ClassLoad {
    ClassTarget target;
    // Time after which callers abandon a query.
    Micros deadline { 0 };
};

// Deployment of one owner. The main collection serves the urgent and the ordinary class.
struct Deployment {
    std::string name;
    std::size_t dataCentres = 3;
    std::size_t entryInstances = 6;
    Micros interCentreDelay { 500 };
    CollectionShape mainCollection;
    CollectionShape nonRepeatableCollection;
    ClassLoad urgent;
    ClassLoad ordinary;
    ClassLoad nonRepeatable;
};

// Returns the deployments of both owners at their current sizes.
std::vector<Deployment> currentDeployments();

} // namespace curranttrail::tools
