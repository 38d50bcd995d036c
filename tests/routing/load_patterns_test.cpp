#include "routing/events.h"
#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <memory>

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

namespace {

// Instances and shards of three servers spread over data centres, with more instances than a server accepts connections.
struct OversubscribedFleet {
    explicit OversubscribedFleet(std::size_t dataCentres, std::size_t instanceCount = 74, std::uint32_t connectionLimit = 59)
        : limit(connectionLimit)
    {
        for (std::size_t n = 0; n < instanceCount; ++n)
            names.push_back(fmt::format("gateway-{}", n));
        std::size_t placed = 0;
        for (int shard = 0; shard < 30; ++shard) {
            const CollectionName name = fmt::format("shard{}", shard);
            specs[name] = { name, limit };
            for (int replica = 0; replica < 3; ++replica)
                serverList.push_back({ fmt::format("i-{}-{}", shard, replica), name, "10.0.0.1:80", dataCentre(placed++, dataCentres), 2, false, Micros { 0 } });
        }
        for (std::size_t n = 0; n < names.size(); ++n) {
            TimePoint now { Micros { 1'000'000 } };
            tables.push_back(std::make_unique<ServerTable>(dataCentre(n, dataCentres), names[n]));
            ServerTable& table = *tables.back();
            table.setInstances(names, now);
            table.apply(serverList, Micros { 0 }, now);
            now += Micros { 11'000'000 };
            table.expireShares(now);
            table.updateConnectionQuotas(specs, now);
            for (const auto& [collection, spec] : specs) {
                for (const Server* server : table.serversOf(collection))
                    connections[server->record.instance] += server->connectionQuota;
            }
        }
    }

    static std::string dataCentre(std::size_t n, std::size_t count) { return fmt::format("dc-{}", n % count); }

    std::uint32_t limit;
    std::vector<InstanceName> names;
    std::map<CollectionName, CollectionSpec> specs;
    ServerList serverList;
    std::vector<std::unique_ptr<ServerTable>> tables;
    std::map<std::string, std::uint32_t> connections;
};

} // namespace

// There are more instances than a server accepts connections. Guards against exceeding a server's connection limit and against
// instances that reach no server of a shard, with servers in one data centre and spread over several.
BOOST_AUTO_TEST_CASE(ConnectionsStayWithinTheServersLimits)
{
    for (const std::size_t dataCentres : { 1U, 3U, 4U }) {
        const OversubscribedFleet fleet(dataCentres);
        for (const std::unique_ptr<ServerTable>& table : fleet.tables) {
            for (const auto& [collection, spec] : fleet.specs) {
                const std::vector<Server*>& servers = table->serversOf(collection);
                BOOST_TEST(std::any_of(servers.begin(), servers.end(), [](const Server* server) { return server->connectionQuota > 0; }));
            }
        }
        for (const auto& [server, count] : fleet.connections)
            BOOST_TEST(count <= fleet.limit, dataCentres << " data centres, " << server);
    }
}

// All instances restart, and the leader lists only some of them at first. Guards against every instance opening connections to
// all servers at once, which the servers would reset.
BOOST_AUTO_TEST_CASE(AnIncompleteFirstViewOpensFewConnections)
{
    const OversubscribedFleet fleet(4);
    TimePoint now { Micros { 1'000'000 } };
    ServerTable table(OversubscribedFleet::dataCentre(0, 4), fleet.names[0]);
    table.setInstances({ fleet.names.begin(), fleet.names.begin() + 10 }, now);
    table.apply(fleet.serverList, Micros { 0 }, now);
    const auto maximumConnectionsPerShard = [&] {
        table.updateConnectionQuotas(fleet.specs, now);
        std::uint32_t most = 0;
        for (const auto& [collection, spec] : fleet.specs) {
            std::uint32_t sum = 0;
            for (const Server* server : table.serversOf(collection))
                sum += server->connectionQuota;
            most = std::max(most, sum);
        }
        return most;
    };
    BOOST_TEST(maximumConnectionsPerShard() == 2U);
    BOOST_TEST(!table.expireShares(now + milliseconds { 500 }));
    table.setInstances(fleet.names, now + milliseconds { 300 });
    now += milliseconds { 700 };
    BOOST_TEST(table.expireShares(now));
    BOOST_TEST(maximumConnectionsPerShard() == 2U);
}

// There are more instances than a server accepts connections, in several data centres. Guards against sending work to another
// data centre although the own one has a server.
BOOST_AUTO_TEST_CASE(ServersInTheSameDataCentreAreConnectedFirst)
{
    const OversubscribedFleet fleet(4);
    for (std::size_t n = 0; n < fleet.tables.size(); ++n) {
        const std::string own = OversubscribedFleet::dataCentre(n, 4);
        for (const auto& [collection, spec] : fleet.specs) {
            for (const Server* server : fleet.tables[n]->serversOf(collection)) {
                if (server->record.dataCentre == own)
                    BOOST_TEST(server->connectionQuota == 1U, fleet.names[n] << " and " << server->record.instance);
            }
        }
    }
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
