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

// What a scenario does to the fake backend servers and links at one point in time.
enum class FaultKind {
    // Each subquery takes `factor` times as long with probability `share`.
    Stragglers,
    // The first `count` servers of the main collection are `factor` times slower.
    Slow,
    // Stops `count` servers; connections are reset and new ones refused.
    Kill,
    // Restarts `count` services with all their replicas; they are back after `duration` and cold for three seconds.
    ColdRestart,
    // Reports are `duration` old when they arrive.
    ReportLag,
    // A share of the servers reports no load and is `factor` times slower.
    FalseLoadReports,
    // Multiplies the urgent class's arrival rate by `factor`.
    UrgentLoad,
    // Servers move to the next index version one after the other over `duration`.
    IndexSwitch,
    // Like IndexSwitch, but the next version has different key ranges.
    Repartition,
    // Cuts the first data centre off from the others for `duration`.
    DataCentrePartition,
    // A share of the open connections loses all further bytes without being closed.
    SilentConnections,
    // `count` servers drain; the platform's list shows it five seconds later.
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

// A bound on one figure of one class, taken from a stated target.
struct Expectation {
    std::string deployment;
    std::string className;
    // A column of the report, or p99_ratio: the 99th percentile divided by that of the scenario "calm".
    std::string measure;
    bool atMost = true;
    double bound = 0;
};

// Distribution of the time that a backend server takes for one subquery.
enum class ServiceTime {
    // Lognormal with a median of 3.6 ms, the usual shape of search servers.
    Lognormal,
    // 3 ms and an exponential part of 1 ms: almost constant, so that the delay before a hedge has the greatest effect.
    Narrow,
};

inline constexpr std::array<EnumName<ServiceTime>, 2> kServiceTimeNames { {
    { ServiceTime::Lognormal, "lognormal" },
    { ServiceTime::Narrow, "narrow" },
} };

// One scenario of the policy measurement. Loads are shares of the main collection's capacity.
struct Scenario {
    std::string name;
    double urgentLoad = 0.2;
    double ordinaryLoad = 0.15;
    Micros duration { 6'000'000 };
    ServiceTime serviceTime = ServiceTime::Lognormal;
    std::vector<Fault> faults;
    std::vector<Expectation> expectations;
};

// Reads every *.toml file of a folder, in order of name. Throws std::runtime_error with file and line on a fault.
std::vector<Scenario> loadScenarios(const std::filesystem::path& folder);

// A collection of a deployment at its current size.
struct CollectionShape {
    CollectionName name;
    std::size_t shards = 1;
    std::size_t replicas = 2;
    std::uint32_t connectionLimit = 25;
    Micros connectionSetup { 6'000 };
};

// A class and the deadline of its queries.
struct ClassLoad {
    ClassTarget target;
    // Callers stop waiting for the answer after this time.
    Micros deadline { 0 };
};

// One owner's deployment. The first collection carries the urgent and the ordinary class.
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

// Returns the two deployments at their current sizes.
std::vector<Deployment> currentDeployments();

} // namespace curranttrail::tools
