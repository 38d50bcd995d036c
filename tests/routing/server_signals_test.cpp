#include "tests/routing/router_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/data/test_case.hpp>
#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

ServerReply leavingReply(ReplyKind kind)
{
    ServerReply reply = kind == ReplyKind::Success ? RouterHarness::success("stamp") : RouterHarness::failure(kind, 503);
    reply.isLeaving = true;
    return reply;
}

// Serves requests of all routes at random for a while, with replies that may be late, lists that repeat what is known, and hedges. Returns
// the instances of the servers that got requests.
std::set<std::string> serveRandomRequests(RouterHarness& harness, Random& random)
{
    const auto below = [&random](int bound) { return boost::random::uniform_int_distribution<int>(0, bound - 1)(random); };
    std::set<std::string> used;
    std::vector<SendAttempt> open;
    for (int step = 0; step < 200; ++step) {
        const char* const paths[] = { "/search/x", "/order/x", "/book/x" };
        harness.sendRequest(paths[below(3)]);
        if (below(20) == 0)
            harness.publish();
        harness.advance(milliseconds { below(80) });
        for (const SendAttempt& sent : harness.takeSent()) {
            used.insert(sent.instance);
            open.push_back(sent);
        }
        while (!open.empty() && below(3) != 0) {
            const SendAttempt attempt = open.back();
            open.pop_back();
            harness.reply(attempt, RouterHarness::success(attempt.instance));
        }
    }
    return used;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerSignals)

