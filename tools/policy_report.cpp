#include "tools/policy_report.h"

#include <algorithm>
#include <fstream>

#include <fmt/format.h>
#include <fmt/ostream.h>

namespace curranttrail::tools {

namespace {

    double quantile(std::vector<float>& sorted, double share)
    {
        if (sorted.empty())
            return 0;
        const std::size_t index = std::min(sorted.size() - 1, static_cast<std::size_t>(share * static_cast<double>(sorted.size())));
        return sorted[index];
    }

    double ratio(double value, double of)
    {
        return of > 0 ? value / of : 0;
    }

    PolicyRow makeRow(ClassFigures figures)
    {
        std::sort(figures.latencies.begin(), figures.latencies.end());
        PolicyRow row;
        row.p50 = quantile(figures.latencies, 0.5);
        row.p90 = quantile(figures.latencies, 0.9);
        row.p99 = quantile(figures.latencies, 0.99);
        row.p999 = quantile(figures.latencies, 0.999);
        row.coverage = ratio(figures.coverageSum, static_cast<double>(figures.answered + figures.refusedAfterWork));
        row.extraLoad = ratio(static_cast<double>(figures.started), static_cast<double>(figures.plannedSubqueries)) - 1;
        row.usefulShare = ratio(static_cast<double>(figures.usefulServerTime.count()), static_cast<double>(figures.capacity.count()));
        row.refusedShare = ratio(static_cast<double>(figures.refusedBeforeWork), static_cast<double>(figures.arrived));
        row.duplicateRuns = figures.duplicateRuns;
        row.falseCoverage = figures.falseCoverage;
        return row;
    }

    const PolicyRow* findRow(const std::vector<PolicyRow>& rows, const std::string& deployment, const std::string& scenario, const std::string& className)
    {
        const auto it = std::find_if(rows.begin(), rows.end(), [&](const PolicyRow& row) {
            return row.policy == PolicyKind::Current && row.deployment == deployment && row.scenario == scenario && row.className == className;
        });
        return it == rows.end() ? nullptr : &*it;
    }

    std::optional<double> findMeasure(const std::vector<PolicyRow>& rows, const std::string& scenario, const Expectation& expectation)
    {
        const PolicyRow* row = findRow(rows, expectation.deployment, scenario, expectation.className);
        if (!row)
            return std::nullopt;
        if (expectation.measure == "p99_ms")
            return row->p99;
        if (expectation.measure == "coverage")
            return row->coverage;
        if (expectation.measure == "extra_load")
            return row->extraLoad;
        if (expectation.measure == "useful_share")
            return row->usefulShare;
        if (expectation.measure == "refused_share")
            return row->refusedShare;
        const PolicyRow* calm = findRow(rows, expectation.deployment, "calm", expectation.className);
        if (expectation.measure != "p99_ratio" || !calm)
            return std::nullopt;
        return ratio(row->p99, calm->p99);
    }

} // namespace

std::vector<PolicyRow> summarise(const Deployment& deployment, const std::string& scenario, PolicyKind policy, RunFigures figures, std::size_t seeds)
{
    ClassFigures all = figures.classes[deployment.urgent.target.name];
    const Micros capacity = all.capacity;
    all.add(figures.classes[deployment.ordinary.target.name]);
    all.capacity = capacity;
    figures.classes["all"] = std::move(all);
    std::vector<PolicyRow> rows;
    for (auto& [name, classFigures] : figures.classes) {
        PolicyRow row = makeRow(std::move(classFigures));
        row.deployment = deployment.name;
        row.scenario = scenario;
        row.className = name;
        row.policy = policy;
        row.seeds = seeds;
        rows.push_back(std::move(row));
    }
    return rows;
}

void writeCsv(const std::filesystem::path& file, const std::vector<PolicyRow>& rows)
{
    std::ofstream out(file);
    out << "deployment,case,class,policy,p50_ms,p90_ms,p99_ms,p999_ms,coverage,extra_load,useful_share,doubled_runs,false_coverage,seeds\n";
    for (const PolicyRow& row : rows) {
        fmt::print(out, "{},{},{},{},{:.3f},{:.3f},{:.3f},{:.3f},{:.6f},{:.5f},{:.5f},{},{},{}\n", row.deployment, row.scenario, row.className,
            nameOf(kPolicyKindNames, row.policy), row.p50, row.p90, row.p99, row.p999, row.coverage, row.extraLoad, row.usefulShare,
            row.duplicateRuns, row.falseCoverage, row.seeds);
    }
}

void printTable(std::ostream& out, const std::vector<PolicyRow>& rows)
{
    fmt::print(out, "{:<6} {:<26} {:<17} {:<9} {:>8} {:>8} {:>8} {:>8} {:>9} {:>8} {:>7} {:>8} {:>7} {:>6}\n", "where", "case", "class", "policy",
        "p50_ms", "p90_ms", "p99_ms", "p999_ms", "coverage", "extra", "useful", "refused", "doubled", "false");
    for (const PolicyRow& row : rows) {
        fmt::print(out, "{:<6} {:<26} {:<17} {:<9} {:>8.1f} {:>8.1f} {:>8.1f} {:>8.1f} {:>9.5f} {:>8.4f} {:>7.3f} {:>8.4f} {:>7} {:>6}\n",
            row.deployment, row.scenario, row.className, nameOf(kPolicyKindNames, row.policy), row.p50, row.p90, row.p99, row.p999, row.coverage,
            row.extraLoad, row.usefulShare, row.refusedShare, row.duplicateRuns, row.falseCoverage);
    }
}

std::size_t checkExpectations(std::ostream& out, const std::vector<Scenario>& scenarios, const std::vector<PolicyRow>& rows)
{
    std::size_t failed = 0;
    for (const Scenario& scenario : scenarios) {
        for (const Expectation& expectation : scenario.expectations) {
            const std::optional<double> value = findMeasure(rows, scenario.name, expectation);
            if (!value)
                continue;
            const bool met = expectation.atMost ? *value <= expectation.bound : *value >= expectation.bound;
            failed += met ? 0 : 1;
            fmt::print(out, "{} {} {} {} {} = {:.5f}, {} {}\n", met ? "met " : "MISS", expectation.deployment, scenario.name, expectation.className,
                expectation.measure, *value, expectation.atMost ? "at most" : "at least", expectation.bound);
        }
    }
    return failed;
}

} // namespace curranttrail::tools
