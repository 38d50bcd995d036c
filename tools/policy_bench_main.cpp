#include "tools/policy_report.h"
#include "tools/policy_scenario.h"
#include "tools/policy_simulation.h"

#include <atomic>
#include <iostream>
#include <thread>

#include <fmt/format.h>
#include <fmt/ostream.h>
#include <tclap/CmdLine.h>

using namespace curranttrail;
using namespace curranttrail::tools;

namespace {

struct Options {
    std::string scenarios;
    std::string output;
    std::string scenarioFilter;
    std::uint64_t seed = 1;
    std::size_t seeds = 3;
    std::size_t threads = 4;
    bool currentOnly = false;
};

// One combination of deployment, scenario and policy, which is run with every seed.
struct Task {
    const Deployment* deployment = nullptr;
    const Scenario* scenario = nullptr;
    PolicyKind policy = PolicyKind::Current;
    RunFigures figures;
    std::string failure;
};

Options readOptions(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the query policy in virtual time and compares it with a baseline", ' ', CURRANTTRAIL_VERSION);
    TCLAP::ValueArg<std::string> scenarios("", "scenarios", "folder with the scenario files", false, "tests/scenarios/policy", "folder", line);
    TCLAP::ValueArg<std::string> output("", "output", "CSV file to write", false, "build/measure/policy.csv", "file", line);
    TCLAP::ValueArg<std::string> scenarioFilter("", "case", "run only the case with this name, and calm", false, "", "name", line);
    TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line);
    TCLAP::ValueArg<std::size_t> seeds("", "seeds", "number of seeds", false, 3, "number", line);
    TCLAP::ValueArg<std::size_t> threads("", "threads", "number of concurrent runs", false, 4, "number", line);
    TCLAP::SwitchArg currentOnly("", "current-only", "do not run the baseline", line);
    line.parse(argc, argv);
    return { scenarios.getValue(), output.getValue(), scenarioFilter.getValue(), seed.getValue(), seeds.getValue(), threads.getValue(), currentOnly.getValue() };
}

void runTask(Task& task, const Options& options)
{
    try {
        for (std::size_t n = 0; n < options.seeds; ++n)
            task.figures.add(PolicySimulation(*task.deployment, *task.scenario, task.policy, options.seed + n).run());
    } catch (const std::exception& error) {
        task.failure = error.what();
    }
}

void runAll(std::vector<Task>& tasks, const Options& options)
{
    std::atomic<std::size_t> next { 0 };
    std::vector<std::jthread> threads;
    for (std::size_t n = 0; n < options.threads; ++n) {
        threads.emplace_back([&] {
            for (std::size_t it = next++; it < tasks.size(); it = next++)
                runTask(tasks[it], options);
        });
    }
}

int run(const Options& options)
{
    const std::vector<Deployment> deployments = currentDeployments();
    const std::vector<Scenario> scenarios = loadScenarios(options.scenarios);
    std::vector<Task> tasks;
    for (const Scenario& scenario : scenarios) {
        if (!options.scenarioFilter.empty() && scenario.name != options.scenarioFilter && scenario.name != "calm")
            continue;
        for (const Deployment& deployment : deployments) {
            if (!options.currentOnly)
                tasks.push_back({ &deployment, &scenario, PolicyKind::Baseline, {}, {} });
            tasks.push_back({ &deployment, &scenario, PolicyKind::Current, {}, {} });
        }
    }
    runAll(tasks, options);

    std::vector<PolicyRow> rows;
    std::size_t violations = 0;
    for (Task& task : tasks) {
        const Violations found = task.figures.violations;
        const std::string name = fmt::format("{} {} {}", task.deployment->name, task.scenario->name, nameOf(kPolicyKindNames, task.policy));
        if (!task.failure.empty())
            fmt::print(std::cout, "FAILED {}: {}\n", name, task.failure);
        if (found.total() > 0) {
            fmt::print(std::cout, "violations {}: unanswered {} false_not_run {} connections_above_limit {} work_for_leaving {}\n", name,
                found.unanswered, found.falseNotRun, found.connectionsAboveLimit, found.workForLeavingServer);
        }
        const std::vector<PolicyRow> taskRows = summarise(*task.deployment, task.scenario->name, task.policy, std::move(task.figures), options.seeds);
        rows.insert(rows.end(), taskRows.begin(), taskRows.end());
        if (task.policy != PolicyKind::Current)
            continue;
        violations += found.total() + (task.failure.empty() ? 0 : 1);
        for (const PolicyRow& row : taskRows)
            violations += row.duplicateRuns + row.falseCoverage;
    }
    printTable(std::cout, rows);
    writeCsv(options.output, rows);
    const std::size_t missed = checkExpectations(std::cout, scenarios, rows);
    fmt::print(std::cout, "{} expectations missed, {} violations\n", missed, violations);
    return missed + violations == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    try {
        return run(readOptions(argc, argv));
    } catch (const std::exception& error) {
        fmt::print(stderr, "{}\n", error.what());
        return 2;
    }
}
