#include "tests/query/entry_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::query;

BOOST_AUTO_TEST_SUITE(Snapshots)

// Guards against an answer without the result of a shard or with the result of another query.
BOOST_AUTO_TEST_CASE(AnswerContainsEveryShardOnce)
{
    EntryHarness entry;
    entry.start();
    entry.submitQuery("full");
    entry.replyAll();
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 1.0);
    BOOST_TEST(answer.results.size() == 4U);
    BOOST_TEST(answer.coverage.missing.empty());
    BOOST_TEST(answer.results[0].payload == "body-1");
}

// Guards against merging a reply that names another snapshot, shard, key range or server than its attempt.
BOOST_AUTO_TEST_CASE(MismatchedReplyIsNotMerged)
{
    for (int fault = 0; fault < 4; ++fault) {
        EntryHarness entry;
        entry.start(1, 1);
        entry.submitQuery("search");
        SubqueryReplied reply = EntryHarness::replyTo(entry.takeSingleEffect<SendSubquery>());
        if (fault == 0)
            reply.snapshot = SnapshotVersion { 2 };
        else if (fault == 1)
            reply.shard.shard = "s9";
        else if (fault == 2)
            reply.shard.range.end /= 2;
        else
            reply.report = ServerReport { ServerId { 99 }, 0, false, {} };
        entry.handle(reply);
        BOOST_TEST(entry.takeEffects<SendAnswer>().empty());
        BOOST_TEST(entry.takeEffects<CloseConnection>().size() == 1U);
        entry.advance(milliseconds(5));
        entry.replyAll();
        BOOST_TEST(entry.takeSingleEffect<SendAnswer>().snapshot.value == 1U);
    }
}

// Guards against reporting a shard as missing while another replica still holds the snapshot.
BOOST_AUTO_TEST_CASE(DroppedSnapshotIsReadFromAnotherReplica)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.submitQuery("full");
    const SendSubquery first = entry.takeSingleEffect<SendSubquery>();
    entry.reply(first, ReplyStatus::SnapshotGone);
    const SendSubquery second = entry.takeSingleEffect<SendSubquery>();
    BOOST_TEST((second.server != first.server));
    BOOST_TEST((second.snapshot == first.snapshot));
    entry.reply(second);
    BOOST_TEST(entry.takeSingleEffect<SendAnswer>().coverage.fraction == 1.0);
}

// Guards against mixing snapshots after a restart of a query, and against a second restart.
BOOST_AUTO_TEST_CASE(RestartsOnceOnNewerSnapshotWithoutOldResults)
{
    EntryHarness entry;
    entry.start(2, 1);
    entry.submitQuery("search");
    std::vector<SendSubquery> sent = entry.takeEffects<SendSubquery>();
    entry.reply(sent[0]);
    entry.handle(entry.report(0, 0, { 2 }));
    entry.handle(entry.report(1, 0, { 2 }));
    entry.reply(sent[1], ReplyStatus::SnapshotGone);
    sent = entry.takeEffects<SendSubquery>();
    BOOST_REQUIRE(sent.size() == 2U);
    BOOST_TEST(sent[0].snapshot.value == 2U);
    BOOST_TEST(sent[1].snapshot.value == 2U);
    entry.handle(entry.report(0, 0, { 3 }));
    entry.handle(entry.report(1, 0, { 3 }));
    entry.reply(sent[0]);
    entry.reply(sent[1], ReplyStatus::SnapshotGone);
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST(answer.snapshot.value == 2U);
    BOOST_TEST(answer.results.size() == 1U);
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST((answer.coverage.missing[0].reason == MissingShardReason::SnapshotGone));
}

// Guards against a missing shard if the newer snapshot is reported shortly after the old one has been dropped.
BOOST_AUTO_TEST_CASE(WaitsForTheReportOfTheNewerSnapshot)
{
    EntryHarness entry;
    entry.start(1, 1);
    entry.submitQuery("full");
    entry.reply(entry.takeSingleEffect<SendSubquery>(), ReplyStatus::SnapshotGone);
    entry.advance(milliseconds(12));
    entry.handle(entry.report(0, 0, { 2 }));
    entry.advance(milliseconds(6));
    const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
    BOOST_TEST(sent.snapshot.value == 2U);
    entry.reply(sent);
    BOOST_TEST(entry.takeSingleEffect<SendAnswer>().snapshot.value == 2U);
}

