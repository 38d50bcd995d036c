#include "tests/query/entry_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::query;

BOOST_AUTO_TEST_SUITE(Snapshots)

// Guards against an answer that lacks a shard's result or names another query's body.
BOOST_AUTO_TEST_CASE(AnswerHoldsEveryShardOnce)
{
    EntryHarness entry;
    entry.start();
    entry.ask("full");
    entry.replyAll();
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 1.0);
    BOOST_TEST(answer.results.size() == 4U);
    BOOST_TEST(answer.coverage.missing.empty());
    BOOST_TEST(answer.results[0].payload == "body-1");
}

// Guards against merging a reply of another snapshot, shard or key range than the one asked for.
BOOST_AUTO_TEST_CASE(ReplyThatNamesSomethingElseIsNotMerged)
{
    for (int fault = 0; fault < 4; ++fault) {
        EntryHarness entry;
        entry.start(1, 1);
        entry.ask("search");
        SubqueryReplied reply = EntryHarness::replyTo(entry.takeOne<SendSubquery>());
        if (fault == 0)
            reply.snapshot = SnapshotVersion { 2 };
        else if (fault == 1)
            reply.shard.shard = "s9";
        else if (fault == 2)
            reply.shard.range.end /= 2;
        else
            reply.report = ServerReport { ServerId { 99 }, 0, false, {} };
        entry.handle(reply);
        BOOST_TEST(entry.take<SendAnswer>().empty());
        BOOST_TEST(entry.take<CloseConnection>().size() == 1U);
        entry.advance(milliseconds(5));
        entry.replyAll();
        BOOST_TEST(entry.takeOne<SendAnswer>().snapshot.value == 1U);
    }
}

// Guards against giving a shard up while another replica still holds the snapshot.
BOOST_AUTO_TEST_CASE(SnapshotGoneGoesToAnotherReplica)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.ask("full");
    const SendSubquery first = entry.takeOne<SendSubquery>();
    entry.reply(first, ReplyStatus::SnapshotGone);
    const SendSubquery second = entry.takeOne<SendSubquery>();
    BOOST_TEST((second.server != first.server));
    BOOST_TEST((second.snapshot == first.snapshot));
    entry.reply(second);
    BOOST_TEST(entry.takeOne<SendAnswer>().coverage.fraction == 1.0);
}

// Guards against mixing snapshots when a query restarts, and against a second restart.
BOOST_AUTO_TEST_CASE(RestartsOnceOnNewerSnapshotWithoutOldResults)
{
    EntryHarness entry;
    entry.start(2, 1);
    entry.ask("search");
    std::vector<SendSubquery> sent = entry.take<SendSubquery>();
    entry.reply(sent[0]);
    entry.handle(entry.report(0, 0, { 2 }));
    entry.handle(entry.report(1, 0, { 2 }));
    entry.reply(sent[1], ReplyStatus::SnapshotGone);
    sent = entry.take<SendSubquery>();
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].snapshot.value == 2U);
    BOOST_TEST(sent[1].snapshot.value == 2U);
    entry.handle(entry.report(0, 0, { 3 }));
    entry.handle(entry.report(1, 0, { 3 }));
    entry.reply(sent[0]);
    entry.reply(sent[1], ReplyStatus::SnapshotGone);
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST(answer.snapshot.value == 2U);
    BOOST_TEST(answer.results.size() == 1U);
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST((answer.coverage.missing[0].reason == MissingShardReason::SnapshotGone));
}

// Guards against a lacking shard when the newer snapshot becomes known just after the old one is gone.
BOOST_AUTO_TEST_CASE(WaitsForTheReportOfTheNewerSnapshot)
{
    EntryHarness entry;
    entry.start(1, 1);
    entry.ask("full");
    entry.reply(entry.takeOne<SendSubquery>(), ReplyStatus::SnapshotGone);
    entry.advance(milliseconds(12));
    entry.handle(entry.report(0, 0, { 2 }));
    entry.advance(milliseconds(6));
    const SendSubquery sent = entry.takeOne<SendSubquery>();
    BOOST_TEST(sent.snapshot.value == 2U);
    entry.reply(sent);
    BOOST_TEST(entry.takeOne<SendAnswer>().snapshot.value == 2U);
}

// Guards against choosing a newer snapshot that is still incomplete.
BOOST_AUTO_TEST_CASE(PinsTheNewestCompleteSnapshot)
{
    EntryHarness entry;
    entry.start(2, 2);
    entry.handle(entry.report(0, 0, { 1, 2 }));
    entry.ask("full");
    BOOST_TEST(entry.take<SendSubquery>()[0].snapshot.value == 1U);
    entry.handle(entry.report(1, 0, { 1, 2 }));
    entry.ask("full");
    BOOST_TEST(entry.take<SendSubquery>()[0].snapshot.value == 2U);
}

