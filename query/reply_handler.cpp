#include "query/reply_handler.h"

#include "policy/silence_detector.h"
#include "query/events.h"

#include <algorithm>
#include <array>

namespace curranttrail::query {

namespace {
    constexpr int kStragglerMedianFactor = 4;

    MissingShardReason missingReasonOf(ReplyStatus status)
    {
        return status == ReplyStatus::SnapshotGone ? MissingShardReason::SnapshotGone : MissingShardReason::Failed;
    }

    AttemptProgress progressOf(ReplyStatus status)
    {
        switch (status) {
        case ReplyStatus::Shed:
        case ReplyStatus::SnapshotGone:
            return AttemptProgress::RefusedBeforeWork;
        case ReplyStatus::Ok:
        case ReplyStatus::Failed:
            break;
        }
        return AttemptProgress::Replied;
    }
} // namespace

ReplyHandler::ReplyHandler(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, FanOut& fanOut, RequestGuard& guard, EndChecks& ends)
    : m_context(context)
    , m_directory(directory)
    , m_pool(pool)
    , m_queries(queries)
    , m_fanOut(fanOut)
    , m_guard(guard)
    , m_ends(ends)
{
}

AttemptState* ReplyHandler::findMatchingAttempt(AttemptId id, ConnectionId connection)
{
    AttemptState* attempt = m_queries.findAttempt(id);
    if (attempt && attempt->connection == connection && m_pool.carries(connection, id))
        return attempt;
    m_context.log(events::kStrayReply, { { "attempt", std::to_string(id.value) }, { "connection", std::to_string(connection.value) } });
    return nullptr;
}

bool ReplyHandler::matchesAttempt(const SubqueryReplied& reply, const AttemptState& attempt) const
{
    if (reply.report && reply.report->server != attempt.server)
        return false;
    // A server that refuses early may not have parsed the subquery. Nothing is merged then, so the attempt id is sufficient.
    if (reply.status != ReplyStatus::Ok && reply.shard.shard.empty() && reply.snapshot.value == 0)
        return true;
    const bool isShard = reply.shard.shard == attempt.shardRange().shard && reply.shard.range == attempt.shardRange().range;
    // A server that lacks the snapshot may name the snapshot that it holds instead.
    return isShard && (reply.status == ReplyStatus::SnapshotGone || reply.snapshot == attempt.snapshot);
}

void ReplyHandler::updateStatistics(const SubqueryReplied& reply, const AttemptState& attempt, Server& server)
{
    const TimePoint now = m_context.now;
    const Micros total = now - attempt.sentAt;
    const Micros service { static_cast<std::int64_t>(std::min<std::uint64_t>(reply.serverMicros, static_cast<std::uint64_t>(total.count()))) };
    ++server.replies;
    server.repliedAt = now;
    server.reachedAt = std::max(server.reachedAt, attempt.sentAt);
    if (reply.status == ReplyStatus::Ok || reply.status == ReplyStatus::Failed)
        m_guard.recordAnswer(attempt.fingerprint, server.listing.collection);
    server.noReplySince = now;
    switch (reply.status) {
    case ReplyStatus::Shed:
        server.limit.onShed(now);
        return;
    case ReplyStatus::SnapshotGone:
        m_directory.dropSnapshot(attempt.server, attempt.snapshot);
        return;
    case ReplyStatus::Failed:
        // A cancelled attempt may be reported as failed, which is no sign of a faulty server.
        if (!attempt.isAbandoned)
            server.health.onFailure(m_context.random, now);
        return;
    case ReplyStatus::Ok:
        break;
    }
    server.health.onReply(now);
    const Micros queueDelay = server.estimate.queueDelay(total, service);
    server.limit.onReply(queueDelay, service, server.busy, now);
    server.estimate.onReply(total, service, server.listing.slots, now);
    if (attempt.isAbandoned) {
        ++attempt.counters->lateReplies;
        return;
    }
    if (attempt.isHedge)
        return;
    policy::LatencyQuantiles& latency = attempt.collection->latency;
    // Counts a straggler that was not overtaken by a hedge.
    if (latency.weight() > 0 && total > kStragglerMedianFactor * latency.median())
        attempt.collection->hedges.onStraggler();
    latency.add(total);
    if (QueryState* query = m_queries.find(attempt.query))
        query->waitMicros += static_cast<double>(queueDelay.count());
}

void ReplyHandler::onReplied(const SubqueryReplied& reply)
{
    AttemptState* attempt = findMatchingAttempt(reply.attempt, reply.connection);
    if (!attempt)
        return;
    const ServerId serverId = attempt->server;
    const ConnectionId connection = attempt->connection;
    if (!matchesAttempt(reply, *attempt)) {
        m_context.log(events::kMismatchedReply,
            { { "attempt", std::to_string(reply.attempt.value) }, { "server", std::to_string(serverId.value) },
                { "shard", reply.shard.shard }, { "snapshot", std::to_string(reply.snapshot.value) } });
        m_pool.retire(connection);
        finishAttempt(reply.attempt, AttemptProgress::Unknown, MissingShardReason::Failed, std::nullopt);
        return;
    }
    Server& server = *m_directory.find(serverId);
    const bool becameUnusable = reply.report && m_directory.applyReplyReport(*reply.report);
    updateStatistics(reply, *attempt, server);
    recordUsage(*attempt, server, reply.serverMicros, reply.payload.size());
    if (becameUnusable)
        server.share = 0;
    m_pool.release(connection);
    const std::optional<std::string> payload = reply.status == ReplyStatus::Ok ? std::optional<std::string>(reply.payload) : std::nullopt;
    finishAttempt(reply.attempt, progressOf(reply.status), missingReasonOf(reply.status), payload);
    if (becameUnusable)
        stopUsing(serverId);
    m_fanOut.dispatchQueued(server);
}

void ReplyHandler::onEnded(const SubqueryEnded& end)
{
    const AttemptState* attempt = findMatchingAttempt(end.attempt, end.connection);
    if (!attempt)
        return;
    const ServerId serverId = attempt->server;
    const bool wasCancelled = attempt->isAbandoned;
    const bool isNotRun = end.progress == AttemptProgress::NotSent || end.progress == AttemptProgress::RefusedBeforeWork;
    // After the end of a cancelled attempt its reply has been read or will not come. Otherwise a reply could still follow.
    if (wasCancelled || isNotRun)
        m_pool.release(end.connection);
    else
        m_pool.retire(end.connection);
    finishUnanswered(end.attempt, end.progress);
    if (Server* server = m_directory.find(serverId))
        m_fanOut.dispatchQueued(*server);
}

void ReplyHandler::finishUnanswered(AttemptId id, AttemptProgress progress)
{
    const AttemptState& attempt = *m_queries.findAttempt(id);
    Server* server = m_directory.find(attempt.server);
    if (server && !attempt.isAbandoned)
        server->health.onFailure(m_context.random, m_context.now);
    if (server && progress != AttemptProgress::NotSent)
        recordUsage(attempt, *server, 0, 0);
    const std::array<AttemptProgress, 1> attempts { progress };
    if (!server || server->isLeaving() || verdictOf(attempts) != Verdict::MayHaveRun) {
        finishAttempt(id, progress, MissingShardReason::Failed, std::nullopt);
        return;
    }
    m_ends.begin(*server, { id, progress, attempt.fingerprint });
    // The shard is not sent to another server before the check.
    QueryState* query = m_queries.find(attempt.query);
    if (query && attempt.planEpoch == query->planEpoch && query->shards[attempt.shard].live.size() == 1)
        query->shards[attempt.shard].hedgeAt = kNever;
}

void ReplyHandler::finishEndChecks()
{
    for (const EndChecks::Result& result : m_ends.takeFinished()) {
        std::vector<RequestFingerprint> suspects;
        for (const LostAttempt& lost : result.attempts) {
            if (m_guard.isSuspect(lost.request))
                suspects.push_back(lost.request);
        }
        const Server* server = m_directory.find(result.server);
        if (result.hasEnded && server) {
            ++m_serversEnded;
            m_context.log(events::kServerEnded, { { "server", server->listing.name }, { "collection", server->listing.collection }, { "attempts", std::to_string(result.attempts.size()) } });
            for (const LostAttempt& lost : result.attempts)
                m_guard.recordEnd(lost.request, server->listing, result.lostAt);
        }
        for (const LostAttempt& lost : result.attempts) {
            const bool isExplained = std::any_of(suspects.begin(), suspects.end(), [&](const RequestFingerprint& suspect) { return suspect != lost.request; });
            const bool maySuspect = result.hasEnded && !isExplained && !m_guard.wasAnsweredRecently(lost.request);
            const AttemptState* attempt = m_queries.findAttempt(lost.attempt);
            if (!attempt)
                continue;
            QueryState* query = m_queries.find(attempt->query);
            if (query && attempt->planEpoch == query->planEpoch)
                query->shards[attempt->shard].isEndExplained = result.hasEnded && !maySuspect;
            finishAttempt(lost.attempt, lost.progress, maySuspect ? MissingShardReason::ServerEnded : MissingShardReason::Failed, std::nullopt);
        }
    }
}

void ReplyHandler::finishAttempt(AttemptId id, AttemptProgress progress, MissingShardReason reason, std::optional<std::string> payload)
{
    const AttemptState attempt = std::move(*m_queries.findAttempt(id));
    m_queries.removeAttempt(id);
    QueryState* query = m_queries.find(attempt.query);
    if (!query)
        return;
    --query->openAttempts;
    query->ended.push_back(progress);
    if (attempt.isAbandoned || attempt.planEpoch != query->planEpoch) {
        if (query->isClosed)
            m_fanOut.evaluate(*query);
        return;
    }
    if (reason == MissingShardReason::SnapshotGone && !payload)
        query->shards[attempt.shard].withoutSnapshot.push_back(attempt.server);
    if (payload)
        m_fanOut.completeShard(*query, attempt.shard, id, std::move(*payload));
    else
        m_fanOut.onAttemptFailed(*query, attempt.shard, id, reason, progress);
}

void ReplyHandler::recordUsage(const AttemptState& attempt, const Server& server, std::uint64_t serverMicros, std::uint64_t bytes)
{
    const Usage use { attempt.classTarget->owner, server.listing.owner, attempt.classTarget->name, 1, serverMicros, bytes };
    QueryState* query = m_queries.find(attempt.query);
    // Usage reported after the query has ended gets its own record, so that nothing is counted twice or lost.
    if (!query) {
        m_context.emit(RecordUsage { attempt.query, use });
        return;
    }
    const std::vector<Usage>::iterator it
        = std::find_if(query->usage.begin(), query->usage.end(), [&](const Usage& usage) { return usage.servedBy == use.servedBy; });
    if (it == query->usage.end()) {
        query->usage.push_back(use);
        return;
    }
    it->subqueries += use.subqueries;
    it->serverMicros += use.serverMicros;
    it->bytes += use.bytes;
}

void ReplyHandler::onConnectionLost(ConnectionId connection)
{
    const std::optional<AttemptId> attempt = m_pool.onLost(connection);
    if (attempt && m_queries.findAttempt(*attempt))
        finishUnanswered(*attempt, AttemptProgress::Unknown);
}

void ReplyHandler::checkConnections()
{
    for (AttemptId id : m_queries.attemptIds()) {
        const AttemptState* attempt = m_queries.findAttempt(id);
        Server* server = attempt ? m_directory.find(attempt->server) : nullptr;
        if (!server)
            continue;
        const policy::LatencyQuantiles& latency = attempt->collection->latency;
        const policy::SilenceDetector::Attempt observed { attempt->sentAt, server->replies - attempt->serverRepliesBefore, server->repliedAt };
        const bool isSilent = policy::SilenceDetector::isSilent(observed, policy::SilenceDetector::silenceTimeout(latency), m_context.now);
        if (m_ends.isPending(id))
            continue;
        const bool isOverdue = attempt->isAbandoned && m_context.now - attempt->abandonedAt >= policy::SilenceDetector::cancelTimeout(latency);
        if (!isSilent && !isOverdue)
            continue;
        m_context.log(isSilent ? events::kConnectionSilent : events::kCancelUnanswered,
            { { "server", server->listing.name }, { "connection", std::to_string(attempt->connection.value) } });
        m_pool.retire(attempt->connection);
        if (isSilent && !attempt->isAbandoned)
            recordUsage(*attempt, *server, 0, 0);
        finishAttempt(id, AttemptProgress::Unknown, MissingShardReason::Failed, std::nullopt);
    }
}

void ReplyHandler::stopUsing(ServerId id)
{
    Server* server = m_directory.find(id);
    if (!server)
        return;
    server->share = 0;
    m_fanOut.reassignQueued(*server);
}

} // namespace curranttrail::query
