#include "routing/events.h"
#include "tests/routing/oversubscribed_fleet.h"
#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <set>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

// Runs queries one after the other, replies to each attempt by the given rule, and counts first attempts by server.
template <typename Rule>
std::map<std::string, int> firstAttempts(RouterHarness& harness, int queries, Rule rule)
{
    std::map<std::string, int> counts;
    for (int n = 0; n < queries; ++n) {
        harness.sendRequest("/search/x");
        for (const SendAttempt& send : harness.takeSent()) {
            ++counts[send.instance];
            rule(send);
        }
        while (!harness.sent.empty()) {
            for (const SendAttempt& send : harness.takeSent())
                rule(send);
        }
        harness.advance(milliseconds { 10 });
        for (const SendAttempt& send : harness.takeSent())
            rule(send);
    }
    return counts;
}

} // namespace

BOOST_AUTO_TEST_SUITE(LoadPatterns)

// One server of each shard rejects part of its work without counting as failed. Guards against it keeping its share of first
// attempts, which would use up the budget of additional attempts.
BOOST_AUTO_TEST_CASE(RejectingServersLoseFirstAttempts)
{
    RouterHarness harness;
    harness.setUpCollections(4, 0.75);
    int turn = 0;
    const auto rule = [&](const SendAttempt& send) {
        if (send.instance.ends_with("a") && ++turn % 5 < 2)
            harness.reply(send, RouterHarness::failure(ReplyKind::NotExecuted, 503));
        else
            harness.reply(send, RouterHarness::success(send.instance));
    };
    firstAttempts(harness, 30, rule);
    const std::map<std::string, int> counts = firstAttempts(harness, 200, rule);
    int rejecting = 0;
    int total = 0;
    for (const auto& [server, count] : counts) {
        total += count;
        rejecting += server.ends_with("a") ? count : 0;
    }
    BOOST_TEST(rejecting * 4 < total);
}

// One server of each shard is several times slower than the other. Guards against it keeping its share of first attempts.
BOOST_AUTO_TEST_CASE(SlowServersLoseFirstAttempts)
{
    RouterHarness harness;
    harness.setUpCollections(4, 0.75);
    std::map<std::string, int> counts;
    for (int n = 0; n < 300; ++n) {
        harness.sendRequest("/search/x");
        const std::vector<SendAttempt> first = harness.takeSent();
        harness.advance(milliseconds { 8 });
        for (const SendAttempt& send : first) {
            if (n >= 60)
                ++counts[send.instance];
            if (send.instance.ends_with("b"))
                harness.reply(send, RouterHarness::success(send.instance));
        }
        harness.advance(milliseconds { 60 });
        for (const SendAttempt& send : first) {
            if (send.instance.ends_with("a"))
                harness.reply(send, RouterHarness::success(send.instance));
        }
        for (const SendAttempt& send : harness.takeSent())
            harness.reply(send, RouterHarness::success(send.instance));
        harness.advance(milliseconds { 20 });
    }
    int slow = 0;
    int total = 0;
    for (const auto& [server, count] : counts) {
        total += count;
        slow += server.ends_with("a") ? count : 0;
    }
    BOOST_TEST(slow * 4 < total);
}

// All servers are late and their replies unusable. Guards against additional attempts that exceed the shared budget.
BOOST_AUTO_TEST_CASE(AdditionalAttemptsStayWithinTheSharedBudget)
{
    constexpr double kAllowance = 52;
    RouterHarness harness(kAllowance);
    harness.setUpCollections(1, 1.0);
    // Each request takes 50 ms, so that all of them lie within one window of the budget.
    constexpr int kRequests = 190;
    std::size_t sent = 0;
    for (int n = 0; n < kRequests; ++n) {
        harness.sendRequest("/search/x");
        harness.advance(milliseconds { 50 });
        const std::vector<SendAttempt> attempts = harness.takeSent();
        sent += attempts.size();
        for (const SendAttempt& send : attempts)
            harness.reply(send, RouterHarness::failure(ReplyKind::Unusable, 200));
        for (const SendAttempt& send : harness.takeSent()) {
            ++sent;
            harness.reply(send, RouterHarness::success("late"));
        }
    }
    BOOST_TEST(static_cast<double>(sent) <= kRequests * 1.2 + kAllowance);
}

