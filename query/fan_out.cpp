#include "query/fan_out.h"

#include "query/events.h"

#include <algorithm>

namespace curranttrail::query {

namespace {
    constexpr std::uint32_t kMaximumRetries = 3;
    constexpr std::uint32_t kMaximumHedges = 2;
    constexpr double kSecondHedgeQuantile = 0.85;
    // With fewer samples, quantiles near 0.98 are unreliable.
    constexpr double kMinimumQuantileSamples = 100;
    constexpr double kRounding = 1e-9;
    constexpr int kStragglerMedianFactor = 3;
    constexpr Micros kMinimumHedgeDelay { 1'000 };
    // Hedging after a third of the target latency leaves time for the hedge and its reply.
    constexpr int kTargetDivisor = 3;
    // Reports are polled, so a newer snapshot may become known shortly after the servers drop the old one.
    constexpr Micros kSnapshotRetryDelay { 5'000 };

    void dropLive(ShardState& shard, AttemptId attempt)
    {
        shard.live.erase(std::remove_if(shard.live.begin(), shard.live.end(), [&](const ShardAttempt& live) { return live.attempt == attempt; }),
            shard.live.end());
    }
} // namespace

FanOut::FanOut(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, Dispatcher& dispatcher, const RequestGuard& guard)
    : m_context(context)
    , m_directory(directory)
    , m_pool(pool)
    , m_queries(queries)
    , m_dispatcher(dispatcher)
    , m_guard(guard)
{
}

void FanOut::begin(QueryState& query)
{
    query.plan = m_directory.bestPlan(*query.collection);
    if (!query.plan) {
        refuse(query, RefusalReason::NoServers, "no usable backend server reports a snapshot of the collection");
        return;
    }
    query.shards.assign(query.plan->shards.size(), ShardState {});
    query.unresolved = query.shards.size();
    query.held = 0;
    setDelays(query);
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        query.shards[i].readyAt = m_context.now;
        if (!m_dispatcher.canServe(query, i))
            markMissing(query, i, MissingShardReason::NoServer);
    }
    // Nothing is sent if the minimum coverage cannot be reached.
    if (!canReachCoverage(query)) {
        refuseUnreachable(query);
        return;
    }
    holdShards(query);
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        if (query.shards[i].status == ShardStatus::Waiting)
            dispatchShard(query, i);
    }
    schedule(query);
    evaluate(query);
}

void FanOut::setDelays(QueryState& query)
{
    const policy::LatencyQuantiles& latency = query.collection->latency;
    const Micros fromTarget = query.target().latency / kTargetDivisor;
    if (latency.weight() < kMinimumQuantileSamples) {
        query.hedgeDelay = query.secondHedgeDelay = std::max(kMinimumHedgeDelay, fromTarget);
        return;
    }
    query.hedgeDelay = std::max(kMinimumHedgeDelay, latency.quantile(query.collection->hedges.delayQuantile()));
    query.secondHedgeDelay = std::max(kMinimumHedgeDelay, latency.quantile(kSecondHedgeQuantile));
}

void FanOut::dispatchShard(QueryState& query, std::size_t index)
{
    if (m_dispatcher.dispatch(query, index))
        return;
    ShardState& shard = query.shards[index];
    if (shard.withoutSnapshot.empty()) {
        markMissing(query, index, shard.triedServers.empty() ? MissingShardReason::NoServer : MissingShardReason::Failed);
        return;
    }
    const bool hasTime = m_context.now + kSnapshotRetryDelay + query.collection->latency.median() < query.deadline;
    if (query.wasRestarted || !hasTime) {
        markMissing(query, index, MissingShardReason::SnapshotGone);
        return;
    }
    // evaluate() restarts the query when a newer snapshot is known.
    shard.missingReason = MissingShardReason::SnapshotGone;
    scheduleRetry(query, index, kSnapshotRetryDelay);
}

void FanOut::scheduleRetry(QueryState& query, std::size_t index, Micros duration)
{
    ShardState& shard = query.shards[index];
    shard.status = ShardStatus::AwaitingRetry;
    shard.retryAt = m_context.now + duration;
    if (shard.retryAt < query.timerAt)
        m_queries.setTimer(query, shard.retryAt);
}

void FanOut::markMissing(QueryState& query, std::size_t index, MissingShardReason reason)
{
    ShardState& shard = query.shards[index];
    m_dispatcher.removeFromQueues(query, index);
    shard.status = ShardStatus::Missing;
    shard.missingReason = reason;
    --query.unresolved;
}

void FanOut::completeShard(QueryState& query, std::size_t index, AttemptId attempt, std::string payload)
{
    ShardState& shard = query.shards[index];
    const bool wasOvertaken = !shard.live.empty() && shard.live.front().attempt != attempt;
    if (wasOvertaken)
        query.collection->hedges.onStraggler();
    dropLive(shard, attempt);
    abandonLive(query, index);
    m_dispatcher.removeFromQueues(query, index);
    shard.status = ShardStatus::Done;
    shard.payload = std::move(payload);
    --query.unresolved;
    evaluate(query);
}

void FanOut::onAttemptFailed(QueryState& query, std::size_t index, AttemptId attempt, MissingShardReason reason, AttemptProgress progress)
{
    ShardState& shard = query.shards[index];
    dropLive(shard, attempt);
    if (shard.status != ShardStatus::InFlight || !shard.live.empty())
        return;
    if (reason == MissingShardReason::SnapshotGone) {
        // No work was done and each server is tried once, so this does not use the retry budget.
        dispatchShard(query, index);
    } else if (reason == MissingShardReason::ServerEnded && query.isRepeatable()) {
        shard.missingReason = reason;
        hold(query, index);
    } else if (mayRetry(query, shard, reason, progress)) {
        scheduleRetry(query, index, policy::RetryBudget::backoff(shard.retries, m_context.random));
        ++shard.retries;
    } else {
        markMissing(query, index, reason);
    }
    evaluate(query);
}

bool FanOut::mayRetry(QueryState& query, const ShardState& shard, MissingShardReason reason, AttemptProgress progress)
{
    const std::array<AttemptProgress, 1> attempts { progress };
    if (reason == MissingShardReason::TimedOut || shard.retries >= kMaximumRetries)
        return false;
    if (!query.isRepeatable() && verdictOf(attempts) != Verdict::NotRun)
        return false;
    if (!mayRunAgain(query, shard, progress))
        return false;
    const Micros maximumDelay = policy::RetryBudget::maximumBackoff(shard.retries);
    if (m_context.now + maximumDelay + query.collection->latency.median() >= query.deadline)
        return false;
    return m_dispatcher.retryBudget(query.target().owner).tryAcquire();
}

bool FanOut::tryRestart(QueryState& query)
{
    if (query.wasRestarted || query.isClosed || (!query.isRepeatable() && query.verdict() != Verdict::NotRun))
        return false;
    const bool isSnapshotGone = std::any_of(query.shards.begin(), query.shards.end(), [](const ShardState& shard) {
        return shard.status == ShardStatus::AwaitingRetry && shard.missingReason == MissingShardReason::SnapshotGone;
    });
    if (!isSnapshotGone)
        return false;
    const std::shared_ptr<const SnapshotPlan> best = m_directory.bestPlan(*query.collection);
    if (!best || best->fraction + kRounding < query.target().minimumCoverage || best->version <= query.plan->version || m_context.now + query.collection->latency.median() >= query.deadline)
        return false;
    m_context.log(events::kSnapshotRestart,
        { { "query", std::to_string(query.request.query.value) }, { "from", std::to_string(query.plan->version.value) },
            { "to", std::to_string(best->version.value) } });
    abandonAll(query);
    query.wasRestarted = true;
    ++query.planEpoch;
    begin(query);
    return true;
}

void FanOut::abandonLive(QueryState& query, std::size_t index)
{
    ShardState& shard = query.shards[index];
    for (const ShardAttempt& live : shard.live)
        m_dispatcher.abandon(query, live);
    shard.live.clear();
}

void FanOut::abandonAll(QueryState& query)
{
    const Micros stragglerAge = kStragglerMedianFactor * query.collection->latency.median();
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        // A straggler that a partial answer cuts off is not overtaken by a hedge, so it is counted here.
        const ShardState& shard = query.shards[i];
        if (query.isRepeatable() && !shard.live.empty() && m_context.now - shard.live.front().sentAt > stragglerAge)
            query.collection->hedges.onStraggler();
        abandonLive(query, i);
        m_dispatcher.removeFromQueues(query, i);
    }
}

