#include "tests/routing/router_fleet.h"

#include <boost/test/unit_test.hpp>

#include <chrono>
#include <optional>
#include <string>
#include <utility>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

constexpr Micros kLimitWindow { 4'000'000 };
// The platform counts from this time after a server first named its limit.
constexpr milliseconds kLimitBindingDelay { 4'000 };

// Instances with two routes of different priority to the same shards, each with a number of servers.
RouterFleet fleetOfShards(std::size_t instances, std::size_t shards, std::size_t servers, std::uint64_t seed)
{
    RouterFleet fleet(instances, seed);
    ScatterTarget scatter { {}, 0.9, 3 };
    for (std::size_t shard = 0; shard < shards; ++shard) {
        scatter.shards.push_back(fmt::format("shard{}", shard));
        for (std::size_t n = 0; n < servers; ++n)
            fleet.addServer(fmt::format("i-{}-{}", shard, n), scatter.shards.back(), 1'000);
    }
    fleet.document->routes.push_back({ "urgent", "site", "/urgent/", true, milliseconds { 600 }, milliseconds { 100 }, 1, 2, scatter });
    fleet.document->routes.push_back({ "usual", "site", "/usual/", true, milliseconds { 600 }, milliseconds { 100 }, 2, 2, scatter });
    fleet.start();
    return fleet;
}

void checkLimit(const RouterFleet& fleet, const std::string& server, double limit, TimePoint namedAt, const std::string& context)
{
    const double allowed = 1.5 * limit * std::chrono::duration<double>(kLimitWindow).count() + 5;
    const std::size_t most = RouterFleet::mostInWindow(fleet.servers.at(server).informedArrivals, kLimitWindow, namedAt + kLimitBindingDelay);
    BOOST_TEST(static_cast<double>(most) <= allowed, context << ": " << server << " got " << most << " requests, allowed are " << allowed);
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerLimits)

// One server of a shard names a limit below its part of the queries. Guards against sending it more, and against queries that are
// refused or late although the other server has room.
BOOST_AUTO_TEST_CASE(RequestsBeyondAServersLimitGoToTheOtherServer)
{
    for (const std::size_t instances : { 3U, 9U, 62U, 200U }) {
        for (const double limit : { 25.9, 8.0, 1.5, 0.0 }) {
            RouterFleet fleet = fleetOfShards(instances, 2, 2, 11 + instances);
            fleet.loads = { { "/urgent/x", 68 }, { "/usual/x", 22 } };
            fleet.run(milliseconds { 4'000 });
            const TimePoint namedAt = fleet.now;
            fleet.servers["i-0-0"].namedLimit = limit;
            fleet.run(milliseconds { 20'000 });
            checkLimit(fleet, "i-0-0", limit, namedAt, fmt::format("{} instances, limit {}", instances, limit));
            for (const auto& [path, outcome] : fleet.outcomes)
                BOOST_TEST(outcome.refused == 0u, path);
        }
    }
}

// One server rejects all requests, so that each is sent again to the other, which names a limit. Guards against retries and hedges that
// are sent beside the limit, and against a limit that a new server at the same address inherits.
BOOST_AUTO_TEST_CASE(RetriesCountAndANewServerStartsWithoutALimit)
{
    constexpr double kLimit = 10;
    RouterHarness harness(100'000);
    harness.setUpCollections(1, 1.0);
    std::vector<TimePoint> arrivals;
    const auto sendQueries = [&](int queries, std::optional<NamedLimit> limit) {
        for (int n = 0; n < queries; ++n) {
            harness.sendRequest("/search/x");
            for (std::vector<SendAttempt> sent = harness.takeSent(); !sent.empty(); sent = harness.takeSent()) {
                for (const SendAttempt& send : sent) {
                    if (send.instance == "s0a") {
                        harness.reply(send, RouterHarness::failure(ReplyKind::NotExecuted, 503));
                        continue;
                    }
                    arrivals.push_back(harness.now);
                    ServerReply reply = RouterHarness::success("stamp");
                    reply.limit = limit;
                    harness.reply(send, std::move(reply));
                }
            }
            harness.advance(milliseconds { 20 });
        }
    };
    sendQueries(600, NamedLimit { kLimit });
    const std::size_t most = RouterFleet::mostInWindow(arrivals, kLimitWindow, arrivals.front() + kLimitBindingDelay);
    BOOST_TEST(static_cast<double>(most) <= 1.5 * kLimit * 4 + 5);
    BOOST_TEST(harness.router.counters().limitedServers == 1u);

    for (ServerRecord& record : harness.serverList) {
        if (record.instance == "s0b")
            record.instance = "s0c";
    }
    harness.publish();
    harness.advance(milliseconds { 200 });
    arrivals.clear();
    sendQueries(50, std::nullopt);
    BOOST_TEST(arrivals.size() == 50u);
}

// Instances save up tokens while a limited server gets no requests, and all callers return at once. Guards against a burst beyond
// the limit, which buckets that are full at many instances would allow.
BOOST_AUTO_TEST_CASE(NoBurstExceedsTheLimitAfterAPause)
{
    for (const std::size_t instances : { 9U, 62U, 200U }) {
        for (const double limit : { 25.9, 8.0 }) {
            RouterFleet fleet = fleetOfShards(instances, 1, 1, 23 + instances);
            fleet.loads = { { "/urgent/x", 150 } };
            const TimePoint namedAt = fleet.now;
            fleet.servers["i-0-0"].namedLimit = limit;
            for (int n = 0; n < 3; ++n) {
                fleet.loads = { { "/urgent/x", 150 } };
                fleet.run(milliseconds { 12'000 });
                fleet.loads.clear();
                fleet.run(milliseconds { 20'000 });
            }
            checkLimit(fleet, "i-0-0", limit, namedAt, fmt::format("{} instances, limit {}", instances, limit));
        }
    }
}

// All servers of all shards name limits of half of the load together. Guards against queries that are sent although some shard has no
// room, that wait for room, or that take it from a more urgent class, and against room that is not used.
BOOST_AUTO_TEST_CASE(TheMoreUrgentClassIsServedWhereAllServersAreLimited)
{
    for (const std::size_t instances : { 9U, 62U }) {
        constexpr double kLimit = 22.5;
        RouterFleet fleet = fleetOfShards(instances, 10, 2, 31 + instances);
        for (auto& [name, server] : fleet.servers)
            server.namedLimit = kLimit;
        const TimePoint namedAt = fleet.now;
        fleet.loads = { { "/urgent/x", 68 }, { "/usual/x", 22 } };
        fleet.run(milliseconds { 15'000 });
        fleet.outcomes.clear();
        constexpr milliseconds kObserved { 30'000 };
        fleet.run(kObserved);
        for (const auto& [name, server] : fleet.servers)
            checkLimit(fleet, name, kLimit, namedAt, fmt::format("{} instances", instances));
        const RouterFleet::Outcomes& urgent = fleet.outcomes["/urgent/x"];
        const RouterFleet::Outcomes& usual = fleet.outcomes["/usual/x"];
        for (const auto& [path, outcome] : fleet.outcomes) {
            BOOST_TEST(outcome.refusedLate == 0u, path);
            BOOST_TEST((outcome.shortestRetryAfter > Micros { 0 }), path);
            BOOST_TEST((outcome.longestRetryAfter <= Micros { 1'500'000 }), path);
        }
        const auto servedShare = [](const RouterFleet::Outcomes& outcome) { return static_cast<double>(outcome.served) / static_cast<double>(outcome.served + outcome.refused); };
        BOOST_TEST(servedShare(urgent) > servedShare(usual));
        // No class may be served less than a quarter as often as all of them together.
        const double all = static_cast<double>(urgent.served + usual.served) / static_cast<double>(urgent.served + urgent.refused + usual.served + usual.refused);
        BOOST_TEST(servedShare(usual) * 4 >= all);
        const double room = 2 * kLimit * std::chrono::duration<double>(kObserved).count();
        BOOST_TEST(static_cast<double>(urgent.served + usual.served) * 2 >= room, instances << " instances");
    }
}

// Instances restart one after the other or all at once, and others stand still for some seconds. Guards against instances that assume
// fewer others than there are, start with tokens or spend those of the time in which they stood still.
BOOST_AUTO_TEST_CASE(InstancesThatRestartOrPauseStayWithinTheLimit)
{
    for (const std::size_t instances : { 9U, 62U }) {
        constexpr double kLimit = 20;
        RouterFleet fleet = fleetOfShards(instances, 1, 1, 53 + instances);
        const TimePoint namedAt = fleet.now;
        fleet.servers["i-0-0"].namedLimit = kLimit;
        fleet.loads = { { "/urgent/x", 150 } };
        fleet.run(milliseconds { 8'000 });
        for (std::size_t n = 0; n < instances; ++n) {
            fleet.restart(n);
            fleet.pause((n + 1) % instances, milliseconds { 3'000 });
            fleet.run(milliseconds { 700 });
        }
        for (std::size_t n = 0; n < instances; ++n)
            fleet.restart(n);
        fleet.run(milliseconds { 8'000 });
        checkLimit(fleet, "i-0-0", kLimit, namedAt, fmt::format("{} instances", instances));
    }
}

// The server no longer names a limit. Guards against instances that never learn of the end because they have no tokens, and against
// all of them returning at the same moment.
BOOST_AUTO_TEST_CASE(TheEndOfALimitIsLearnedAndFollowedByAGentleReturn)
{
    for (const std::size_t instances : { 9U, 62U }) {
        constexpr double kLimit = 8;
        RouterFleet fleet = fleetOfShards(instances, 1, 1, 41 + instances);
        fleet.loads = { { "/urgent/x", 90 } };
        fleet.servers["i-0-0"].namedLimit = kLimit;
        fleet.run(milliseconds { 20'000 });
        RouterFleet::SimulatedServer& server = fleet.servers["i-0-0"];
        server.namedLimit.reset();
        const std::size_t before = server.arrivals.size();
        fleet.run(milliseconds { 1'000 });
        BOOST_TEST(static_cast<double>(server.arrivals.size() - before) <= 1.5 * kLimit + 5, instances << " instances");
        // In this time each instance gets three tokens.
        fleet.run(milliseconds { static_cast<int>(3 * static_cast<double>(instances) / kLimit * 1'000) + 3'000 });
        fleet.outcomes.clear();
        fleet.run(milliseconds { 5'000 });
        BOOST_TEST(fleet.outcomes["/urgent/x"].refused == 0u, instances << " instances");
    }
}

BOOST_AUTO_TEST_SUITE_END()
