#include "scenario.h"

#include <csignal>
#include <filesystem>

// A control instance is replaced by plan. When its successor has run for longer than catchUpS, another control instance loses its disk.
namespace {

using namespace review;

constexpr Millis kCatchUp { 4'000 };
// Pause between the start of the successor and the SIGTERM of the instance that it replaces, which leaves the successor catchUpS.
constexpr Millis kReplacementPause { 5'000 };
// Pause between the end of the replaced instance and the loss of a disk.
constexpr Millis kPauseBeforeLoss { 2'000 };
constexpr Millis kRecovery { 12'000 };
constexpr Millis kDownTime { 1'000 };
constexpr Millis kStableWindow { 4'000 };
constexpr std::size_t kReplaced = 0;
constexpr std::size_t kWiped = 1;
constexpr std::size_t kSuccessor = 3;

std::string document(int version)
{
    return format(R"({"version":%d,"routes":[{"name":"visits","host":"site.example","pathPrefix":"/visits/","kind":"safe","timeoutMs":4000,"sloMs":400,"priority":2,"service":"plaque-log","maxAttempts":2}],)"
                  R"("services":[{"name":"plaque-log","healthPath":"/health","maxConns":37,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})",
        version);
}

bool scenario(const std::string& root, bool isTroubled, Record& record)
{
    SystemOptions options;
    options.gateways = 1;
    System system(root, options, record);
    ServerList list(system.listAddress(), record);
    Server server({ "plaque-log", "i-1", system.serverAddress(0) }, record);
    list.set({ "i-1", "plaque-log", system.serverAddress(0).text(), "z0" });
    system.startAll();
    if (!system.putConfiguration(document(3), Millis { 15'000 }) || !system.waitUntilReady(0, Millis { 10'000 }))
        throw SetupError { "the system does not start" };
    record.add("version 3 is acknowledged and the gateway is ready");
    sleepFor(kStableWindow);

    const std::int64_t started = record.elapsed();
    system.writeCoordinator(kSuccessor, false, { 0, 1, 2 });
    system.coordinator(kSuccessor).start();
    record.add("planned: coordinator 3 starts with an empty disk at a new address");
    sleepFor(kReplacementPause);
    system.coordinator(kReplaced).signal(SIGTERM);
    record.add(format("planned: coordinator 0 gets SIGTERM, %lld ms after the start of its successor", static_cast<long long>(record.elapsed() - started)));
    if (!system.coordinator(kReplaced).waitForExit(Millis { 6'000 }))
        throw SetupError { "coordinator 0 does not exit" };
    const std::int64_t ended = record.elapsed();
    record.add("coordinator 0 has exited and does not come back");
    if (!system.putConfiguration(document(7), Millis { 5'000 }))
        throw SetupError { "no change is acknowledged after the planned replacement" };
    record.add("version 7 is acknowledged");
    // Neither the successor counts as lost any more, nor the instance that it replaced.
    sleepFor(Millis { ended } + kPauseBeforeLoss - Millis { record.elapsed() });

    if (isTroubled) {
        system.coordinator(kWiped).signal(SIGKILL);
        system.coordinator(kWiped).waitForExit(Millis { 1'000 });
        std::filesystem::remove_all(system.dataFolder(kWiped));
        std::filesystem::create_directories(system.dataFolder(kWiped));
        record.add(format("coordinator 1 is killed and loses its disk, %lld ms after the start of coordinator 3 and %lld ms after the end of coordinator 0", static_cast<long long>(record.elapsed() - started), static_cast<long long>(record.elapsed() - ended)));
        sleepFor(kDownTime);
        system.writeCoordinator(kWiped, false, { 1, 2, kSuccessor });
        system.coordinator(kWiped).start();
        record.add("coordinator 1 is back at its address with an empty disk");
    }
    sleepFor(kCatchUp + kRecovery);
    record.add("all instances but the replaced one have run for longer than catchUpS and recoveryS; the operator reads the configuration");
    const std::optional<std::string> content = system.readConfiguration(3 * kStableWindow);
    if (!content) {
        record.add("no coordinator returns the configuration");
        record.add(system.putConfiguration(document(9), 3 * kStableWindow) ? "version 9 is acknowledged" : "version 9 is not acknowledged by any coordinator");
        return false;
    }
    record.add("read back: " + content->substr(0, 12));
    return *content == document(7);
}

} // namespace

int main(int argc, char** argv)
{
    return run(argc, argv, scenario);
}
