#include "routing/events.h"
#include "tests/routing/router_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

// Exceeds the longest delay with which an instance uses servers again, and the interval at which it checks that.
constexpr Micros kReturnTime { 1'700'000 };

// Two data centres: each shard has one server in either, "orders" has o1 and o3 in dc-a and o2 in dc-b.
struct EvacuationFixture : RouterHarness {
    explicit EvacuationFixture(std::size_t shards = 2)
    {
        for (std::size_t n = 0; n < shards; ++n)
            dataCentres[fmt::format("s{}b", n)] = "dc-b";
        dataCentres["o2"] = "dc-b";
        setUpCollections(shards);
    }

    void evacuate(std::vector<DataCentreName> names) { handle(EvacuationsChanged { std::move(names) }); }

    bool isIn(const std::string& instance, const DataCentreName& dataCentre) const
    {
        const auto it = dataCentres.find(instance);
        return (it == dataCentres.end() ? "dc-a" : it->second) == dataCentre;
    }

    std::size_t sentTo(const DataCentreName& dataCentre)
    {
        std::size_t count = 0;
        for (const SendAttempt& attempt : takeSent()) {
            count += isIn(attempt.instance, dataCentre) ? 1 : 0;
            reply(attempt, success(attempt.instance));
        }
        return count;
    }

    // Serves requests of all routes at random for a while: replies may be late, fail, name another incarnation or get lost with their
    // connection, which starts hedges, retries, checks for the end of servers and held parts; lists name new servers. Returns how many
    // attempts were sent to servers of the data centre.
    std::size_t serveRandomRequests(Random& random, const DataCentreName& dataCentre)
    {
        const auto below = [&random](int bound) { return boost::random::uniform_int_distribution<int>(0, bound - 1)(random); };
        std::size_t count = 0;
        std::vector<SendAttempt> open;
        for (int step = 0; step < 200; ++step) {
            const char* const paths[] = { "/search/x", "/order/x", "/book/x" };
            sendRequest(paths[below(3)]);
            if (below(20) == 0)
                publishNewServer(fmt::format("n{}", ++newServers));
            advance(milliseconds { below(80) });
            for (const SendAttempt& attempt : takeSent()) {
                count += isIn(attempt.instance, dataCentre) ? 1 : 0;
                open.push_back(attempt);
            }
            while (!open.empty() && below(3) != 0) {
                const SendAttempt attempt = open.back();
                open.pop_back();
                answer(attempt, below(20));
            }
        }
        return count;
    }

    void answer(const SendAttempt& attempt, int outcome)
    {
        if (outcome == 0)
            handle(AttemptConnectionLost { attempt.attempt, "connection reset" });
        else if (outcome <= 2)
            reply(attempt, failure(outcome == 1 ? ReplyKind::NotExecuted : ReplyKind::Failure, 503));
        else
            reply(attempt, success(attempt.instance));
    }

    void publishNewServer(const std::string& instance)
    {
        dataCentres[instance] = newServers % 2 == 0 ? "dc-a" : "dc-b";
        addServer(instance, newServers % 3 == 0 ? "orders" : "shard0");
        publish();
    }

    int newServers = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuations)

// Guards against requests that still reach the servers of an evacuated data centre, on any path, and against servers that are not used again.
BOOST_DATA_TEST_CASE(NoRequestReachesAnEvacuatedDataCentre, boost::unit_test::data::xrange(1, 41), seed)
{
    const DataCentreName dataCentre = seed % 2 == 0 ? "dc-a" : "dc-b";
    Random random(static_cast<std::uint64_t>(seed));
    EvacuationFixture harness;
    BOOST_TEST(harness.serveRandomRequests(random, dataCentre) > 0u);
    for (int n = 0; n < 60; ++n)
        harness.sendRequest(n % 2 == 0 ? "/order/x" : "/search/x");
    const std::vector<SendAttempt> running = harness.takeSent();
    harness.evacuate({ dataCentre, "unknown" });
    for (const SendAttempt& attempt : running)
        harness.reply(attempt, RouterHarness::success(attempt.instance));
    BOOST_TEST(harness.serveRandomRequests(random, dataCentre) == 0u);
    // The same orders are heard again with every reply of the control group.
    harness.evacuate({ "unknown", dataCentre });
    BOOST_TEST(harness.serveRandomRequests(random, dataCentre) == 0u);
    harness.evacuate({});
    harness.advance(kReturnTime);
    BOOST_TEST(harness.serveRandomRequests(random, dataCentre) > 0u);
    BOOST_TEST(harness.router.servers().evacuations().isEmpty());
}