void FanOut::hedgeOverdue(QueryState& query, std::size_t index)
{
    ShardState& shard = query.shards[index];
    if (m_guard.isSuspect(query.fingerprint)) {
        shard.hedgeAt = kNever;
        return;
    }
    if (!shard.isOverdue) {
        shard.isOverdue = true;
        query.collection->hedges.onOverdue();
    }
    const bool hasTime = m_context.now + query.collection->latency.quantile(0.1) < query.deadline;
    if (shard.hedges >= kMaximumHedges || !hasTime) {
        shard.hedgeAt = kNever;
        return;
    }
    if (!m_dispatcher.hedge(query, index))
        shard.hedgeAt = m_context.now + kMinimumHedgeDelay;
}

void FanOut::onTimer(QueryState& query)
{
    if (m_context.now >= query.deadline) {
        finish(query);
        return;
    }
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        ShardState& shard = query.shards[i];
        if (shard.status == ShardStatus::InFlight && shard.hedgeAt <= m_context.now)
            hedgeOverdue(query, i);
        else if (shard.status == ShardStatus::AwaitingRetry && shard.retryAt <= m_context.now)
            dispatchShard(query, i);
    }
    schedule(query);
    evaluate(query);
}

void FanOut::schedule(QueryState& query)
{
    TimePoint next = query.deadline;
    if (query.targetAt > m_context.now)
        next = std::min(next, query.targetAt);
    for (const ShardState& shard : query.shards) {
        if (shard.status == ShardStatus::InFlight)
            next = std::min(next, shard.hedgeAt);
        else if (shard.status == ShardStatus::AwaitingRetry)
            next = std::min(next, shard.retryAt);
    }
    m_queries.setTimer(query, next);
}