// Guards against asking both a shard and its halves while a split is being reported.
BOOST_AUTO_TEST_CASE(SplitCountsNothingTwice)
{
    EntryHarness entry;
    entry.start(2, 3);
    const KeyRange whole = EntryHarness::rangeOf(0, 2);
    const std::uint64_t middle = whole.end / 2;
    ServerReport half = entry.report(0, 1, { 1 });
    half.held[0].shard = { "s0a", { whole.begin, middle } };
    entry.handle(half);
    half.server = EntryHarness::serverOf(0, 2);
    half.held[0].shard = { "s0b", { middle, whole.end } };
    entry.handle(half);
    entry.ask("full");
    entry.replyAll();
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 1.0);
    std::uint64_t keys = 0;
    for (const ShardRange& covered : answer.coverage.covered)
        keys += covered.range.size();
    BOOST_TEST(keys == kWholeKeySpace.size());
}

// Guards against counting a range that no server holds as covered.
BOOST_AUTO_TEST_CASE(HolesAreLacking)
{
    EntryHarness entry;
    entry.start(4, 1);
    entry.handle(entry.report(2, 0, {}));
    entry.ask("search");
    entry.replyAll();
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 0.75, boost::test_tools::tolerance(1e-9));
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST((answer.coverage.missing[0].shard.range == EntryHarness::rangeOf(2, 4)));
    BOOST_TEST((answer.coverage.missing[0].reason == MissingShardReason::NoServer));
}

// Guards against an answer below the class's least coverage, and against leaving the shard out of the account.
BOOST_AUTO_TEST_CASE(AllReplicasLostIsReported)
{
    EntryHarness entry;
    entry.start(2, 2);
    entry.failOpening = true;
    for (const char* name : { "search", "full" }) {
        entry.ask(name);
        for (int round = 0; round < 8; ++round) {
            for (const SendSubquery& sent : entry.take<SendSubquery>()) {
                if (sent.shard.shard == "s0") {
                    entry.reply(sent);
                    continue;
                }
                entry.handle(SubqueryEnded { sent.attempt, sent.connection, AttemptProgress::Unknown });
                entry.handle(ConnectionLost { sent.connection });
            }
            entry.advance(milliseconds(10));
        }
    }
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 0.5, boost::test_tools::tolerance(1e-9));
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST(answer.coverage.missing[0].shard.shard == "s1");
    // The class that requires everything is refused before any work.
    const SendRefusal refusal = entry.takeOne<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::CoverageTooLow));
    BOOST_TEST((refusal.verdict == Verdict::NotRun));
    BOOST_TEST(refusal.coverage->fraction == 0.0);
}

// Guards against waiting past the target where the class accepts less, and against a partial answer where it does not.
BOOST_AUTO_TEST_CASE(PartialAnswerFollowsTheClassTargets)
{
    EntryHarness entry;
    entry.start(2, 1);
    const QueryId partial = entry.ask("search");
    const QueryId full = entry.ask("full");
    for (const SendSubquery& sent : entry.take<SendSubquery>()) {
        if (sent.shard.shard == "s0")
            entry.reply(sent);
    }
    entry.advance(milliseconds(90));
    BOOST_TEST(entry.take<SendAnswer>().empty());
    entry.advance(milliseconds(10));
    const SendAnswer answer = entry.takeOne<SendAnswer>();
    BOOST_TEST((answer.query == partial));
    BOOST_TEST((answer.coverage.missing.at(0).reason == MissingShardReason::TimedOut));
    entry.advance(milliseconds(900));
    const SendRefusal refusal = entry.takeOne<SendRefusal>();
    BOOST_TEST((refusal.query == full));
    BOOST_TEST((refusal.verdict == Verdict::Ran));
}

// Guards against an answer at the target that covers less than the class accepts, and against waiting on once it covers enough.
BOOST_AUTO_TEST_CASE(PartialAnswerWaitsForTheLeastCoverage)
{
    EntryHarness entry;
    entry.start(4, 1);
    entry.ask("search");
    const std::vector<SendSubquery> sent = entry.take<SendSubquery>();
    entry.reply(sent[0]);
    entry.advance(milliseconds(110));
    BOOST_TEST(entry.take<SendAnswer>().empty());
    BOOST_TEST(entry.take<SendRefusal>().empty());
    entry.reply(sent[1]);
    BOOST_TEST(entry.takeOne<SendAnswer>().coverage.fraction == 0.5, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
