#include "tools/policy_report.h"
#include "tools/policy_scenario.h"
#include "tools/policy_simulation.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <sstream>
#include <thread>

using namespace curranttrail;
using namespace curranttrail::tools;

namespace {

constexpr std::uint64_t kFirstSeed = 11;
constexpr std::size_t kSeeds = 2;

const std::vector<Scenario>& scenarios()
{
    static const std::vector<Scenario> all = loadScenarios(std::filesystem::path(CURRANTTRAIL_SOURCE_DIR) / "tests/scenarios/policy");
    return all;
}

struct Outcome {
    std::string name;
    Violations violations;
    std::vector<PolicyRow> rows;
};

std::vector<Outcome> runAll()
{
    static const std::vector<Deployment> deployments = currentDeployments();
    std::vector<Outcome> outcomes(scenarios().size() * deployments.size());
    std::vector<std::jthread> threads;
    constexpr std::size_t kThreads = 4;
    for (std::size_t thread = 0; thread < kThreads; ++thread) {
        threads.emplace_back([&outcomes, thread] {
            for (std::size_t it = thread; it < outcomes.size(); it += kThreads) {
                const Deployment& deployment = deployments[it % deployments.size()];
                const Scenario& scenario = scenarios()[it / deployments.size()];
                RunFigures figures;
                for (std::size_t seed = 0; seed < kSeeds; ++seed)
                    figures.add(PolicySimulation(deployment, scenario, PolicyKind::Current, kFirstSeed + seed).run());
                outcomes[it].name = deployment.name + " " + scenario.name;
                outcomes[it].violations = figures.violations;
                outcomes[it].rows = summarise(deployment, scenario.name, PolicyKind::Current, std::move(figures), kSeeds);
            }
        });
    }
    threads.clear();
    return outcomes;
}

const std::vector<Outcome>& outcomes()
{
    static const std::vector<Outcome> all = runAll();
    return all;
}

} // namespace

BOOST_AUTO_TEST_SUITE(PolicyScenarios)

// Guards against answers with false coverage, a shard counted twice or a hole, in every scenario.
BOOST_AUTO_TEST_CASE(ReportedCoverageIsCorrect)
{
    for (const Outcome& outcome : outcomes()) {
        for (const PolicyRow& row : outcome.rows)
            BOOST_TEST(row.falseCoverage == 0U, outcome.name << " " << row.className);
    }
}

// Guards against a request that may not be repeated running twice on the backend servers.
BOOST_AUTO_TEST_CASE(NonRepeatableRequestsRunAtMostOnce)
{
    for (const Outcome& outcome : outcomes()) {
        for (const PolicyRow& row : outcome.rows)
            BOOST_TEST(row.duplicateRuns == 0U, outcome.name << " " << row.className);
    }
}

// Guards against a refusal that says "not run" after a backend server began the work.
BOOST_AUTO_TEST_CASE(NotRunVerdictIsCorrect)
{
    for (const Outcome& outcome : outcomes())
        BOOST_TEST(outcome.violations.falseNotRun == 0U, outcome.name);
}

// Guards against queries that never end, end twice or end after their deadline.
BOOST_AUTO_TEST_CASE(EveryQueryEndsOnceInTime)
{
    for (const Outcome& outcome : outcomes())
        BOOST_TEST(outcome.violations.unanswered == 0U, outcome.name);
}

// Guards against opening more connections to a server than it accepts, summed over the entry instances.
BOOST_AUTO_TEST_CASE(ConnectionLimitsHold)
{
    for (const Outcome& outcome : outcomes())
        BOOST_TEST(outcome.violations.connectionsAboveLimit == 0U, outcome.name);
}

// Guards against new work for a draining server while the platform's list still shows it as live.
BOOST_AUTO_TEST_CASE(LeavingServersGetNoNewWork)
{
    for (const Outcome& outcome : outcomes())
        BOOST_TEST(outcome.violations.workForLeavingServer == 0U, outcome.name);
}

// Guards the stated targets for tail latency, coverage, extra load and useful work.
BOOST_AUTO_TEST_CASE(AimsAreMet)
{
    std::vector<PolicyRow> rows;
    for (const Outcome& outcome : outcomes())
        rows.insert(rows.end(), outcome.rows.begin(), outcome.rows.end());
    std::ostringstream report;
    BOOST_TEST(checkExpectations(report, scenarios(), rows) == 0U, report.str());
}

BOOST_AUTO_TEST_SUITE_END()
