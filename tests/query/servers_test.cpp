#include "tests/query/entry_harness.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::query;

namespace {
// Sends several queries and returns whether the first replica of the only shard got a subquery.
bool firstReplicaGetsWork(EntryHarness& entry)
{
    bool used = false;
    for (int query = 0; query < 40; ++query) {
        entry.submitQuery("full");
        for (const SendSubquery& sent : entry.takeEffects<SendSubquery>()) {
            used = used || sent.server == EntryHarness::serverOf(0, 0);
            entry.advance(milliseconds(2));
            entry.reply(sent);
        }
    }
    entry.takeEffects<SendAnswer>();
    return used;
}
} // namespace

BOOST_AUTO_TEST_SUITE(Servers)

// Guards against new work for a leaving server, for each signal that may come first.
BOOST_AUTO_TEST_CASE(LeavingServerGetsNoNewWork)
{
    for (int signal = 0; signal < 5; ++signal) {
        EntryHarness entry;
        entry.start(1, 2);
        BOOST_TEST(firstReplicaGetsWork(entry));
        const ServerId leaving = EntryHarness::serverOf(0, 0);
        if (signal == 0) {
            entry.handle(entry.report(0, 0, { 1 }, true));
        } else if (signal == 1) {
            entry.handle(PeerReportedLeaving { leaving });
        } else if (signal == 2) {
            ServerListChanged listWithLeaving { { entry.listedServer(leaving), entry.listedServer(EntryHarness::serverOf(0, 1)) } };
            listWithLeaving.servers[0].leaving = true;
            entry.handle(listWithLeaving);
        } else {
            bool isSignalSent = false;
            for (int round = 0; round < 200 && !isSignalSent; ++round) {
                entry.submitQuery("full");
                const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
                SubqueryReplied reply = EntryHarness::replyTo(sent, signal == 3 ? ReplyStatus::Shed : ReplyStatus::Ok);
                isSignalSent = sent.server == leaving;
                if (isSignalSent)
                    reply.report = ServerReport { leaving, 0, true, {} };
                entry.handle(reply);
                entry.advance(milliseconds(3));
                for (const SendSubquery& retry : entry.takeEffects<SendSubquery>())
                    entry.reply(retry);
            }
        }
        BOOST_TEST((signal < 3 || entry.reducer.metrics().leavingServers == 1U));
        const bool isOwnSignal = signal == 0 || signal >= 3;
        BOOST_TEST(entry.takeEffects<AnnounceLeaving>().size() == (isOwnSignal ? 1U : 0U));
        BOOST_TEST(!firstReplicaGetsWork(entry));
        BOOST_TEST(!entry.takeEffects<CloseConnection>().empty());
        // A repeated signal is not announced again.
        entry.handle(entry.report(0, 0, { 1 }, true));
        BOOST_TEST(entry.takeEffects<AnnounceLeaving>().empty());
    }
}