// There are more instances than a server accepts connections. Guards against exceeding a server's connection limit, and against
// a shard with a server that no instance uses, with servers in one data centre and spread over several.
BOOST_AUTO_TEST_CASE(ConnectionsStayWithinTheServersLimits)
{
    for (const std::size_t dataCentres : { 1U, 3U, 4U }) {
        for (const std::size_t instances : { OversubscribedFleet::kKeepingInstances, OversubscribedFleet::kSharingInstances }) {
            OversubscribedFleet fleet(dataCentres, instances);
            fleet.run(milliseconds { 8'000 });
            BOOST_TEST(fleet.mostOpen.size() == 60U, instances << " instances in " << dataCentres << " data centres: " << fleet.mostOpen.size());
            for (const auto& [server, count] : fleet.mostOpen)
                BOOST_TEST(count <= OversubscribedFleet::kConnectionLimit, instances << " instances in " << dataCentres << " data centres, " << server << ": " << count);
            // Most requests find a connection that an earlier one left open.
            BOOST_TEST(fleet.opened * 2 < fleet.attempts);
        }
    }
}

// There are far more instances than a server accepts connections, and no traffic after a start. Guards against opening connections
// ahead of need, which the servers would reset, and against keeping them.
BOOST_AUTO_TEST_CASE(OversubscribedServersAreConnectedForRequestsOnly)
{
    OversubscribedFleet fleet(4, OversubscribedFleet::kSharingInstances);
    fleet.sendsQueries = false;
    fleet.run(milliseconds { 2'000 });
    BOOST_TEST(fleet.mostOpen.empty());
    fleet.sendsQueries = true;
    fleet.run(milliseconds { 3'000 });
    BOOST_TEST(!fleet.mostOpen.empty());
    fleet.sendsQueries = false;
    fleet.run(milliseconds { 4'000 });
    for (const auto& [server, count] : fleet.open)
        BOOST_TEST(count == 0U, server);
}

// There are more instances than a server accepts connections, and each data centre has a server of each shard. Guards against work
// that goes to another data centre because durations vary, although the own server is as good: it costs a longer round trip, and
// traffic between data centres is billed.
BOOST_AUTO_TEST_CASE(EqualServersInTheSameDataCentreArePreferred)
{
    OversubscribedFleet fleet(3);
    fleet.run(milliseconds { 8'000 });
    BOOST_TEST(fleet.localAttempts * 10 >= fleet.attempts * 9, fleet.localAttempts << " of " << fleet.attempts);
}

// After a loss of all instances, servers at their limit still count the old connections and reset new ones. Guards against requests
// that are sent on such connections: each would use up an attempt, and one that may run only once would be lost.
BOOST_AUTO_TEST_CASE(NewConnectionsAreProvedWhileServersResetThem)
{
    RouterHarness harness;
    harness.setUpCollections(1, 1.0);
    const auto loseIdleConnections = [&] {
        const std::uint64_t opened = harness.openedConnections;
        for (std::uint64_t id = 1; id <= opened; ++id)
            harness.handle(ConnectionLost { { id }, "closed" });
    };
    loseIdleConnections();
    harness.sendRequest("/search/x");
    const std::vector<SendAttempt> first = harness.takeSent();
    BOOST_TEST_REQUIRE(first.size() == 1u);
    harness.handle(AttemptConnectionLost { first.front().attempt, "reset" });
    harness.advance(milliseconds { 10 });
    const std::vector<SendAttempt> second = harness.takeSent();
    BOOST_TEST_REQUIRE(second.size() == 1u);
    harness.reply(second.front(), RouterHarness::success("stamp"));
    // Only the server that reset a connection remains.
    std::erase_if(harness.serverList, [&](const ServerRecord& record) { return record.instance == second.front().instance; });
    harness.publish();
    // Its idle connection has lasted for so long that its loss is no rejection.
    harness.advance(milliseconds { 1'000 });
    loseIdleConnections();
    harness.sendRequest("/search/x");
    BOOST_TEST(harness.takeSent().empty());
    harness.advance(milliseconds { 10 });
    const std::vector<SendAttempt> proved = harness.takeSent();
    BOOST_TEST_REQUIRE(proved.size() == 1u);
    harness.reply(proved.front(), RouterHarness::success("stamp"));
    loseIdleConnections();
    harness.effects.clear();
    // The next new connection is reset before it is used, so that the request surely has not run.
    harness.sendRequest("/search/x");
    harness.advance(milliseconds { 1 });
    loseIdleConnections();
    BOOST_TEST(harness.takeSent().empty());
    const std::vector<RefuseRequest> refusals = harness.takeEffects<RefuseRequest>();
    BOOST_TEST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals.front().notRun);
}

// All instances restart at the same moment. Guards against callers that are told to return before a leader can be there, since most
// return only once, and against all of them returning at the same moment.
BOOST_AUTO_TEST_CASE(CallersRefusedDuringAStartReturnAfterIt)
{
    constexpr Micros kLeaderElected { 400'000 };
    Router router({ "gateway-1", "dc-a", 7, {} });
    std::set<Micros> delays;
    for (std::uint64_t n = 1; n <= 50; ++n) {
        for (const Effect& effect : router.handle(RequestArrived { { n }, "id", "site", "/search/x" }, TimePoint { Micros { 1'000'000 } })) {
            if (const RefuseRequest* refusal = std::get_if<RefuseRequest>(&effect))
                delays.insert(refusal->retryAfter.value_or(Micros { 0 }));
        }
    }
    BOOST_TEST(delays.size() > 40u);
    BOOST_TEST((*delays.begin() >= kLeaderElected));
    BOOST_TEST((*delays.rbegin() - *delays.begin() >= milliseconds { 150 }));
}

// A data centre is cut off and takes one server of each shard with it: connections stay silent, new ones do not open. The other
// servers are busy. Guards against requests that wait for the lost servers again and again, and against leaving them unused after
// the partition.
BOOST_AUTO_TEST_CASE(ServersThatAreCutOffDelayNoRequests)
{
    constexpr Micros kServiceTime { 25'000 };
    RouterHarness harness;
    harness.setUpCollections(4, 1.0);
    const std::vector<std::string> cutOff { "s0a", "s1a", "s2a", "s3a" };
    std::vector<std::pair<TimePoint, SendAttempt>> running;
    std::map<std::string, int> attempts;
    // Sends a query each 10 ms. The servers that can be reached reply after the service time.
    const auto query = [&](int queries) {
        for (int n = 0; n < queries; ++n) {
            harness.sendRequest("/search/x");
            harness.advance(milliseconds { 10 });
            for (const SendAttempt& send : harness.takeSent()) {
                ++attempts[send.instance];
                if (!harness.unreachableAddresses.contains(harness.addressOf(send.instance)))
                    running.emplace_back(harness.now + kServiceTime, send);
            }
            while (!running.empty() && running.front().first <= harness.now) {
                harness.reply(running.front().second, RouterHarness::success(running.front().second.instance));
                running.erase(running.begin());
            }
        }
    };
    query(200);
    for (const std::string& instance : cutOff)
        harness.unreachableAddresses.insert(harness.addressOf(instance));
    query(150);
    attempts.clear();
    harness.effects.clear();
    query(500);
    for (const std::string& instance : cutOff)
        BOOST_TEST(!attempts.contains(instance));
    // A part waits for a connection only if it was given to a server that is cut off.
    const auto waited = std::count_if(harness.effects.begin(), harness.effects.end(), [](const Effect& effect) {
        const LogEvent* event = std::get_if<LogEvent>(&effect);
        return event && event->description == &events::kAttemptRepeated;
    });
    BOOST_TEST(waited == 0);
    harness.unreachableAddresses.clear();
    query(200);
    attempts.clear();
    query(100);
    for (const std::string& instance : cutOff)
        BOOST_TEST(attempts[instance] > 10);
}

// All servers of a shard are gone while the server list still names them. Guards against requests that wait until their deadline
// although the required coverage is out of reach.
BOOST_AUTO_TEST_CASE(RequestsThatNoReachableServerCanAnswerAreRefusedAtOnce)
{
    RouterHarness harness;
    harness.setUpCollections(4, 1.0);
    for (const char* instance : { "s0a", "s0b" })
        harness.unreachableAddresses.insert(harness.addressOf(instance));
    // The requests of the first moments find out.
    for (int n = 0; n < 20; ++n) {
        harness.sendRequest("/search/x");
        for (const SendAttempt& send : harness.takeSent()) {
            if (!send.instance.starts_with("s0"))
                harness.reply(send, RouterHarness::success(send.instance));
        }
        harness.advance(milliseconds { 100 });
    }
    harness.takeEffects<RefuseRequest>();
    harness.takeSent();
    harness.sendRequest("/search/x");
    const std::vector<RefuseRequest> refusals = harness.takeEffects<RefuseRequest>();
    BOOST_TEST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST((refusals.front().reason == RefusalReason::NoServer));
    BOOST_TEST(refusals.front().notRun);
    BOOST_TEST(refusals.front().retryAfter.has_value());
    BOOST_TEST(harness.takeSent().empty());
    // The shard is used again soon after its servers are back.
    harness.unreachableAddresses.clear();
    harness.advance(milliseconds { 1'500 });
    harness.sendRequest("/search/x");
    BOOST_TEST(harness.takeSent().size() == 4u);
}

// One of two other data centres is cut off, and the remaining one got no request lately. Guards against an instance that takes
// itself for cut off.
BOOST_AUTO_TEST_CASE(AnotherDataCentreThatIsCutOffIsNoPartition)
{
    RouterHarness harness;
    harness.setUpCollections(6, 0.5);
    for (ServerRecord& record : harness.serverList) {
        record.dataCentre = record.collection == "orders" ? "dc-c" : (record.instance < "s4" ? "dc-b" : "dc-a");
        record.instance += "'";
    }
    harness.publish();
    harness.advance(milliseconds { 4'000 });
    harness.sendRequest("/order/x");
    harness.reply(harness.takeSent().front(), RouterHarness::success("stamp"));
    harness.advance(milliseconds { 1'000 });
    harness.sendRequest("/search/x");
    harness.advance(milliseconds { 300 });
    BOOST_TEST(!harness.router.servers().otherDataCentresAreSilent(harness.now));
}

// The servers of all other data centres fall silent at the same moment. Guards against taking slow servers for a partition, and
// against waiting for the requests to fail.
BOOST_AUTO_TEST_CASE(APartitionFromOtherDataCentresIsNoticed)
{
    RouterHarness harness;
    harness.setUpCollections(6, 1.0);
    for (ServerRecord& record : harness.serverList)
        record.dataCentre = record.instance < "s3" ? "dc-b" : "dc-a";
    for (ServerRecord& record : harness.serverList)
        record.instance += "'";
    harness.publish();
    harness.advance(milliseconds { 4'000 });
    const auto isElsewhere = [&](const SendAttempt& send) {
        return std::any_of(harness.serverList.begin(), harness.serverList.end(), [&](const ServerRecord& record) { return record.instance == send.instance && record.dataCentre == "dc-b"; });
    };
    // Sends queries for a second. Every n-th reply from the other data centre is lost.
    const auto queries = [&](int lostOfTen) {
        int turn = 0;
        for (int n = 0; n < 20; ++n) {
            harness.sendRequest("/search/x");
            for (int step = 0; step < 5; ++step) {
                for (const SendAttempt& send : harness.takeSent()) {
                    if (!isElsewhere(send) || turn++ % 10 >= lostOfTen)
                        harness.reply(send, RouterHarness::success(send.instance));
                }
                harness.advance(milliseconds { 10 });
            }
        }
    };
    queries(0);
    queries(5);
    BOOST_TEST(!harness.router.servers().otherDataCentresAreSilent(harness.now));
    for (const ServerRecord& record : harness.serverList) {
        if (record.dataCentre == "dc-b")
            harness.unreachableAddresses.insert(record.address);
    }
    queries(10);
    BOOST_TEST(harness.router.servers().otherDataCentresAreSilent(harness.now));
}

BOOST_AUTO_TEST_SUITE_END()
