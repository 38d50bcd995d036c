#pragma once

#include "tools/policy_simulation.h"

#include <filesystem>
#include <ostream>
#include <string>
#include <vector>

namespace curranttrail::tools {

// One line of the policy report: the figures of one class under one scenario and policy, merged over all seeds.
struct PolicyRow {
    std::string deployment;
    std::string scenario;
    std::string className;
    PolicyKind policy = PolicyKind::Current;
    double p50 = 0;
    double p90 = 0;
    double p99 = 0;
    double p999 = 0;
    double coverage = 0;
    double extraLoad = 0;
    double usefulShare = 0;
    // Share of the queries that were refused before work; printed, not part of the CSV.
    double refusedShare = 0;
    std::uint64_t duplicateRuns = 0;
    std::uint64_t falseCoverage = 0;
    std::size_t seeds = 0;
};

// Computes the rows of all classes, and one named "all" for the classes of the main collection together.
std::vector<PolicyRow> summarise(const Deployment&, const std::string& scenario, PolicyKind, RunFigures, std::size_t seeds);

void writeCsv(const std::filesystem::path&, const std::vector<PolicyRow>&);
void printTable(std::ostream&, const std::vector<PolicyRow>&);

// Compares the rows of the current policy with the expectations. Writes one line for each and returns how many failed.
std::size_t checkExpectations(std::ostream&, const std::vector<Scenario>&, const std::vector<PolicyRow>&);

} // namespace curranttrail::tools