// Guards against a stale list that cancels a drain signal, and against never using a restarted server again.
BOOST_AUTO_TEST_CASE(OnlyTheServerItselfCancelsItsDrain)
{
    EntryHarness entry;
    entry.start(1, 2);
    entry.handle(entry.report(0, 0, { 1 }, true));
    entry.advance(milliseconds(500));
    entry.sendServerList();
    BOOST_TEST(!firstReplicaGetsWork(entry));
    entry.handle(entry.report(0, 0, { 1 }, false));
    // Passes the slow start.
    entry.advance(milliseconds(6'000));
    BOOST_TEST(firstReplicaGetsWork(entry));
}

// Guards against shards that stay queued at a server that accepts no new work.
BOOST_AUTO_TEST_CASE(QueuedShardsMoveAwayFromALeavingServer)
{
    EntryHarness entry;
    entry.connectionLimit = 1;
    entry.start(1, 2);
    entry.handle(entry.report(0, 1, {}));
    entry.submitQuery("bulk");
    entry.submitQuery("bulk");
    const SendSubquery sent = entry.takeSingleEffect<SendSubquery>();
    entry.handle(entry.report(0, 1, { 1 }));
    entry.handle(PeerReportedLeaving { sent.server });
    const SendSubquery moved = entry.takeSingleEffect<SendSubquery>();
    BOOST_TEST((moved.server != sent.server));
    // The attempt in flight is not aborted.
    BOOST_TEST(entry.takeEffects<CloseConnection>().empty());
    entry.reply(sent);
    entry.reply(moved);
    BOOST_TEST(entry.takeEffects<SendAnswer>().size() == 2U);
}

// Guards against a retry on a leaving server, even if it was the only holder of the shard when the query began.
BOOST_AUTO_TEST_CASE(RetryAvoidsALeavingServer)
{
    EntryHarness entry;
    entry.start(2, 1);
    entry.submitQuery("search");
    const std::vector<SendSubquery> sent = entry.takeEffects<SendSubquery>();
    entry.handle(PeerReportedLeaving { sent[0].server });
    entry.reply(sent[0], ReplyStatus::Shed);
    entry.advance(milliseconds(20));
    BOOST_TEST(entry.takeEffects<SendSubquery>().empty());
    entry.reply(sent[1]);
    const SendAnswer answer = entry.takeSingleEffect<SendAnswer>();
    BOOST_TEST((answer.coverage.missing.at(0).shard.range == sent[0].shard.range));
}

// Guards against one instance filling a server's queue.
BOOST_AUTO_TEST_CASE(WorkInFlightOnAServerIsLimited)
{
    EntryHarness entry;
    entry.start(1, 1);
    for (int query = 0; query < 8; ++query)
        entry.submitQuery("bulk");
    // Two slots and a queue of two.
    BOOST_TEST(entry.takeEffects<SendSubquery>().size() == 4U);
}

// Guards against holding more connections than the share after other instances have joined.
BOOST_AUTO_TEST_CASE(BusyConnectionsAboveTheShareAreClosedWhenTheyEnd)
{
    EntryHarness entry;
    entry.start(1, 1);
    for (int query = 0; query < 4; ++query)
        entry.submitQuery("full");
    const std::vector<SendSubquery> sent = entry.takeEffects<SendSubquery>();
    BOOST_TEST(sent.size() == 4U);
    std::vector<InstanceName> instances;
    for (int i = 1; i <= 20; ++i)
        instances.push_back("entry-" + std::to_string(i));
    entry.handle(EntryInstancesChanged { "entry-1", instances });
    for (const SendSubquery& subquery : sent)
        entry.reply(subquery);
    BOOST_TEST(entry.takeEffects<SendAnswer>().size() == 4U);
    BOOST_TEST(entry.reducer.metrics().connections == 1U);
    entry.advance(milliseconds(1'000));
    BOOST_TEST(entry.reducer.metrics().connections == 1U);
}

// Guards against accepting queries before the instance is ready, and against reverting to an older configuration.
BOOST_AUTO_TEST_CASE(ReadinessRequiresConfigurationAndServerList)
{
    for (const bool listFirst : { true, false }) {
        EntryHarness entry;
        entry.shards = 1;
        entry.replicas = 1;
        entry.handle(EntryInstancesChanged { "entry-1", { "entry-1" } });
        entry.submitQuery("full");
        listFirst ? entry.sendServerList() : entry.configure();
        entry.submitQuery("full");
        for (const SendRefusal& refusal : entry.takeEffects<SendRefusal>()) {
            BOOST_TEST((refusal.reason == RefusalReason::NotReady));
            BOOST_TEST((refusal.verdict == Verdict::NotRun));
        }
        listFirst ? entry.configure() : entry.sendServerList();
        entry.reportAll({ 1 });
        entry.submitQuery("full");
        BOOST_TEST(entry.takeEffects<SendSubquery>().size() == 1U);
    }
    EntryHarness entry;
    entry.configure(5);
    entry.configure(4);
    BOOST_TEST(entry.reducer.configurationVersion("nile").value == 5U);
    entry.configure(6);
    BOOST_TEST(entry.reducer.configurationVersion("nile").value == 6U);
}

// Guards against refusals with the wrong reason.
BOOST_AUTO_TEST_CASE(UnknownClassesAreRefusedWithTheirReason)
{
    EntryHarness entry;
    entry.start(1, 1);
    entry.submitQuery("nothing");
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::UnknownClass));
    entry.handle(QueryArrived { QueryId { 90 }, "stone", "full", milliseconds(10), {}, {}, 0, "" });
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::WrongOwner));
    entry.submitQuery("full", Micros { 0 });
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::DeadlinePast));
}

