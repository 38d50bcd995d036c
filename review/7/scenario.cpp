#include "world.h"

#include <csignal>
#include <filesystem>

// A machine of the core is replaced, the new one first, and the old one is removed without SIGTERM. Right after that another machine
// loses its disk. The acknowledged configuration must stay readable.

using namespace review;

namespace {
using Clock = std::chrono::steady_clock;

constexpr const char* kFirstConfiguration = R"({"version":3,"routes":[
{"name":"r-visit","host":"site.example","pathPrefix":"/visit/","kind":"safe","timeoutMs":4000,"sloMs":400,"priority":1,"service":"visits","maxAttempts":2}],
"services":[{"name":"visits","healthPath":"/health","maxConns":37,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
constexpr std::size_t kRemoved = 0;
constexpr std::size_t kWiped = 1;
constexpr std::size_t kSuccessor = 3;
// Longer than `catchUpS`, so that the removed machine does not count any more.
constexpr Millis kCatchUpTime { 5'000 };
constexpr Millis kTimeUntilLoss { 300 };
constexpr Millis kDownTime { 1'000 };
// More than `recoveryS` and `stableWindowMs`.
constexpr Millis kReadTime { 30'000 };

bool isReadable(World& world)
{
    const Clock::time_point deadline = Clock::now() + kReadTime;
    std::map<unsigned, unsigned> statuses;
    while (Clock::now() < deadline) {
        for (const std::size_t n : { kWiped, std::size_t { 2 }, kSuccessor }) {
            const Message response = world.order(n, "GET", "/curranttrail/config", {});
            ++statuses[response.status()];
            if (response.status() == 200 && response.body == kFirstConfiguration)
                return true;
        }
        sleepFor(Millis { 200 });
    }
    std::string text;
    for (const auto& [status, count] : statuses)
        text += " " + std::to_string(status) + " (" + std::to_string(count) + " times)";
    world.record.add("CONFIG: version 3 was acknowledged and is not read back within " + std::to_string(kReadTime.count()) + " ms; the three machines of the core answered" + text);
    return false;
}

int run(World& world)
{
    world.addServer("visits");
    world.startPlatform();
    world.startAll();
    if (!world.configure(kFirstConfiguration, Millis { 10'000 }) || !world.waitUntilServed(0, "/visit/1", Millis { 5'000 }))
        return 2;
    sleepFor(kCatchUpTime);
    world.writeCoordinator(kSuccessor, false);
    world.coordinators[kSuccessor]->start();
    world.record.add("coordinator 3 started with an empty disk");
    sleepFor(kCatchUpTime);
    world.coordinators[kRemoved]->kill();
    world.record.add("coordinator 0 removed for good without SIGTERM");
    if (hasTrouble()) {
        sleepFor(kTimeUntilLoss);
        world.coordinators[kWiped]->kill();
        std::filesystem::remove_all(world.dataFolder(kWiped));
        std::filesystem::create_directories(world.dataFolder(kWiped));
        world.record.add("coordinator 1 killed, its disk is lost");
        sleepFor(kDownTime);
        world.writeCoordinator(kWiped, false);
        world.coordinators[kWiped]->start();
        world.record.add("coordinator 1 started again with an empty disk and bootstrap = false");
    }
    if (!isReadable(world))
        return 1;
    world.record.add("version 3 is read back");
    return 0;
}
} // namespace

int main(int argc, char** argv)
{
    return runScenario(argc, argv, { 3, 1, 1 }, run);
}
