#include "query/fan_out.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <vector>

// Queries that may end the servers that run them.
namespace curranttrail::query {

void FanOut::holdShards(QueryState& query)
{
    if (!m_guard.isSuspect(query.fingerprint))
        return;
    std::vector<std::size_t> waiting;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        if (query.shards[i].status == ShardStatus::Waiting)
            waiting.push_back(i);
    }
    if (waiting.size() < 2)
        return;
    const std::size_t first = waiting[boost::random::uniform_int_distribution<std::size_t>(0, waiting.size() - 1)(m_context.random)];
    for (const std::size_t index : waiting) {
        if (index != first)
            hold(query, index);
    }
}

void FanOut::hold(QueryState& query, std::size_t index)
{
    query.shards[index].status = ShardStatus::Held;
    ++query.held;
}

void FanOut::continueHeld(QueryState& query)
{
    if (query.held == 0)
        return;
    bool wasAnswered = false;
    bool isAnyActive = false;
    bool hasServerEnded = false;
    std::vector<std::size_t> held;
    for (std::size_t i = 0; i < query.shards.size(); ++i) {
        const ShardState& shard = query.shards[i];
        wasAnswered = wasAnswered || shard.status == ShardStatus::Done;
        isAnyActive = isAnyActive || shard.status == ShardStatus::Waiting || shard.status == ShardStatus::AwaitingRetry || shard.status == ShardStatus::InFlight;
        if (shard.status != ShardStatus::Held)
            continue;
        held.push_back(i);
        hasServerEnded = hasServerEnded || !shard.triedServers.empty();
    }
    if (!wasAnswered && isAnyActive)
        return;
    // The shard that was sent first failed for another reason, so that nothing is known yet.
    if (!wasAnswered && !hasServerEnded)
        held.resize(1);
    for (const std::size_t index : held)
        releaseHeld(query, index, wasAnswered || !hasServerEnded);
    schedule(query);
}

void FanOut::releaseHeld(QueryState& query, std::size_t index, bool maySend)
{
    ShardState& shard = query.shards[index];
    --query.held;
    const bool wasTried = !shard.triedServers.empty();
    shard.isEndExplained = maySend;
    if (!maySend || (wasTried && !mayRetry(query, shard, MissingShardReason::ServerEnded, AttemptProgress::Unknown))) {
        markMissing(query, index, MissingShardReason::ServerEnded);
        return;
    }
    if (wasTried)
        ++shard.retries;
    shard.status = ShardStatus::Waiting;
    dispatchShard(query, index);
}

bool FanOut::mayRunAgain(const QueryState& query, const ShardState& shard, AttemptProgress progress) const
{
    const std::array<AttemptProgress, 1> attempts { progress };
    return verdictOf(attempts) == Verdict::NotRun || shard.isEndExplained || !m_guard.isSuspect(query.fingerprint);
}

} // namespace curranttrail::query
