// One coordinator is killed while the system starts for the first time, and comes back.

#include "system.h"

using namespace review;

namespace {

// The machines start within 0.3 s of each other, in any order.
constexpr long kLaterStart = 300;
constexpr long kKill = 250;
constexpr long kBack = 750;
// Bounds of the pages: the core is stable this long after the last start, and then an order is acknowledged within this time.
constexpr long kStableWindow = 4'000;
constexpr long kAcknowledge = 5'000;
// The operator goes on for longer, to tell a hang from a delay.
constexpr long kPatience = 30'000;

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2)
        return kCouldNotRun;
    g_record.open(arguments[1]);
    signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::strcmp(setting, "0") != 0;

    System system(0);
    system.setServers({});
    if (!system.startPlatform())
        return kCouldNotRun;
    const long begin = elapsed();
    system.startCoordinator(0, true);
    record("core-1 starts, bootstrap = true, empty disk");
    pause(kKill);
    if (trouble) {
        system.coordinator(0).kill(SIGKILL);
        record("core-1 is killed");
    }
    pause(begin + kLaterStart - elapsed());
    for (int i = 1; i < 3; ++i)
        system.startCoordinator(i, true);
    record("core-2 and core-3 start, bootstrap = true, empty disks");
    pause(begin + kBack - elapsed());
    if (trouble) {
        system.startCoordinator(0, false);
        record("core-1 starts again, bootstrap = false, the disk that it had");
    }
    const long calm = elapsed() + kStableWindow;
    const std::string document = R"({"version":7,"routes":[{"name":"r-note","host":"example.test","pathPrefix":"/note/","kind":"unsafe","timeoutMs":4000,"sloMs":1000,"priority":1,"service":"notes","maxAttempts":2}],"services":[{"name":"notes","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    record("operator sends configuration 7 to all coordinators in turn until it is acknowledged");
    const bool acknowledged = system.configure(document, kPatience);
    const long late = elapsed() - calm - kAcknowledge;
    int result = kHeld;
    for (int i = 0; i < 3; ++i) {
        std::string how;
        if (system.coordinator(i).hasEnded(how)) {
            record("core-%d has ended by itself: %s", i + 1, how.c_str());
            result = kCouldNotRun;
        }
    }
    if (acknowledged)
        record("the configuration is acknowledged, %ld ms %s its bound", std::labs(late), late > 0 ? "after" : "before");
    else
        record("Acks: no coordinator has acknowledged the configuration %ld ms after its bound; all three processes run", late);
    if (result == kHeld && (!acknowledged || late > 0))
        result = kBroken;
    if (!acknowledged) {
        for (int i = 0; i < 3; ++i) {
            std::istringstream lines(readFile(system.folder() + "/core-" + std::to_string(i + 1) + ".log"));
            std::string last;
            for (std::string line; std::getline(lines, line);) {
                if (line.find(" no_leader ") != std::string::npos)
                    last = line;
            }
            record("last report of core-%d: %s", i + 1, last.c_str());
        }
    }
    record("result %d", result);
    return result;
}