// More requests than the connections of a server wait for it. Guards against waiting requests that fail, or that are sent although their server
// is evacuated.
BOOST_AUTO_TEST_CASE(WaitingRequestsMoveToOtherServers)
{
    EvacuationFixture harness;
    for (int n = 0; n < 30; ++n)
        harness.sendRequest("/order/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_TEST((sent.size() < 30u));
    harness.evacuate({ "dc-b" });
    std::size_t next = 0;
    while (next < sent.size()) {
        harness.reply(sent[next], RouterHarness::success(sent[next].instance));
        ++next;
        for (const SendAttempt& attempt : harness.takeSent()) {
            BOOST_TEST(harness.isIn(attempt.instance, "dc-a"));
            sent.push_back(attempt);
        }
    }
    BOOST_TEST(sent.size() == 30u);
    BOOST_TEST(harness.takeEffects<AnswerReply>().size() == 30u);
    BOOST_TEST(harness.router.counters().additionalAttemptsDenied == 0u);
}

// Guards against requests that are cut off, and against connections that stay open without use.
BOOST_AUTO_TEST_CASE(RunningRequestsFinishAndIdleConnectionsClose)
{
    EvacuationFixture harness;
    std::vector<SendAttempt> running;
    while (running.empty()) {
        harness.sendRequest("/book/x");
        for (const SendAttempt& attempt : harness.takeSent()) {
            if (attempt.instance == "o2")
                running.push_back(attempt);
        }
    }
    harness.takeEffects<CloseConnection>();
    harness.evacuate({ "dc-b" });
    BOOST_TEST(harness.router.attemptsToEvacuated() == 1u);
    BOOST_TEST(harness.router.servers().all().at("s0b")->connections == 0u);
    BOOST_TEST(harness.router.servers().all().at("o2")->connections == 1u);
    BOOST_TEST(harness.router.servers().all().at("s0a")->connections > 0u);
    for (const CloseConnection& closed : harness.takeEffects<CloseConnection>())
        BOOST_TEST((closed.connection != running.front().connection));
    harness.advance(milliseconds { 200 });
    harness.reply(running.front(), RouterHarness::success("stamp"));
    const std::vector<AnswerReply> answers = harness.takeEffects<AnswerReply>();
    BOOST_TEST((answers.size() == 1 && answers.front().request == running.front().request));
    BOOST_TEST(harness.router.servers().all().at("o2")->connections == 0u);
    BOOST_TEST(harness.router.attemptsToEvacuated() == 0u);
    harness.advance(milliseconds { 3'000 });
    BOOST_TEST(harness.router.servers().all().at("s0b")->connections == 0u);
}

// A connection opens only after its server's data centre was evacuated. Guards against a request that is sent on it.
BOOST_AUTO_TEST_CASE(AConnectionThatOpensTooLateIsClosed)
{
    EvacuationFixture harness;
    harness.openConnections = false;
    harness.takeEffects<OpenConnection>();
    for (int n = 0; n < 20; ++n)
        harness.sendRequest("/order/x");
    BOOST_TEST(!harness.takeEffects<OpenConnection>().empty());
    harness.takeSent();
    harness.evacuate({ "dc-a", "dc-b" });
    for (std::uint64_t id = 1; id < 400; ++id)
        harness.handle(ConnectionOpened { { id } });
    BOOST_TEST(harness.takeSent().empty());
    harness.advance(milliseconds { 500 });
    for (const auto& [instance, server] : harness.router.servers().all())
        BOOST_TEST(server->connections == server->unanswered.size());
}

// Guards against callers who wait although all servers that could serve them are evacuated.
BOOST_AUTO_TEST_CASE(ACallerIsRefusedAtOnceIfAllServersAreEvacuated)
{
    EvacuationFixture harness;
    harness.evacuate({ "dc-a", "dc-b" });
    harness.takeEffects<RefuseRequest>();
    for (const char* path : { "/order/x", "/book/x", "/search/x" }) {
        harness.sendRequest(path);
        const std::vector<RefuseRequest> refusals = harness.takeEffects<RefuseRequest>();
        BOOST_REQUIRE(refusals.size() == 1u);
        BOOST_TEST((refusals.front().reason == RefusalReason::NoServer && refusals.front().notRun));
    }
    BOOST_TEST(harness.takeSent().empty());
    // One data centre that returns is enough.
    harness.evacuate({ "dc-a" });
    harness.advance(kReturnTime);
    harness.sendRequest("/search/x");
    BOOST_TEST(harness.sentTo("dc-b") == 2u);
}

// Guards against requests of an instance that reaches no server itself and sends them through this one.
BOOST_AUTO_TEST_CASE(NoConnectionIsRelayedToAnEvacuatedDataCentre)
{
    EvacuationFixture harness;
    BOOST_TEST(harness.router.canRelayTo(harness.addressOf("o2")));
    harness.evacuate({ "dc-b" });
    BOOST_TEST(!harness.router.canRelayTo(harness.addressOf("o2")));
    BOOST_TEST(harness.router.isEvacuated(harness.addressOf("o2")));
    BOOST_TEST(harness.router.canRelayTo(harness.addressOf("o1")));
    BOOST_TEST(!harness.router.isEvacuated(harness.addressOf("o1")));
    harness.evacuate({});
    harness.advance(kReturnTime);
    BOOST_TEST(harness.router.canRelayTo(harness.addressOf("o2")));
}

// Many instances share the servers' connection limits. Guards against quotas that are counted with servers that get none, and that are not
// raised again.
BOOST_AUTO_TEST_CASE(ConnectionLimitsAreSharedAmongTheOtherServers)
{
    EvacuationFixture harness;
    const auto quotaOf = [&](const char* instance) { return harness.router.servers().all().at(instance)->connectionQuota; };
    const auto keptOf = [&] { return harness.router.servers().all().at("o1")->idleConnectionLimit.value_or(9); };
    std::vector<InstanceName> instances { "gateway-1" };
    for (int n = 2; n <= 90; ++n)
        instances.push_back(fmt::format("gateway-{}", n));
    harness.handle(EntryInstancesChanged { instances });
    const std::uint32_t quota = quotaOf("o1");
    const std::size_t kept = keptOf();
    BOOST_TEST(quotaOf("o2") > 0u);
    harness.evacuate({ "dc-b" });
    BOOST_TEST(quotaOf("o2") == 0u);
    BOOST_TEST(quotaOf("s1b") == 0u);
    BOOST_TEST(quotaOf("o1") > 0u);
    BOOST_TEST(quotaOf("s1a") > 0u);
    harness.evacuate({});
    harness.advance(kReturnTime);
    BOOST_TEST(quotaOf("o2") > 0u);
    BOOST_TEST(quotaOf("o1") == quota);
    BOOST_TEST(keptOf() == kept);
}

// Guards against instances that all use the servers again in the same instant, when these may have been idle for long.
BOOST_AUTO_TEST_CASE(InstancesUseTheServersAgainAtDifferentMoments)
{
    std::set<Micros::rep> delays;
    for (std::uint64_t seed = 1; seed <= 200; ++seed) {
        Router router({ "gateway-1", "dc-a", seed, {} });
        TimePoint now { Micros { 1'000'000 } };
        router.handle(EvacuationsChanged { { "dc-b" } }, now);
        router.handle(EvacuationsChanged { {} }, now);
        const TimePoint withdrawnAt = now;
        while (!router.servers().evacuations().isEmpty()) {
            now += milliseconds { 10 };
            router.handle(Tick {}, now);
        }
        delays.insert((now - withdrawnAt) / milliseconds { 100 });
        BOOST_TEST((now - withdrawnAt <= kReturnTime));
    }
    // A share of the instances returns in each tenth of a second.
    BOOST_TEST(delays.size() >= 12u);
}

// Guards against servers that return although they are ordered to be evacuated again meanwhile.
BOOST_AUTO_TEST_CASE(AnOrderDuringTheReturnTakesEffectAtOnce)
{
    EvacuationFixture harness;
    harness.evacuate({ "dc-b" });
    harness.evacuate({});
    harness.evacuate({ "dc-b" });
    harness.advance(2 * kReturnTime);
    for (int n = 0; n < 20; ++n)
        harness.sendRequest("/search/x");
    BOOST_TEST(harness.sentTo("dc-b") == 0u);
    std::size_t applied = 0;
    for (const LogEvent& event : harness.takeEffects<LogEvent>())
        applied += event.description == &events::kEvacuationApplied ? 1 : 0;
    BOOST_TEST(applied == 2u);
}

BOOST_AUTO_TEST_SUITE_END()
