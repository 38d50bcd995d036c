#include "tests/main/entry_fixture.h"
#include "usage/keys.h"

#include <boost/json.hpp>
#include <boost/test/unit_test.hpp>

#include <fmt/format.h>

#include <atomic>
#include <fstream>
#include <future>
#include <set>
#include <thread>

using namespace curranttrail;
using namespace curranttrail::test;
using curranttrail::stand_ins::bodyOf;
using curranttrail::stand_ins::RawClient;
using curranttrail::stand_ins::statusOf;

namespace {

struct StartedEntryFixture : EntryFixture {
    StartedEntryFixture() { start(); }

    template <typename Change>
    void changeAll(Change change)
    {
        for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
            server->change(change);
    }

    // Fails the test unless the response is the complete answer to the query with this number.
    static void checkAnswer(const std::string& response, int number)
    {
        BOOST_REQUIRE_MESSAGE(statusOf(response) == "200", response);
        const boost::json::value answer = boost::json::parse(bodyOf(response));
        BOOST_TEST(answer.at("coverage").at("fraction").to_number<double>() == 1.0);
        BOOST_TEST(answer.at("coverage").at("lacking").as_array().empty());
        BOOST_REQUIRE(answer.at("result").as_array().size() == 3U);
        for (std::size_t n = 0; n < 3; ++n) {
            const boost::json::value& part = answer.at("result").at(n);
            BOOST_TEST(part.at("echo").to_number<int>() == number);
            BOOST_TEST(std::string { part.at("shard").as_string() } == fmt::format("catalogue/1/{:02}", n));
        }
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(Entry)

struct BadQuery {
    std::string body;
    std::string token;
    std::string status;
    std::string error;
};

// Guards against an invalid query that is run or gets an undocumented status, and against a refusal that does not state whether
// the query ran.
BOOST_FIXTURE_TEST_CASE(BadQueriesGetTheDocumentedRefusal, StartedEntryFixture)
{
    const std::string good = "nile-token";
    const std::vector<BadQuery> queries {
        { queryBody("search", "1"), "wrong", "401", "not_authenticated" },
        { queryBody("search", "1"), "", "401", "not_authenticated" },
        { "", good, "400", "malformed" },
        { "{", good, "400", "malformed" },
        { "[]", good, "400", "malformed" },
        { R"({"class":"search","query":1})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":100})", good, "400", "malformed" },
        { R"({"class":7,"deadline_ms":100,"query":1})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":"100","query":1})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":100,"query":1,"extra":1})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":100,"query":1,"request_id":"a b"})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":100,"query":1,"request_id":"a\r\nX-Run: not_run"})", good, "400", "malformed" },
        { R"({"class":"search","deadline_ms":100,"query":1,"issued_at_ms":-1})", good, "400", "malformed" },
        { queryBody("search", std::string(40, '[') + std::string(40, ']')), good, "400", "malformed" },
        { queryBody("search", "\"" + std::string(20'000, 'x') + "\""), good, "413", "oversized" },
        { queryBody("nothing", "1"), good, "404", "unknown_class" },
        { queryBody("names", "1"), good, "403", "wrong_owner" },
        { queryBody("search", "1", 0), good, "504", "deadline_past" },
        { queryBody("search", "1", -5), good, "504", "deadline_past" },
        { queryBody("order_check", "1"), good, "400", "missing_request_id" },
        { R"({"class":"order_check","deadline_ms":1000,"query":1,"request_id":"old","issued_at_ms":1})", good, "409", "request_id_expired" },
    };
    for (const BadQuery& query : queries) {
        const std::string response = ask(query.body, query.token);
        BOOST_TEST_CONTEXT(query.body.substr(0, 100) << " gives " << response)
        {
            BOOST_TEST(statusOf(response) == query.status);
            BOOST_TEST(bodyOf(response).find("\"error\":\"" + query.error + "\"") != std::string::npos);
            const std::string run = query.error == "request_id_expired" ? "may_have_run" : "not_run";
            BOOST_TEST(bodyOf(response).find("\"run\":\"" + run + "\"") != std::string::npos);
        }
    }
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
        BOOST_TEST(server->counts().runs.empty());
}

// Guards against a caller that gets another caller's answer when replies arrive late, out of order or with the number of another
// attempt.
BOOST_FIXTURE_TEST_CASE(EachCallerGetsItsOwnAnswer, StartedEntryFixture)
{
    changeAll([](stand_ins::BackendBehaviour& behaviour) {
        behaviour.replyShuffle = Micros { 5'000 };
        behaviour.wrongAttemptShare = 0.02;
        behaviour.stragglerShare = 0.05;
    });
    std::atomic<int> next { 0 };
    constexpr int kCallers = 6;
    constexpr int kQueries = 25;
    std::vector<std::future<std::vector<std::string>>> callers;
    callers.reserve(kCallers);
    for (int n = 0; n < kCallers; ++n) {
        callers.push_back(std::async(std::launch::async, [this, n] {
            std::vector<std::string> responses;
            RawClient client(entry->httpPort());
            for (int q = 0; q < kQueries; ++q) {
                client.send(queryText(queryBody("search", std::to_string(n * kQueries + q))));
                responses.push_back(client.readMessage());
            }
            return responses;
        }));
    }
    for (int n = 0; n < kCallers; ++n) {
        const std::vector<std::string> responses = callers[static_cast<std::size_t>(n)].get();
        for (int q = 0; q < kQueries; ++q) {
            // The class allows partial answers; whatever is in an answer must belong to its query.
            BOOST_REQUIRE_MESSAGE(statusOf(responses[static_cast<std::size_t>(q)]) == "200", responses[static_cast<std::size_t>(q)]);
            const boost::json::value answer = boost::json::parse(bodyOf(responses[static_cast<std::size_t>(q)]));
            for (const boost::json::value& part : answer.at("result").as_array())
                BOOST_TEST(part.at("echo").to_number<int>() == n * kQueries + q);
            BOOST_TEST(answer.at("result").as_array().size() == answer.at("coverage").at("covered").as_array().size());
        }
    }
}

// Guards against pipelined queries that are answered out of order.
BOOST_FIXTURE_TEST_CASE(PipelinedQueriesAreAnsweredInOrder, StartedEntryFixture)
{
    RawClient client(entry->httpPort());
    std::string bytes;
    for (int n = 0; n < 10; ++n)
        bytes += queryText(queryBody("search", std::to_string(n)));
    client.send(bytes);
    for (int n = 0; n < 10; ++n)
        checkAnswer(client.readMessage(), n);
}

// Guards against queries that fail on silent connections although new connections work.
BOOST_FIXTURE_TEST_CASE(SilentConnectionsAreReplaced, StartedEntryFixture)
{
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
        server->silenceConnections();
    BOOST_TEST(eventually([this] {
        const std::string response = ask(queryBody("search", "5"));
        return statusOf(response) == "200" && bodyOf(response).find("\"lacking\":[]") != std::string::npos;
    }));
}

// Guards against a non-repeatable request that runs twice when its caller resends it.
BOOST_FIXTURE_TEST_CASE(ANonRepeatableRequestRunsOnce, StartedEntryFixture)
{
    BOOST_TEST(statusOf(ask(queryBody("order_check", "1", 5'000, "order-1"))) == "200");
    BOOST_TEST(eventually([this] { return nile.claimState("order-1") == "ran"; }));
    const std::string again = ask(queryBody("order_check", "1", 5'000, "order-1"));
    BOOST_TEST(statusOf(again) == "409");
    BOOST_TEST(bodyOf(again).find("\"run\":\"ran\"") != std::string::npos);

    // Of two concurrent requests with one id on the same instance only one runs.
    changeAll([](stand_ins::BackendBehaviour& behaviour) { behaviour.serviceTime = Micros { 50'000 }; });
    std::future<std::string> other = std::async(std::launch::async, [this] { return ask(queryBody("order_check", "2", 5'000, "order-2")); });
    const std::string mine = ask(queryBody("order_check", "2", 5'000, "order-2"));
    const std::multiset<std::string> statuses { statusOf(mine), statusOf(other.get()) };
    BOOST_TEST((statuses == std::multiset<std::string> { "200", "409" }));
    std::uint64_t runs = 0;
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers()) {
        for (const auto& [id, count] : server->counts().runs)
            runs += count;
    }
    BOOST_TEST(runs == 2U);
}

// Guards against a non-repeatable request that runs without a claim, and against an id that stays blocked afterwards.
BOOST_FIXTURE_TEST_CASE(WithoutAQuorumANonRepeatableRequestIsNotRun, StartedEntryFixture)
{
    nile.setLeading(false);
    const std::string refused = ask(queryBody("order_check", "1", 300, "order-3"));
    BOOST_TEST(statusOf(refused) == "503");
    BOOST_TEST(bodyOf(refused).find("\"run\":\"not_run\"") != std::string::npos);
    nile.setLeading(true);
    BOOST_TEST(eventually([this] { return statusOf(ask(queryBody("order_check", "1", 2'000, "order-3"))) == "200"; }));
}

// Guards against a graceful stop that aborts a query in flight or loses the settlement of a claim.
BOOST_FIXTURE_TEST_CASE(AGracefulStopFinishesQueriesInFlight, StartedEntryFixture)
{
    // Slow enough to be in flight during the stop, but below the reducer's limit for silent connections.
    changeAll([](stand_ins::BackendBehaviour& behaviour) { behaviour.replyDelay = Micros { 60'000 }; });
    std::atomic<bool> stopping { false };
    std::atomic<int> answered { 0 };
    std::vector<std::future<std::vector<std::string>>> callers;
    callers.reserve(4);
    for (int n = 0; n < 4; ++n) {
        callers.push_back(std::async(std::launch::async, [this, &stopping, &answered] {
            std::vector<std::string> responses;
            while (!stopping) {
                responses.push_back(ask(queryBody("search", "1")));
                ++answered;
            }
            return responses;
        }));
    }
    BOOST_REQUIRE(eventually([&answered] { return answered > 4; }));
    std::future<bool> stopped = std::async(std::launch::async, [this] { return entry->stop(); });
    BOOST_TEST(eventually([this] { return entry->notReadyReason().has_value(); }));
    // The load balancer stops sending when the instance is not ready; queries sent before must be answered.
    stopping = true;
    for (std::future<std::vector<std::string>>& caller : callers) {
        for (const std::string& response : caller.get())
            BOOST_TEST(statusOf(response) == "200", response);
    }
    BOOST_TEST(stopped.get());
}

// Guards against usage that is not billed to both owners, and against a stop that loses the last records.
BOOST_FIXTURE_TEST_CASE(UsageIsShippedBeforeAGracefulStopEnds, EntryFixture)
{
    const std::string usageKey = keyFile + ".usage";
    std::ofstream(usageKey) << usage::PrivateKey::generate().toPem();
    EntrySettings withUsage = settings("nile-e1");
    withUsage.usageKeyFile = usageKey;
    entry = std::make_unique<EntryDaemon>(withUsage, sink);
    entry->start();
    BOOST_REQUIRE(eventually([this] { return statusOf(ask(queryBody("search", "0"))) == "200"; }));
    for (int n = 0; n < 10; ++n)
        BOOST_TEST(statusOf(ask(queryBody("search", "1"))) == "200");
    BOOST_TEST(entry->stop());
    std::remove(usageKey.c_str());
    std::uint64_t started = 0;
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
        started += server->counts().started;
    // All subqueries that the servers ran are billed; one that was refused as not run may be billed in addition.
    BOOST_TEST(nile.subqueriesBilled() >= started);
    BOOST_TEST(started > 10U);
    BOOST_TEST(nile.subqueriesBilled() == stone.subqueriesBilled());
}

// Guards against a stop that gives up the outcome of a claim and the last usage records because a query to a silent server took all its time.
BOOST_FIXTURE_TEST_CASE(AStopReportsTheQueriesThatItEnds, EntryFixture)
{
    const std::string usageKey = keyFile + ".usage";
    std::ofstream(usageKey) << usage::PrivateKey::generate().toPem();
    EntrySettings withUsage = settings("nile-e1");
    withUsage.usageKeyFile = usageKey;
    withUsage.stopTimeout = Micros { 4'000'000 };
    entry = std::make_unique<EntryDaemon>(withUsage, sink);
    entry->start();
    BOOST_REQUIRE(eventually([this] { return statusOf(ask(queryBody("order_check", "0", 5'000, "first"))) == "200"; }));
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
        server->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.serviceTime = Micros { 60'000'000 }; });
    // As from a distant data centre.
    for (stand_ins::ControlStandIn* control : { &nile, &stone })
        control->setDelay(Micros { 250'000 });
    std::future<std::string> answer = std::async(std::launch::async, [this] { return ask(queryBody("order_check", "1", 9'000, "silent")); });
    BOOST_REQUIRE(eventually([this] { return nile.claimState("silent") == "held"; }));
    BOOST_TEST(entry->stop());
    BOOST_TEST(statusOf(answer.get()) == "504");
    BOOST_TEST(nile.claimState("silent") == "may_have_run");
    std::remove(usageKey.c_str());
}

// Guards against new work for a draining server, even the last one that drains, and against draining servers that are not
// detected.
BOOST_FIXTURE_TEST_CASE(ALeavingServerGetsNoNewWork, StartedEntryFixture)
{
    const std::shared_ptr<stand_ins::BackendServer> leaving = fleet->server("catalogue-00-0");
    leaving->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.draining = true; });
    BOOST_REQUIRE(eventually([this] { return sink.recentAsJson(0, 4'096).find("\"server_leaving\"") != std::string::npos; }));
    const std::uint64_t before = leaving->counts().started + leaving->counts().shed;
    for (int n = 0; n < 20; ++n)
        checkAnswer(ask(queryBody("search", std::to_string(n))), n);
    BOOST_TEST(leaving->counts().started + leaving->counts().shed == before);
}

// Guards against an instance that serves with a possibly outdated configuration, and against one that never gets it from a peer.
BOOST_FIXTURE_TEST_CASE(AnInstanceCutOffFromControlStartsFromAServingPeer, EntryFixture)
{
    EntrySettings cutOff = settings("nile-e2");
    nile.setLeading(false);
    stone.setLeading(false);
    transport::EventSink otherSink({ "nile-e2", Severity::Debug, 64, nullptr });
    entry = std::make_unique<EntryDaemon>(settings("nile-e1"), sink);
    entry->start();
    cutOff.seeds = { { "127.0.0.1", entry->framesPort() } };
    cutOff.control.clear();
    EntryDaemon other(cutOff, otherSink);
    other.start();
    // Followers and peers that do not serve give neither of them a configuration.
    BOOST_REQUIRE(eventually([this] { return sink.recentAsJson(0, 4'096).find("member_changed") != std::string::npos; }));
    BOOST_TEST(entry->notReadyReason().has_value());
    BOOST_TEST(other.notReadyReason().has_value());
    BOOST_TEST(statusOf(ask(queryBody("search", "1"))) == "503");

    nile.setLeading(true);
    BOOST_TEST(eventually([this] { return !entry->notReadyReason(); }));
    BOOST_TEST(eventually([&other] { return !other.notReadyReason(); }));
    // A change reaches the cut-off instance through its peer.
    nile.setClass({ "late", "nile", "catalogue", 0.99, Micros { 100'000 }, 0.5, true });
    BOOST_TEST(eventually([&other] {
        RawClient client(other.httpPort());
        client.send(queryText(queryBody("late", "1")));
        return statusOf(client.readMessage()) == "200";
    }));
}

// Guards against instances that each find out by themselves which queries end servers.
BOOST_FIXTURE_TEST_CASE(InstancesTellEachOtherWhichQueriesEndServers, StartedEntryFixture)
{
    EntrySettings second = settings("nile-e2");
    second.seeds = { { "127.0.0.1", entry->framesPort() } };
    transport::EventSink otherSink({ "nile-e2", Severity::Debug, 4'096, nullptr });
    EntryDaemon other(second, otherSink);
    other.start();
    BOOST_REQUIRE(eventually([&other] { return !other.notReadyReason(); }));
    for (const std::shared_ptr<stand_ins::BackendServer>& server : fleet->servers())
        server->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.fatalText = "4711"; });
    BOOST_TEST(statusOf(ask(queryBody("search", "4711"))) != "200");
    BOOST_TEST(eventually([&otherSink] { return otherSink.recentAsJson(0, 4'096).find("query_suspected") != std::string::npos; }));
    const auto askOther = [&other](const std::string& query) {
        RawClient client(other.httpPort());
        client.send(queryText(queryBody("search", query)));
        return client.readMessage();
    };
    // Three servers ended at the same moment, so the instances take turns with the query and refuse it until then.
    std::string refusal;
    BOOST_TEST(eventually([&] {
        refusal = askOther("4711");
        return refusal.find("awaiting_trial") != std::string::npos;
    }));
    BOOST_TEST(statusOf(refusal) == "503");
    BOOST_TEST(refusal.find("Retry-After: ") != std::string::npos);
    BOOST_TEST(eventually([&askOther] { return statusOf(askOther("1")) == "200"; }));
}

BOOST_AUTO_TEST_SUITE_END()
