#include "main/entry_daemon.h"
#include "tests/stand_ins/backend_fleet.h"
#include "tests/stand_ins/control_stand_in.h"
#include "tests/stand_ins/platform_stand_in.h"
#include "tests/stand_ins/raw_client.h"
#include "transport/backend_protocol.h"
#include "transport/event_sink.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <cstdio>
#include <filesystem>
#include <fstream>
#include <functional>
#include <thread>

#include <unistd.h>

using namespace curranttrail;
using stand_ins::bodyOf;
using stand_ins::RawClient;
using stand_ins::statusOf;

// Measures what an entry instance adds to the latency of a query, against calling a backend server directly. Both kinds
// of call alternate in one run, so that both meet the same load on the machine.
namespace {

constexpr const char* kClusterKey = "a cluster key of at least 32 bytes for measurement";
// SHA-256 of "token".
constexpr const char* kTokenDigest = "3c469e9d6c5875d37a43f353d4f88e61fcf812c66eee3457465a40b0da4153e0";

struct Arguments {
    int calls = 0;
    std::uint32_t shards = 1;
    std::int64_t serviceMicros = 0;
};

// An entry instance with stand-ins for its control group, backend servers and platform, all in this process.
struct TestSystem {
    explicit TestSystem(const Arguments& arguments)
    {
        stand_ins::BackendBehaviour behaviour;
        behaviour.serviceTime = Micros { arguments.serviceMicros };
        behaviour.serviceSigma = 0;
        behaviour.slots = 8;
        stand_ins::FleetSettings fleetSettings;
        fleetSettings.groups.push_back({ "nile", "catalogue", { "cairo-1" }, arguments.shards, 2, 100, 1, behaviour });
        control.setClass({ "search", "nile", "catalogue", 0.99, Micros { 100'000 }, 1.0, true });
        std::ofstream(keyFile) << kClusterKey;
        fleet = std::make_unique<stand_ins::BackendFleet>(threads, fleetSettings);
        platform = std::make_unique<stand_ins::PlatformStandIn>(threads, transport::Endpoint { "127.0.0.1", 0 }, Micros { 0 });
        platform->set(fleet->instancesJson());
        EntrySettings settings;
        settings.name = "nile-e1";
        settings.owner = "nile";
        settings.dataCentre = "cairo-1";
        settings.clusterKeyFile = keyFile;
        settings.control = { { "nile-control", "nile", { "127.0.0.1", control.port() } } };
        settings.platform = { "127.0.0.1", platform->port() };
        settings.callers = { { "bench", "nile", kTokenDigest } };
        settings.drainPause = Micros { 0 };
        entry = std::make_unique<EntryDaemon>(settings, sink);
        entry->start();
    }

    ~TestSystem()
    {
        entry.reset();
        platform.reset();
        fleet.reset();
        threads.stop();
        std::remove(keyFile.c_str());
    }

    transport::IoThreads threads { 2 };
    stand_ins::ControlStandIn control { "nile", kClusterKey };
    std::string keyFile = (std::filesystem::temp_directory_path() / fmt::format("curranttrail-bench-{}.key", ::getpid())).string();
    std::unique_ptr<stand_ins::BackendFleet> fleet;
    std::unique_ptr<stand_ins::PlatformStandIn> platform;
    transport::EventSink sink { { "nile-e1", Severity::Error } };
    std::unique_ptr<EntryDaemon> entry;
};

std::int64_t measureMicros(const std::function<void()>& call)
{
    const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
    call();
    return std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - start).count();
}

std::int64_t quantile(std::vector<std::int64_t> values, double share)
{
    std::sort(values.begin(), values.end());
    return values[std::min(values.size() - 1, static_cast<std::size_t>(share * static_cast<double>(values.size())))];
}

std::string entryCall()
{
    return stand_ins::httpRequestText("POST", "/v1/query", R"({"class":"search","deadline_ms":5000,"query":{"text":"oak"}})", "Authorization: Bearer token\r\n");
}

std::string directCall(std::uint32_t shards)
{
    const query::ShardRange shard = stand_ins::evenShards("catalogue/1/", shards).front();
    return stand_ins::httpRequestText("POST", "/v1/subquery", R"({"text":"oak"})",
        fmt::format("X-Request-Attempt: bench-1\r\nX-Snapshot: 1\r\nX-Shard: {}\r\nX-Key-Range: {}\r\nX-Deadline-Ms: 5000\r\n", shard.shard, transport::keyRangeText(shard.range)));
}

// Calls the entry instance until it answers completely, so that start-up is not measured.
bool warmUp(TestSystem& testSystem)
{
    for (int n = 0; n < 2'000; ++n) {
        RawClient client(testSystem.entry->httpPort());
        client.send(entryCall());
        const std::string response = client.readMessage();
        if (statusOf(response) == "200" && bodyOf(response).find("\"lacking\":[]") != std::string::npos)
            return true;
        std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
    }
    return false;
}

int measure(const Arguments& arguments)
{
    TestSystem testSystem(arguments);
    if (!warmUp(testSystem)) {
        fmt::print(stderr, "the entry instance did not become ready\n");
        return 1;
    }
    RawClient entry(testSystem.entry->httpPort());
    RawClient direct(testSystem.fleet->servers().front()->address().port);
    std::vector<std::int64_t> entryLatencies;
    std::vector<std::int64_t> directLatencies;
    int failures = 0;
    for (int n = 0; n < arguments.calls; ++n) {
        entryLatencies.push_back(measureMicros([&] {
            entry.send(entryCall());
            failures += statusOf(entry.readMessage()) == "200" ? 0 : 1;
        }));
        directLatencies.push_back(measureMicros([&] {
            direct.send(directCall(arguments.shards));
            failures += statusOf(direct.readMessage()) == "200" ? 0 : 1;
        }));
    }
    fmt::print("measure,calls,shards,service_us,median_us,p99_us\n");
    const auto row = [&](std::string_view name, std::int64_t median, std::int64_t high) {
        fmt::print("{},{},{},{},{},{}\n", name, arguments.calls, arguments.shards, arguments.serviceMicros, median, high);
    };
    row("direct", quantile(directLatencies, 0.5), quantile(directLatencies, 0.99));
    row("through_entry", quantile(entryLatencies, 0.5), quantile(entryLatencies, 0.99));
    row("added", quantile(entryLatencies, 0.5) - quantile(directLatencies, 0.5), quantile(entryLatencies, 0.99) - quantile(directLatencies, 0.99));
    fmt::print("failures,{}\n", failures);
    return failures == 0 ? 0 : 1;
}

} // namespace

int main(int argc, char** argv)
{
    TCLAP::CmdLine line("Measures the latency that an entry instance adds.", ' ', CURRANTTRAIL_VERSION);
    TCLAP::ValueArg<int> calls("", "calls", "Calls of each kind", false, 3'000, "number", line);
    TCLAP::ValueArg<std::uint32_t> shards("", "shards", "Shards of the collection", false, 1, "number", line);
    TCLAP::ValueArg<std::int64_t> service("", "service-us", "Service time of the backend servers in microseconds", false, 2'000, "number", line);
    line.parse(argc, argv);
    return measure({ calls.getValue(), shards.getValue(), service.getValue() });
}