// Guards against choosing a newer snapshot that is still incomplete.
BOOST_AUTO_TEST_CASE(PinsTheNewestCompleteSnapshot)
{
    EntryHarness entry;
    entry.start(2, 2);
    entry.handle(entry.report(0, 0, { 1, 2 }));
    entry.submitQuery("full");
    BOOST_TEST(entry.takeEffects<SendSubquery>()[0].snapshot.value == 1U);
    entry.handle(entry.report(1, 0, { 1, 2 }));
    entry.submitQuery("full");
    BOOST_TEST(entry.takeEffects<SendSubquery>()[0].snapshot.value == 2U);
}

// Guards against counting keys twice while some servers report a shard and others its halves.
BOOST_AUTO_TEST_CASE(SplitCountsNoKeyTwice)
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
    entry.submitQuery("full");
    entry.replyAll();
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 1.0);
    std::uint64_t keys = 0;
    for (const ShardRange& covered : answer.coverage.covered)
        keys += covered.range.size();
    BOOST_TEST(keys == kWholeKeySpace.size());
}

// Guards against counting a range that no server holds as covered.
BOOST_AUTO_TEST_CASE(GapsAreReportedAsMissing)
{
    EntryHarness entry;
    entry.start(4, 1);
    entry.handle(entry.report(2, 0, {}));
    entry.submitQuery("search");
    entry.replyAll();
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 0.75, boost::test_tools::tolerance(1e-9));
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST((answer.coverage.missing[0].shard.range == EntryHarness::rangeOf(2, 4)));
    BOOST_TEST((answer.coverage.missing[0].reason == MissingShardReason::NoServer));
}

// Guards against an answer below the class's minimum coverage, and against omitting the missing shard from the coverage.
BOOST_AUTO_TEST_CASE(LossOfAllReplicasIsReported)
{
    EntryHarness entry;
    entry.start(2, 2);
    entry.failOpening = true;
    for (const char* name : { "search", "full" }) {
        entry.submitQuery(name);
        for (int round = 0; round < 8; ++round) {
            for (const SendSubquery& sent : entry.takeEffects<SendSubquery>()) {
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
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST(answer.coverage.fraction == 0.5, boost::test_tools::tolerance(1e-9));
    BOOST_REQUIRE(answer.coverage.missing.size() == 1U);
    BOOST_TEST(answer.coverage.missing[0].shard.shard == "s1");
    // The class that requires full coverage is refused before any work.
    const SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::CoverageTooLow));
    BOOST_TEST((refusal.verdict == Verdict::NotRun));
    BOOST_TEST(refusal.coverage->fraction == 0.0);
}

// Guards against waiting past the target latency if the class accepts partial answers, and against a partial answer if not.
BOOST_AUTO_TEST_CASE(PartialAnswerFollowsTheClassTargets)
{
    EntryHarness entry;
    entry.start(2, 1);
    const QueryId partial = entry.submitQuery("search");
    const QueryId full = entry.submitQuery("full");
    for (const SendSubquery& sent : entry.takeEffects<SendSubquery>()) {
        if (sent.shard.shard == "s0")
            entry.reply(sent);
    }
    entry.advance(milliseconds(90));
    BOOST_TEST(entry.takeEffects<SendAnswer>().empty());
    entry.advance(milliseconds(10));
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST((answer.query == partial));
    BOOST_TEST((answer.coverage.missing.at(0).reason == MissingShardReason::TimedOut));
    entry.advance(milliseconds(900));
    const SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.query == full));
    BOOST_TEST((refusal.verdict == Verdict::Ran));
}

// Guards against a partial answer below the minimum coverage, and against waiting longer once the minimum is reached.
BOOST_AUTO_TEST_CASE(PartialAnswerWaitsForTheMinimumCoverage)
{
    EntryHarness entry;
    entry.start(4, 1);
    entry.submitQuery("search");
    const std::vector<SendSubquery> sent = entry.takeEffects<SendSubquery>();
    entry.reply(sent[0]);
    entry.advance(milliseconds(110));
    BOOST_TEST(entry.takeEffects<SendAnswer>().empty());
    BOOST_TEST(entry.takeEffects<SendRefusal>().empty());
    entry.reply(sent[1]);
    BOOST_TEST(entry.takeSingleEffect<SendAnswer>().coverage.fraction == 0.5, boost::test_tools::tolerance(1e-9));
}

BOOST_AUTO_TEST_SUITE_END()