// Guards against a class that is denied on a configuration that control has not confirmed, such as after a pause: the caller would not
// try another instance.
BOOST_AUTO_TEST_CASE(AnUnknownClassIsDeniedOnlyOnAConfigurationThatControlConfirms)
{
    EntryHarness entry;
    entry.start(1, 1);
    entry.advance(milliseconds(5'000));
    entry.takeEffects<SendRefusal>();
    entry.submitQuery("nothing");
    const SendRefusal refused = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refused.reason == RefusalReason::NotReady && refused.verdict == Verdict::NotRun));
    entry.handle(ConfigurationConfirmed { "nile" });
    entry.submitQuery("nothing");
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::UnknownClass));
    // The configuration of the other owner has never been received.
    entry.handle(QueryArrived { QueryId { 91 }, "amber", "nothing", milliseconds(10), {}, {}, 0, "" });
    BOOST_TEST((entry.takeSingleEffect<SendRefusal>().reason == RefusalReason::NotReady));
}

// Guards against aborting queries at a planned stop.
BOOST_AUTO_TEST_CASE(DrainFinishesQueriesInFlight)
{
    EntryHarness entry;
    entry.start(1, 1);
    entry.submitQuery("full");
    entry.handle(DrainRequested {});
    BOOST_TEST(entry.takeEffects<DrainComplete>().empty());
    entry.submitQuery("full");
    const SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.reason == RefusalReason::Draining));
    BOOST_TEST((refusal.verdict == Verdict::NotRun));
    entry.replyAll();
    BOOST_TEST(entry.takeEffects<SendAnswer>().size() == 1U);
    BOOST_TEST(entry.takeEffects<DrainComplete>().size() == 1U);
}

// Guards against callers whose connections are closed without an answer when the process ends before their queries' timeouts.
BOOST_AUTO_TEST_CASE(DrainAnswersQueriesBeforeTheProcessEnds)
{
    EntryHarness entry(1, milliseconds { 300 });
    entry.start(1, 1);
    entry.submitQuery("full");
    entry.handle(DrainRequested {});
    entry.takeEffects<SendRefusal>();
    entry.advance(milliseconds { 300 });
    const SendRefusal refusal = entry.takeSingleEffect<SendRefusal>();
    BOOST_TEST((refusal.verdict == Verdict::MayHaveRun));
    BOOST_TEST(entry.takeEffects<DrainComplete>().size() == 1U);
}

// Guards against usage that is recorded twice or not at all, including that of overtaken attempts.
BOOST_AUTO_TEST_CASE(UsageIsRecordedOncePerSubquery)
{
    EntryHarness entry;
    entry.start(2, 2);
    std::size_t sent = 0;
    for (int query = 0; query < 50; ++query) {
        entry.submitQuery("full");
        for (int round = 0; round < 3; ++round) {
            const std::vector<SendSubquery> batch = entry.takeEffects<SendSubquery>();
            sent += batch.size();
            entry.advance(milliseconds(50));
            for (const SendSubquery& subquery : batch)
                entry.reply(subquery);
        }
    }
    std::uint64_t recorded = 0;
    for (const RecordUsage& record : entry.takeEffects<RecordUsage>())
        recorded += record.usage.subqueries;
    BOOST_TEST(sent > 100U);
    BOOST_TEST(recorded == sent);
}

BOOST_AUTO_TEST_SUITE_END()
