#include "routing/events.h"
#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

#include <set>

using namespace curranttrail;
using namespace curranttrail::routing;

BOOST_AUTO_TEST_SUITE(Routers)

// Guards against a server that is never connected because no failure was ever noted for it.
BOOST_AUTO_TEST_CASE(ServersAreConnectedAheadOfNeed)
{
    RouterHarness harness;
    harness.serve(4);
    BOOST_TEST(harness.opened == 11u);
    harness.arrive("/search/x");
    BOOST_TEST(harness.takeSent().size() == 4u);
}

// Pattern: an index is cut anew, and its new servers are listed before the routes name them. Guards against the first queries
// that find no connection to any of them.
BOOST_AUTO_TEST_CASE(ServersOfTheNextIndexAreConnectedBeforeItIsNamed)
{
    RouterHarness harness;
    harness.serve(2);
    for (int n = 0; n < 3; ++n)
        harness.addServer(fmt::format("next{}", n), fmt::format("next{}", n));
    harness.publish();
    harness.advance(milliseconds { 500 });
    std::shared_ptr<RouteDocument> next = std::make_shared<RouteDocument>(*harness.document);
    next->version = 2;
    std::get<ScatterTarget>(next->routes[0].target).shards = { "next0", "next1", "next2" };
    for (int n = 0; n < 3; ++n)
        next->collections[fmt::format("next{}", n)] = { fmt::format("next{}", n), 100 };
    harness.handle(RouteDocumentUpdated { next });
    harness.openConnections = false;
    harness.arrive("/search/x");
    BOOST_TEST(harness.takeSent().size() == 3u);
}

// Guards against requests that wait for a configuration which is not there, and against a wrong status for unknown routes.
BOOST_AUTO_TEST_CASE(WhatCannotBeServedIsRefusedAtOnce)
{
    RouterHarness harness;
    harness.arrive("/search/x");
    std::vector<RefuseRequest> refused = harness.take<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST((refused.front().reason == RefusalReason::NotReady && refused.front().notRun && refused.front().retryAfter));
    harness.serve(4);
    harness.arrive("/unknown/x");
    refused = harness.take<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST((refused.front().reason == RefusalReason::NoRoute));
    // Two of four shards have no server, and three must be covered.
    std::erase_if(harness.list, [](const ServerRecord& record) { return record.collection == "shard0" || record.collection == "shard1"; });
    harness.publish();
    harness.arrive("/search/x");
    refused = harness.take<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST((refused.front().reason == RefusalReason::NoServer && refused.front().notRun));
    BOOST_TEST(harness.takeSent().empty());
}

// Guards against a merge that misses records, orders them wrongly or miscounts the parts.
BOOST_AUTO_TEST_CASE(AScatterMergesTheGreatestRecords)
{
    RouterHarness harness;
    harness.serve(2, 1.0);
    harness.arrive("/search/x");
    const std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_REQUIRE(sent.size() == 2u);
    harness.reply(sent[0], RouterHarness::success("a", std::string(16, '1') + std::string(16, '4') + "short"));
    harness.reply(sent[1], RouterHarness::success("b", std::string(16, '3') + std::string(16, '4')));
    const std::vector<AnswerMerged> answers = harness.take<AnswerMerged>();
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers.front().body == std::string(32, '4') + std::string(16, '3'));
    BOOST_TEST(answers.front().stamps.size() == 2u);
    BOOST_TEST(answers.front().missing == 0u);
}

// Guards against an answer that is held past the aim although it covers enough, and against one that covers too little.
BOOST_AUTO_TEST_CASE(APartialAnswerLeavesInTimeForTheAim)
{
    RouterHarness harness;
    harness.serve(4, 0.75);
    harness.arrive("/search/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    for (std::size_t n = 0; n < 2; ++n)
        harness.reply(sent[n], RouterHarness::success(fmt::format("p{}", n)));
    harness.advance(milliseconds { 98 });
    BOOST_TEST(harness.take<AnswerMerged>().empty());
    harness.reply(sent[2], RouterHarness::success("p2"));
    std::vector<AnswerMerged> answers = harness.take<AnswerMerged>();
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers.front().missing == 1u);

    harness.takeSent();
    harness.arrive("/search/x");
    sent = harness.takeSent();
    for (std::size_t n = 0; n < 3; ++n)
        harness.reply(sent[n], RouterHarness::success(fmt::format("q{}", n)));
    const TimePoint before = harness.now;
    while (harness.take<AnswerMerged>().empty() && harness.now - before < milliseconds { 600 })
        harness.advance(milliseconds { 1 });
    BOOST_TEST((harness.now - before < milliseconds { 100 }));
    BOOST_TEST((harness.now - before > milliseconds { 60 }));
}

