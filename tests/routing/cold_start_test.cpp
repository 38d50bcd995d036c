#include "tests/routing/router_fleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

constexpr double kRate = 10;
constexpr Micros kSecond { 1'000'000 };

struct ColdFleet : RouterFleet {
    ColdFleet(std::size_t instances, std::uint64_t seed, double rate)
        : RouterFleet(instances, seed)
    {
        addServer("i1", "shard", 1'000);
        document->collections["shard"].coldRequestsPerSecond = rate;
        document->routes.push_back({ "search", "site", "/search/", true, milliseconds { 600 }, milliseconds { 100 }, 1, 2, ScatterTarget { { "shard" }, 1, 3 } });
        start();
        loads = { { "/search/x", 100 } };
        run(milliseconds { 3'000 });
    }

    void turnCold(Micros remaining, std::size_t cutOff = 0, Micros age = Micros { 0 })
    {
        serverList.front().coldStartRemaining = remaining;
        publish(cutOff, age);
    }

    const std::vector<TimePoint>& arrivals() { return servers["i1"].arrivals; }

    void checkColdSince(TimePoint from, const std::string& context)
    {
        const std::size_t most = mostInWindow(arrivals(), kSecond, from);
        BOOST_TEST(static_cast<double>(most) <= 1.5 * kRate + 5, context << ": " << most << " requests in a second");
        BOOST_TEST(static_cast<double>(most) >= kRate / 4, context << ": " << most << " requests in a second");
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(ColdStarts)

// A warm server turns cold under steady load, and again soon after. Guards against more requests from all instances together than it
// takes, also where some are cut off from control, restart or stand still, and against a limit that outlasts the cold time.
BOOST_AUTO_TEST_CASE(AllInstancesTogetherSpareAColdServer)
{
    for (const std::size_t instances : { 3U, 28U, 65U }) {
        for (std::uint64_t seed = 1; seed <= 4; ++seed) {
            const std::string context = fmt::format("{} instances, seed {}", instances, seed);
            ColdFleet fleet(instances, seed, kRate);
            for (int turn = 0; turn < 2; ++turn) {
                const TimePoint coldAt = fleet.now;
                // The news reach the instances late, and never those that are cut off.
                fleet.turnCold(Micros { 7'000'000 }, instances / 20, Micros { 1'000'000 });
                fleet.run(milliseconds { 2'000 });
                BOOST_TEST(fleet.routers.front()->counters().coldServers == 1u);
                fleet.pause(1, milliseconds { 1'500 });
                fleet.serverList.front().coldStartRemaining = Micros { 4'000'000 };
                fleet.restart(0);
                fleet.run(milliseconds { 4'000 });
                fleet.checkColdSince(coldAt, context);
                fleet.serverList.front().coldStartRemaining = Micros { 0 };
                fleet.run(milliseconds { 500 });
                BOOST_TEST(fleet.routers.front()->counters().coldServers == 0u);
                fleet.outcomes.clear();
                fleet.run(milliseconds { 2'000 });
                BOOST_TEST(fleet.outcomes["/search/x"].refused == 0u, context);
            }
        }
    }
}

// Callers stay away while a server is cold and return all at once. Guards against tokens that many instances have saved up.
BOOST_AUTO_TEST_CASE(CallersWhoReturnAtOnceDoNotOverrunAColdServer)
{
    for (const std::size_t instances : { 3U, 28U, 65U, 200U }) {
        ColdFleet fleet(instances, 5 + instances, kRate);
        fleet.loads.clear();
        fleet.run(milliseconds { 500 });
        const TimePoint coldAt = fleet.now;
        fleet.turnCold(Micros { 100'000'000 });
        for (int n = 0; n < 4; ++n) {
            fleet.run(milliseconds { 15'000 });
            fleet.loads = { { "/search/x", 199 } };
            fleet.run(milliseconds { 3'000 });
            fleet.loads.clear();
        }
        fleet.checkColdSince(coldAt, fmt::format("{} instances", instances));
    }
}

// Guards against a limit for collections whose servers take any number of requests while they are cold.
BOOST_AUTO_TEST_CASE(WithoutARateAColdServerIsServedAsBefore)
{
    ColdFleet cold(9, 3, 0);
    ColdFleet warm(9, 3, 0);
    cold.turnCold(Micros { 5'000'000 });
    warm.turnCold(Micros { 0 });
    for (ColdFleet* fleet : { &cold, &warm })
        fleet->run(milliseconds { 8'000 });
    BOOST_TEST((cold.arrivals() == warm.arrivals()));
    BOOST_TEST(cold.outcomes["/search/x"].served == warm.outcomes["/search/x"].served);
}

// Guards against the higher of two limits where a cold server also names one.
BOOST_AUTO_TEST_CASE(TheLowerOfTwoLimitsBinds)
{
    for (const double named : { 2.0, 60.0 }) {
        ColdFleet fleet(9, 11, kRate);
        fleet.servers["i1"].namedLimit = named;
        fleet.run(milliseconds { 8'000 });
        const TimePoint coldAt = fleet.now;
        fleet.turnCold(Micros { 20'000'000 });
        fleet.run(milliseconds { 20'000 });
        const std::size_t most = RouterFleet::mostInWindow(fleet.arrivals(), kSecond, coldAt);
        BOOST_TEST(static_cast<double>(most) <= 1.5 * std::min(named, kRate) + 5, named << ": " << most);
    }
}

// One server of a shard rejects all requests, so that each is sent again to the other, which is cold. Guards against retries and hedges
// beside the limit.
BOOST_AUTO_TEST_CASE(RetriesToAColdServerCount)
{
    RouterHarness harness(100'000);
    harness.setUpCollections(1, 1.0);
    std::shared_ptr<RouteDocument> document = std::make_shared<RouteDocument>(*harness.document);
    document->version = 2;
    document->collections["shard0"].coldRequestsPerSecond = kRate;
    harness.handle(RouteDocumentUpdated { document });
    // The server says so itself, before the list does.
    std::vector<TimePoint> arrivals;
    for (int n = 0; n < 400; ++n) {
        harness.sendRequest("/search/x");
        for (std::vector<SendAttempt> sent = harness.takeSent(); !sent.empty(); sent = harness.takeSent()) {
            for (const SendAttempt& send : sent) {
                ServerReply reply = send.instance == "s0a" ? RouterHarness::failure(ReplyKind::NotExecuted, 503) : RouterHarness::success("stamp");
                if (send.instance == "s0b") {
                    arrivals.push_back(harness.now);
                    reply.coldRemaining = Micros { 3'000'000 };
                }
                harness.reply(send, std::move(reply));
            }
        }
        harness.advance(milliseconds { 15 });
    }
    BOOST_TEST_REQUIRE(arrivals.size() > 10u);
    BOOST_TEST(static_cast<double>(RouterFleet::mostInWindow(arrivals, kSecond, arrivals.front() + Micros { 1 })) <= 1.5 * kRate + 5);
}

// Requests wait for connections to a server that turns cold. Guards against sending them without tokens once the connections open.
BOOST_AUTO_TEST_CASE(WaitingRequestsDoNotReachAServerThatTurnsCold)
{
    RouterHarness harness;
    harness.setUpCollections(1, 1.0);
    std::shared_ptr<RouteDocument> document = std::make_shared<RouteDocument>(*harness.document);
    document->version = 2;
    document->collections["shard0"].coldRequestsPerSecond = kRate;
    harness.handle(RouteDocumentUpdated { document });
    harness.openConnections = false;
    const std::uint64_t openedBefore = harness.openedConnections;
    for (int n = 0; n < 6; ++n)
        harness.sendRequest("/search/x");
    // Each server has one connection.
    BOOST_TEST(harness.takeSent().size() == 2u);
    for (ServerRecord& record : harness.serverList)
        record.coldStartRemaining = Micros { 3'000'000 };
    harness.publish();
    for (std::uint64_t id = openedBefore + 1; id <= harness.openedConnections; ++id)
        harness.handle(ConnectionOpened { { id } });
    BOOST_TEST(harness.takeSent().empty());
    // Nobody waits for room in the limit.
    const std::vector<RefuseRequest> refusals = harness.takeEffects<RefuseRequest>();
    BOOST_TEST(refusals.size() == 4u);
    for (const RefuseRequest& refusal : refusals)
        BOOST_TEST(refusal.notRun);
}

BOOST_AUTO_TEST_SUITE_END()