void FanOut::evaluate(QueryState& query)
{
    if (query.isClosed) {
        if (query.openAttempts == 0)
            settleAndRemove(query);
        return;
    }
    if (!query.plan || tryRestart(query))
        return;
    continueHeld(query);
    if (query.unresolved == 0 || isPartialDue(query))
        finish(query);
}

void FanOut::dispatchQueued(Server& server)
{
    while (!server.waiting.empty() && m_dispatcher.hasCapacity(server)) {
        const WaitingShard next = *server.waiting.begin();
        QueryState* query = m_queries.find(next.query);
        if (!query) {
            server.waiting.erase(server.waiting.begin());
            continue;
        }
        m_dispatcher.removeFromQueues(*query, next.shard);
        // A subquery that cannot finish before the deadline is not sent.
        if (m_context.now + query->collection->latency.quantile(0.1) >= query->deadline) {
            markMissing(*query, next.shard, MissingShardReason::TimedOut);
            evaluate(*query);
            continue;
        }
        dispatchShard(*query, next.shard);
        const bool isQueuedAgain = query->shards[next.shard].status == ShardStatus::Waiting;
        evaluate(*query);
        if (isQueuedAgain)
            return;
    }
}

void FanOut::reassignQueued(Server& server)
{
    const std::set<WaitingShard> waiting = server.waiting;
    for (const WaitingShard& entry : waiting) {
        QueryState* query = m_queries.find(entry.query);
        if (!query || query->shards[entry.shard].status != ShardStatus::Waiting)
            continue;
        m_dispatcher.removeFromQueues(*query, entry.shard);
        dispatchShard(*query, entry.shard);
        evaluate(*query);
    }
}

} // namespace curranttrail::query