// Guards against a part that is sent to two servers without a charge to the budget of repeats, when the first attempt still
// waits for a connection at the time of the hedge.
BOOST_AUTO_TEST_CASE(AWaitingPartIsMovedAndNotSentTwice)
{
    RouterHarness harness;
    harness.openConnections = false;
    harness.serve(1, 1.0);
    // The first connections timed out; those that were opened after that are still not there.
    harness.advance(milliseconds { 400 });
    harness.arrive("/search/x");
    BOOST_TEST(harness.takeSent().empty());
    harness.advance(milliseconds { 60 });
    // Whatever opens now, one attempt is sent.
    for (std::uint64_t id = 1; id <= 500; ++id)
        harness.handle(ConnectionOpened { { id } });
    BOOST_TEST(harness.takeSent().size() == 1u);
}

// Guards against a second run of a request that may run once, and against a refusal that promises too much.
BOOST_AUTO_TEST_CASE(ARequestThatMayHaveRunIsNotRepeated)
{
    RouterHarness harness;
    harness.serve(1);
    harness.arrive("/book/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_REQUIRE(sent.size() == 1u);
    harness.advance(milliseconds { 1'000 });
    BOOST_TEST(harness.takeSent().empty());
    harness.handle(AttemptBroken { sent.front().attempt, "reset" });
    BOOST_TEST(harness.takeSent().empty());
    const std::vector<RefuseRequest> refused = harness.take<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST(!refused.front().notRun);
    BOOST_TEST(!refused.front().retryAfter);
}

// Guards against giving up on a request that a server states not to have run, and against a false status afterwards.
BOOST_AUTO_TEST_CASE(ARejectedRequestGoesToAnotherServer)
{
    RouterHarness harness;
    harness.serve(1);
    harness.arrive("/book/x");
    std::set<std::string> servers;
    for (int n = 0; n < 3; ++n) {
        const std::vector<SendAttempt> sent = harness.takeSent();
        BOOST_REQUIRE(sent.size() == 1u);
        servers.insert(sent.front().instance);
        harness.reply(sent.front(), RouterHarness::failure(ReplyKind::NotExecuted, 503));
    }
    BOOST_TEST(servers.size() == 3u);
    const std::vector<RefuseRequest> refused = harness.take<RefuseRequest>();
    BOOST_REQUIRE(refused.size() == 1u);
    BOOST_TEST(refused.front().notRun);
}

// Guards against more servers running one request than its route allows.
BOOST_AUTO_TEST_CASE(AttemptsEndAtTheRoutesLimit)
{
    RouterHarness harness;
    harness.serve(1);
    harness.arrive("/order/x");
    for (int n = 0; n < 2; ++n) {
        const std::vector<SendAttempt> sent = harness.takeSent();
        BOOST_REQUIRE(sent.size() == 1u);
        ServerReply failure = RouterHarness::failure(ReplyKind::Failure, 500);
        failure.stamp = "signed";
        harness.reply(sent.front(), failure);
    }
    BOOST_TEST(harness.takeSent().empty());
    const std::vector<AnswerReply> answers = harness.take<AnswerReply>();
    BOOST_REQUIRE(answers.size() == 1u);
    // The server's failure is passed on with its signature.
    BOOST_TEST(answers.front().reply.status == 500u);
    BOOST_TEST(answers.front().reply.stamp == "signed");
}

// Guards against work for a server that the list calls leaving, that it no longer names, or whose address another one has.
BOOST_AUTO_TEST_CASE(LeavingAndReplacedServersGetNoWork)
{
    RouterHarness harness;
    harness.serve(1, 1.0);
    harness.list[0].leaving = true;
    harness.publish();
    for (int n = 0; n < 20; ++n) {
        harness.arrive("/search/x");
        const std::vector<SendAttempt> sent = harness.takeSent();
        BOOST_REQUIRE(sent.size() == 1u);
        BOOST_TEST(sent.front().instance == "s0b");
        harness.reply(sent.front(), RouterHarness::success("x"));
    }
    harness.arrive("/search/x");
    const std::vector<SendAttempt> sent = harness.takeSent();
    harness.reply(sent.front(), RouterHarness::failure(ReplyKind::WrongInstance, 421));
    harness.arrive("/search/x");
    BOOST_TEST(harness.takeSent().empty());
}

// Guards against parts of two versions in one answer and against a version that goes back.
BOOST_AUTO_TEST_CASE(ARequestKeepsItsVersionAndVersionsOnlyRise)
{
    RouterHarness harness;
    harness.serve(2, 1.0, 5);
    harness.arrive("/search/x");
    const std::vector<SendAttempt> sent = harness.takeSent();
    std::shared_ptr<RouteDocument> next = std::make_shared<RouteDocument>(*harness.document);
    next->version = 6;
    std::get<ScatterTarget>(next->routes[0].target).shards = { "shard1" };
    harness.handle(RouteDocumentUpdated { next });
    for (const SendAttempt& send : sent)
        harness.reply(send, RouterHarness::success(send.instance));
    const std::vector<AnswerMerged> answers = harness.take<AnswerMerged>();
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers.front().stamps.size() == 2u);
    harness.handle(RouteDocumentUpdated { harness.document });
    BOOST_TEST(harness.router.documentVersion() == 6u);
    harness.arrive("/search/x");
    BOOST_TEST(harness.takeSent().size() == 1u);
}

// Guards against the late reply of a given-up attempt in another request's answer, and against work that goes on for a caller who left.
BOOST_AUTO_TEST_CASE(ACallerWhoLeavesCancelsItsAttempts)
{
    RouterHarness harness;
    harness.serve(2, 1.0);
    const RequestKey key = harness.arrive("/search/x");
    const std::vector<SendAttempt> sent = harness.takeSent();
    harness.handle(CallerDisconnected { key });
    BOOST_TEST(harness.take<CloseConnection>().size() == 2u);
    harness.reply(sent[0], RouterHarness::success("late"));
    BOOST_TEST(harness.take<AnswerMerged>().empty());
    BOOST_TEST(harness.router.requestsInFlight() == 0u);
}

// Guards against a part that hangs on a paused server although its twin could answer in time.
BOOST_AUTO_TEST_CASE(APausedServerIsHedgedWithinTheAim)
{
    RouterHarness harness;
    harness.serve(2, 1.0);
    harness.arrive("/search/x");
    const std::vector<SendAttempt> first = harness.takeSent();
    harness.reply(first[0], RouterHarness::success("a"));
    harness.advance(milliseconds { 45 });
    const std::vector<SendAttempt> hedges = harness.takeSent();
    BOOST_REQUIRE(hedges.size() == 1u);
    BOOST_TEST(hedges.front().instance != first[1].instance);
    harness.reply(hedges.front(), RouterHarness::success("b"));
    const std::vector<AnswerMerged> answers = harness.take<AnswerMerged>();
    BOOST_REQUIRE(answers.size() == 1u);
    BOOST_TEST(answers.front().stamps.size() == 2u);
    // The reply of the paused server belongs to no one, and its connection is free again.
    harness.reply(first[1], RouterHarness::success("late"));
    BOOST_TEST(harness.take<AnswerMerged>().empty());
}

// Guards against a silent connection that is kept for ever after its attempt was given up.
BOOST_AUTO_TEST_CASE(ASilentConnectionIsClosed)
{
    RouterHarness harness;
    harness.serve(1, 1.0);
    harness.arrive("/search/x");
    const SendAttempt silent = harness.takeSent().front();
    harness.advance(milliseconds { 45 });
    harness.reply(harness.takeSent().front(), RouterHarness::success("b"));
    harness.advance(milliseconds { 500 });
    const std::vector<CloseConnection> closed = harness.take<CloseConnection>();
    BOOST_REQUIRE(closed.size() == 1u);
    BOOST_TEST((closed.front().connection == silent.connection));
}

// Guards against a process that was frozen and afterwards gives up every request at once, because it expects to be as late again.
BOOST_AUTO_TEST_CASE(AFreezeDoesNotShortenLaterRequests)
{
    RouterHarness harness;
    harness.serve(2, 1.0);
    harness.arrive("/search/x");
    harness.takeSent();
    // No timer runs for three seconds.
    harness.now += milliseconds { 3'000 };
    harness.handle(Tick {});
    harness.take<RefuseRequest>();
    harness.takeSent();
    harness.advance(milliseconds { 500 });
    harness.arrive("/search/x", milliseconds { 600 });
    BOOST_TEST(harness.take<RefuseRequest>().empty());
    for (const SendAttempt& send : harness.takeSent()) {
        BOOST_TEST((send.remaining > milliseconds { 500 }));
        harness.reply(send, RouterHarness::success(send.instance));
    }
    BOOST_TEST(harness.take<AnswerMerged>().size() == 1u);
}

// Guards against hundreds of log lines that hold up the first requests after a start.
BOOST_AUTO_TEST_CASE(AFirstListIsLoggedInOneLine)
{
    RouterHarness harness;
    harness.serve(30);
    const auto count = [&harness](const EventDescription& description) {
        return std::count_if(harness.effects.begin(), harness.effects.end(), [&description](const Effect& effect) {
            const LogEvent* event = std::get_if<LogEvent>(&effect);
            return event && event->description == &description;
        });
    };
    BOOST_TEST(count(events::kServersListed) == 1);
    BOOST_TEST(count(events::kServerAppeared) == 0);
    harness.addServer("new", "orders");
    harness.publish();
    BOOST_TEST(count(events::kServerAppeared) == 1);
}

// Guards against the split of a route drifting from its weights.
BOOST_AUTO_TEST_CASE(ASplitHoldsItsWeights)
{
    RouterHarness harness;
    harness.serve(2);
    std::shared_ptr<RouteDocument> next = std::make_shared<RouteDocument>(*harness.document);
    next->version = 2;
    next->routes[1].target = SplitTarget { { { "shard0", 1 }, { "shard1", 3 } } };
    harness.handle(RouteDocumentUpdated { next });
    std::size_t first = 0;
    for (int n = 0; n < 40; ++n) {
        harness.arrive("/order/x");
        const SendAttempt sent = harness.takeSent().front();
        first += sent.instance.starts_with("s0") ? 1 : 0;
        harness.reply(sent, RouterHarness::success("x"));
    }
    BOOST_TEST(first == 10u);
}

BOOST_AUTO_TEST_SUITE_END()