// A server states in a reply that it leaves, and the list names it as good. Guards against requests that still reach it, on any path.
BOOST_DATA_TEST_CASE(AServerThatSaysItLeavesGetsNoWork, boost::unit_test::data::xrange(1, 41), seed)
{
    Random random(static_cast<std::uint64_t>(seed));
    RouterHarness harness;
    harness.setUpCollections(2);
    // More requests than the connections of a server wait for it when it says so.
    for (int n = 0; n < 60; ++n)
        harness.sendRequest(n % 2 == 0 ? "/order/x" : "/search/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    const auto first = std::find_if(sent.begin(), sent.end(), [](const SendAttempt& attempt) { return attempt.instance == "o1" || attempt.instance == "s0a"; });
    BOOST_REQUIRE((first != sent.end()));
    const std::string leaving = first->instance;
    harness.reply(*first, leavingReply(seed % 3 == 0 ? ReplyKind::NotExecuted : (seed % 3 == 1 ? ReplyKind::Success : ReplyKind::Failure)));
    for (const SendAttempt& attempt : harness.takeSent())
        BOOST_TEST(attempt.instance != leaving);
    for (const SendAttempt& attempt : sent) {
        if (attempt.attempt != first->attempt)
            harness.reply(attempt, RouterHarness::success(attempt.instance));
    }
    BOOST_TEST(!serveRandomRequests(harness, random).contains(leaving));
    // A list that no longer names it, and then another incarnation at its address.
    std::erase_if(harness.serverList, [&](const ServerRecord& record) { return record.instance == leaving; });
    harness.publish();
    harness.addServer(leaving + "-2", leaving == "o1" ? "orders" : "shard0");
    harness.publish();
    harness.advance(milliseconds { 1'000 });
    BOOST_TEST(serveRandomRequests(harness, random).contains(leaving + "-2"));
}

// A server rejects a request and wants nothing for a while. Guards against requests that reach it in that time, on any path, and against a
// server that is not used again after it.
BOOST_DATA_TEST_CASE(AServerThatAsksForARestGetsNoWork, boost::unit_test::data::xrange(1, 41), seed)
{
    Random random(static_cast<std::uint64_t>(seed));
    RouterHarness harness;
    harness.setUpCollections(2);
    for (int n = 0; n < 60; ++n)
        harness.sendRequest(n % 2 == 0 ? "/order/x" : "/search/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    const auto first = std::find_if(sent.begin(), sent.end(), [](const SendAttempt& attempt) { return attempt.instance == "o1" || attempt.instance == "s0a"; });
    BOOST_REQUIRE((first != sent.end()));
    const std::string resting = first->instance;
    ServerReply rejection = RouterHarness::failure(seed % 2 == 0 ? ReplyKind::NotExecuted : ReplyKind::Unusable, 503);
    rejection.rest.emplace().duration = std::chrono::seconds { 30 };
    harness.reply(*first, rejection);
    for (const SendAttempt& attempt : harness.takeSent())
        BOOST_TEST(attempt.instance != resting);
    for (const SendAttempt& attempt : sent) {
        if (attempt.attempt != first->attempt)
            harness.reply(attempt, RouterHarness::success(attempt.instance));
    }
    const TimePoint restEnd = harness.now + std::chrono::seconds { 30 };
    BOOST_TEST(!serveRandomRequests(harness, random).contains(resting));
    BOOST_REQUIRE((harness.now < restEnd));
    harness.advance(std::chrono::duration_cast<Micros>(restEnd - harness.now) + milliseconds { 1'000 });
    // It is tried by one request at a time until it has answered one.
    std::vector<SendAttempt> tried;
    for (int n = 0; n < 60; ++n)
        harness.sendRequest(n % 2 == 0 ? "/order/x" : "/search/x");
    sent = harness.takeSent();
    std::copy_if(sent.begin(), sent.end(), std::back_inserter(tried), [&](const SendAttempt& attempt) { return attempt.instance == resting; });
    BOOST_TEST(tried.size() <= 1u);
    for (const SendAttempt& attempt : sent)
        harness.reply(attempt, RouterHarness::success(attempt.instance));
    BOOST_TEST(serveRandomRequests(harness, random).contains(resting));
}

// Guards against callers who wait for servers that all want nothing, or who are told to come back too early.
BOOST_AUTO_TEST_CASE(ACallerIsRefusedAtOnceWhileAllServersRest)
{
    RouterHarness harness;
    harness.setUpCollections(1);
    std::set<std::string> resting;
    while (resting.size() < 3) {
        harness.sendRequest("/book/x");
        for (const SendAttempt& attempt : harness.takeSent()) {
            ServerReply rejection = RouterHarness::failure(ReplyKind::NotExecuted, 503);
            rejection.rest.emplace().duration = milliseconds { 700 };
            resting.insert(attempt.instance);
            harness.reply(attempt, rejection);
        }
    }
    // Requests that were sent before the last server asked.
    harness.takeSent();
    harness.takeEffects<RefuseRequest>();
    harness.sendRequest("/book/x");
    BOOST_TEST(harness.takeSent().empty());
    const std::vector<RefuseRequest> refusals = harness.takeEffects<RefuseRequest>();
    BOOST_REQUIRE(refusals.size() == 1u);
    BOOST_TEST(refusals.front().notRun);
    BOOST_TEST((refusals.front().retryAfter && *refusals.front().retryAfter >= milliseconds { 600 }));
    // Values that are no time change nothing.
    harness.advance(milliseconds { 2'000 });
    harness.sendRequest("/book/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_REQUIRE(sent.size() == 1u);
    ServerReply unreadable = RouterHarness::failure(ReplyKind::NotExecuted, 503);
    unreadable.rest.emplace();
    harness.reply(sent.front(), unreadable);
    BOOST_TEST(harness.takeSent().size() == 1u);
}

// A lone request after another is answered with a load of one, the request itself. Guards against a choice that takes an idle server for a
// busy one and sends the next request to another data centre, and against one that takes a busy server for an idle one where servers
// count other requests only.
BOOST_AUTO_TEST_CASE(TheRequestThatAReportCameWithIsNotTakenForAnother)
{
    const TimePoint now { Micros { 1'000'000 } };
    Server server({ "i1", "shard", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } }, now);
    server.recordLoad({ 1, 0, 2, 1 }, true, now);
    BOOST_TEST(server.load.running == 0u);
    server.recordLoad({ 2, 3, 2, 1 }, true, now);
    BOOST_TEST(server.load.running == 1u);
    BOOST_TEST(server.load.waiting == 3u);
    // A request that was rejected does not run.
    server.recordLoad({ 2, 12, 2, 1 }, false, now);
    BOOST_TEST(server.load.running == 2u);
    // A server that does not count the request itself.
    server.recordLoad({ 0, 0, 2, 1 }, true, now);
    BOOST_TEST(server.load.running == 0u);
    server.recordLoad({ 1, 0, 2, 1 }, true, now);
    BOOST_TEST(server.load.running == 1u);
}

BOOST_AUTO_TEST_SUITE_END()
