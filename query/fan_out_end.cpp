#include "query/fan_out.h"

#include "policy/key_coverage.h"

#include <algorithm>

// The end of queries: coverage, answers, refusals and the settlement of claims.
namespace curranttrail::query {

namespace {
    // Tolerates the rounding of evenly divided ranges to whole keys.
    constexpr double kRounding = 1e-9;

    RefusalReason refusalReasonFor(const QueryState& query, const Coverage& coverage)
    {
        if (!coverage.covered.empty())
            return RefusalReason::CoverageTooLow;
        bool timedOut = false;
        bool failed = false;
        for (const MissingShard& missing : coverage.missing) {
            timedOut = timedOut || missing.reason == MissingShardReason::TimedOut;
            failed = failed || missing.reason == MissingShardReason::Failed || missing.reason == MissingShardReason::ServerEnded;
        }
        if (timedOut || query.shards.empty())
            return RefusalReason::DeadlineReached;
        return failed ? RefusalReason::ServerFailed : RefusalReason::NoServers;
    }
} // namespace

// Returns the fraction of the key space held by completed shards, or by all shards that are not missing.
double FanOut::keySpaceShare(const QueryState& query, bool doneOnly) const
{
    double share = 0;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        const ShardStatus status = query.shards[i].status;
        if (status == ShardStatus::Done || (!doneOnly && status != ShardStatus::Missing))
            share += static_cast<double>(query.plan->shards[i].shard.range.size()) / static_cast<double>(kWholeKeySpace.size());
    }
    return share;
}

// Returns whether a partial answer is due. Past the target latency, a query within the late budget keeps waiting instead.
bool FanOut::isPartialDue(QueryState& query) const
{
    if (m_context.now < query.targetAt || query.target().minimumCoverage >= 1 || query.mayExceedTarget)
        return false;
    const double covered = keySpaceShare(query, true);
    if (covered <= 0 || covered + kRounding < query.target().minimumCoverage)
        return false;
    query.mayExceedTarget = query.counters->lateBudget.tryAcquire();
    return !query.mayExceedTarget;
}

bool FanOut::canReachCoverage(const QueryState& query) const
{
    return keySpaceShare(query, false) + kRounding >= query.target().minimumCoverage;
}

Coverage FanOut::coverageOf(const QueryState& query) const
{
    Coverage result;
    policy::KeyCoverage keys;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        const ShardState& shard = query.shards[i];
        const ShardRange& range = query.plan->shards[i].shard;
        switch (shard.status) {
        case ShardStatus::Done:
            result.covered.push_back(range);
            keys.add(range.range);
            break;
        case ShardStatus::Missing:
            result.missing.push_back({ range, shard.missingReason });
            break;
        case ShardStatus::AwaitingRetry:
            result.missing.push_back({ range, shard.missingReason == MissingShardReason::SnapshotGone ? MissingShardReason::SnapshotGone : MissingShardReason::TimedOut });
            break;
        case ShardStatus::Held:
            result.missing.push_back({ range, shard.triedServers.empty() ? MissingShardReason::TimedOut : MissingShardReason::ServerEnded });
            break;
        case ShardStatus::Waiting:
        case ShardStatus::InFlight:
            result.missing.push_back({ range, MissingShardReason::TimedOut });
            break;
        }
    }
    // Gaps belong to no known shard.
    for (const KeyRange& gap : query.plan ? query.plan->gaps : std::vector<KeyRange> { kWholeKeySpace })
        result.missing.push_back({ { "", gap }, MissingShardReason::NoServer });
    result.fraction = keys.fraction();
    return result;
}

void FanOut::finish(QueryState& query)
{
    if (query.isClosed) {
        settleAndRemove(query);
        return;
    }
    if (!query.plan) {
        refuse(query, RefusalReason::DeadlineReached, "the deadline was reached before anything was sent to a backend server");
        return;
    }
    Coverage coverage = coverageOf(query);
    const bool isEnough = coverage.fraction + kRounding >= query.target().minimumCoverage && !coverage.covered.empty();
    if (isEnough) {
        answer(query, std::move(coverage));
        return;
    }
    ClassCounters& counters = *query.counters;
    ++counters.refused;
    const RefusalReason reason = refusalReasonFor(query, coverage);
    m_context.emit(SendRefusal { query.request.query, reason, query.verdict(), "the coverage at the end of the query is below the class's minimum", std::move(coverage) });
    close(query);
}

void FanOut::refuseUnreachable(QueryState& query)
{
    Coverage coverage = coverageOf(query);
    // Shards with usable servers are not missing because of a timeout, since nothing was sent to them.
    std::erase_if(coverage.missing, [](const MissingShard& missing) { return missing.reason == MissingShardReason::TimedOut; });
    const bool isNone = query.unresolved == 0;
    ++query.counters->refused;
    m_context.emit(SendRefusal { query.request.query, isNone ? RefusalReason::NoServers : RefusalReason::CoverageTooLow, query.verdict(),
        "too few shards have a usable backend server to reach the class's minimum coverage; nothing was sent", std::move(coverage) });
    close(query);
}

void FanOut::answer(QueryState& query, Coverage coverage)
{
    ClassCounters& counters = *query.counters;
    ++counters.answered;
    counters.lateBudget.onEnded(query.target().percentile);
    counters.partial += coverage.missing.empty() ? 0 : 1;
    counters.withinTarget += m_context.now - query.arrivedAt <= query.target().latency ? 1 : 0;
    std::vector<ShardResult> results;
    results.reserve(coverage.covered.size());
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        if (query.shards[i].status == ShardStatus::Done)
            results.push_back({ query.plan->shards[i].shard, std::move(query.shards[i].payload) });
    }
    m_context.emit(SendAnswer { query.request.query, query.collection->name, query.plan->version, std::move(coverage), std::move(results) });
    close(query);
}

void FanOut::refuse(QueryState& query, RefusalReason reason, std::string message)
{
    refuseWithVerdict(query, reason, query.verdict(), std::move(message));
}

void FanOut::refuseWithVerdict(QueryState& query, RefusalReason reason, Verdict verdict, std::string message)
{
    ++query.counters->refused;
    m_context.emit(SendRefusal { query.request.query, reason, verdict, std::move(message), std::nullopt });
    close(query);
}

void FanOut::onCallerDisconnected(QueryState& query)
{
    if (query.isClosed)
        return;
    close(query);
}

void FanOut::close(QueryState& query)
{
    const Micros meanWait { query.waits > 0 ? static_cast<std::int64_t>(query.waitMicros / query.waits) : 0 };
    const bool hadReplies = std::find(query.ended.begin(), query.ended.end(), AttemptProgress::Replied) != query.ended.end();
    query.collection->admission.onEnded(query.target(), meanWait, hadReplies, m_context.now);
    abandonAll(query);
    query.isClosed = true;
    // The claim of an at-most-once request is settled when its attempts have ended. ReplyHandler::checkConnections() bounds
    // that time.
    if (query.claim == ClaimState::Granted && query.openAttempts > 0) {
        m_queries.setTimer(query, kNever);
        return;
    }
    settleAndRemove(query);
}

void FanOut::settleAndRemove(QueryState& query)
{
    if (query.claim == ClaimState::Granted)
        m_context.emit(SettleClaim { query.target().owner, *query.request.requestId, query.verdict(), query.request.query });
    for (const Usage& usage : query.usage)
        m_context.emit(RecordUsage { query.request.query, usage });
    m_queries.remove(query.request.query);
}

} // namespace curranttrail::query
