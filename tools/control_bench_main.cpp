// Measures the control group: fail-over in virtual time, recovery and journal size on real files, and claims per second on real files.

#include "tests/stand_ins/temporary_folder.h"
#include "tools/control_group.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <cstdio>
#include <fstream>
#include <stdexcept>

#include <unistd.h>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tools;

namespace {

constexpr Micros kSecond { 1'000'000 };

double secondsSince(std::chrono::steady_clock::time_point start)
{
    return std::chrono::duration<double>(std::chrono::steady_clock::now() - start).count();
}

class Rows {
public:
    explicit Rows(const std::string& path)
        : m_file(path)
    {
        m_file << "measure,size,median,worst,unit\n";
    }

    // Reports the highest value as the worst if `lowerIsBetter` is set, otherwise the lowest.
    void add(std::string_view measure, std::size_t size, std::vector<double> values, std::string_view unit, bool lowerIsBetter = true)
    {
        std::sort(values.begin(), values.end());
        const std::string row = fmt::format("{},{},{:.6g},{:.6g},{}\n", measure, size, values[values.size() / 2], lowerIsBetter ? values.back() : values.front(), unit);
        m_file << row << std::flush;
        fmt::print("{}", row);
    }

private:
    std::ofstream m_file;
};

void waitForLeader(ControlGroup& group)
{
    if (!group.runUntil([&group] { return group.leader().has_value(); }, 20 * kSecond))
        throw std::runtime_error("no leader was elected");
}

// Returns the time in milliseconds from the loss of a leader until another holds a valid lease.
double measureFailOverMillis(std::uint64_t seed, std::size_t replicas, Micros delay)
{
    ControlGroup group({ .replicas = replicas, .seed = seed, .messageDelay = delay, .syncDelay = Micros { 1'000 }, .folder = {} });
    waitForLeader(group);
    group.runFor(kSecond + Micros { static_cast<Micros::rep>(seed * 977 % 50'000) });
    group.stop(*group.leader());
    const TimePoint start = group.now();
    waitForLeader(group);
    return static_cast<double>((group.now() - start).count()) / 1'000;
}

SetClass makeChange(std::size_t number, ConfigurationVersion expected)
{
    SetClass change;
    change.changeId = fmt::format("change-{}", number);
    change.expectedVersion = expected;
    change.target.name = fmt::format("class-{}", number % 50);
    change.target.owner = "nile";
    change.target.collection = "orders";
    change.target.latency = Micros { 1'000 + static_cast<Micros::rep>(number % 50'000) };
    return change;
}

// Keeps a number of commands in flight until all are answered.
void runCommands(ControlGroup& group, std::size_t count, std::size_t inFlight, CommandStatus expected, const std::function<Command(std::size_t)>& commandOf)
{
    std::size_t submitted = 0;
    std::size_t answered = 0;
    std::size_t failed = 0;
    const std::size_t leader = *group.leader();
    while (answered < count) {
        while (submitted < count && submitted - answered < inFlight) {
            group.submit(leader, commandOf(submitted), [&](const CommandResult& result) {
                ++answered;
                failed += result.status == expected ? 0 : 1;
            });
            ++submitted;
        }
        const std::size_t before = answered;
        if (!group.runUntil([&] { return answered > before; }, 10 * kSecond))
            throw std::runtime_error("a command was not answered");
    }
    if (failed > 0)
        throw std::runtime_error(fmt::format("{} commands failed", failed));
}

void measureRecovery(Rows& rows, std::size_t changes)
{
    const stand_ins::TemporaryFolder folder;
    std::uint64_t bytes = 0;
    std::uint64_t snapshotBytes = 0;
    {
        ControlGroup group({ .replicas = 1, .folder = folder.path() });
        waitForLeader(group);
        std::map<std::size_t, std::uint64_t> versions;
        std::uint64_t version = 0;
        // Fifty classes in flight at a time, so that no change waits for the version of another.
        runCommands(group, changes, 50, CommandStatus::Accepted, [&](std::size_t n) {
            const ConfigurationVersion expected { versions[n % 50] };
            versions[n % 50] = ++version;
            return Command { makeChange(n, expected) };
        });
        bytes = group.storage(0).journalBytes();
        snapshotBytes = group.storage(0).snapshotBytes();
    }
    std::vector<double> times;
    for (int n = 0; n < 9; ++n) {
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        storage::ControlStorage storage((folder.path() / "r0").string());
        storage::ControlStorage::OpenResult result = storage.open();
        ControlReducer reducer({ .name = "r0", .owner = "nile", .initialVoters = { "r0" } });
        reducer.handle(Recovered { std::get<RecoveredState>(std::move(result)) }, TimePoint { kSecond });
        times.push_back(secondsSince(start) * 1'000);
    }
    rows.add("recovery_time", changes, times, "ms");
    rows.add("journal_size", changes, { static_cast<double>(bytes) }, "bytes");
    rows.add("snapshot_size", changes, { static_cast<double>(snapshotBytes) }, "bytes");
}

// The three journals are written in turn by one thread, so the rate is a lower bound for replicas on three machines.
void measureClaims(Rows& rows, std::size_t inFlight)
{
    constexpr std::size_t kRuns = 5;
    const std::size_t claims = inFlight * 40;
    constexpr UnixMillis kNow = 1'800'000'000'000;
    const stand_ins::TemporaryFolder folder;
    ControlGroup group({ .replicas = 3, .messageDelay = Micros { 1 }, .syncDelay = Micros { 1 }, .folder = folder.path() });
    waitForLeader(group);
    std::vector<double> rates;
    for (std::size_t run = 0; run < kRuns; ++run) {
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        runCommands(group, claims, inFlight, CommandStatus::ClaimGranted,
            [run](std::size_t n) { return Command { ClaimRequest { fmt::format("request-{}-{}", run, n), "entry-1:1", kNow, kNow } }; });
        rates.push_back(static_cast<double>(claims) / secondsSince(start));
    }
    rows.add("claims_per_second", inFlight, rates, "1/s", false);
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine line("Measures the control group", ' ', CURRANTTRAIL_VERSION);
        TCLAP::ValueArg<std::string> output("", "output", "file for the rows", false, "control.csv", "path", line);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "first seed", false, 1, "number", line);
        line.parse(argc, argv);

        Rows rows(output.getValue());
        for (std::size_t replicas : { 3, 5 }) {
            std::vector<double> times;
            for (std::uint64_t n = 0; n < 200; ++n)
                times.push_back(measureFailOverMillis(seed.getValue() + n, replicas, Micros { n % 2 == 0 ? 500 : 1'500 }));
            rows.add("fail_over", replicas, times, "ms");
        }
        for (std::size_t changes : { 1'000, 100'000 })
            measureRecovery(rows, changes);
        for (std::size_t inFlight : { 1, 64, 512 })
            measureClaims(rows, inFlight);
        return 0;
    } catch (const std::exception& error) {
        fmt::print(stderr, "control_bench: {}\n", error.what());
        return 1;
    }
}
