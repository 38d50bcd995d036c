#include "query/dispatcher.h"

#include "policy/replica_choice.h"

#include <algorithm>

namespace curranttrail::query {

namespace {
    constexpr Micros kDefaultTypicalLatency { 10'000 };
    constexpr double kSlowStartPenalty = 2;

    template <typename Container, typename Value>
    bool contains(const Container& container, const Value& value)
    {
        return std::find(container.begin(), container.end(), value) != container.end();
    }

    Micros typicalLatency(const Collection& collection)
    {
        return collection.latency.weight() > 0 ? collection.latency.median() : kDefaultTypicalLatency;
    }
} // namespace

Dispatcher::Dispatcher(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, const RequestGuard& guard)
    : m_context(context)
    , m_directory(directory)
    , m_pool(pool)
    , m_queries(queries)
    , m_guard(guard)
{
}

std::uint32_t Dispatcher::capacity(const Server& server) const
{
    const double capacity = server.limit.limit() * server.health.slowStartFactor(m_context.now);
    return std::max(1U, static_cast<std::uint32_t>(capacity));
}

bool Dispatcher::hasCapacity(const Server& server, std::uint32_t extraCapacity) const
{
    return !server.isLeaving() && !server.idle.empty() && server.busy < capacity(server) + extraCapacity;
}

const std::vector<ServerId>* Dispatcher::currentHolders(QueryState& query, std::size_t index)
{
    const std::shared_ptr<const SnapshotPlan> current = m_directory.plan(*query.collection, query.plan->version);
    if (current == query.plan)
        return &current->shards[index].holders;
    if (!current)
        return nullptr;
    const ShardRange& wanted = query.plan->shards[index].shard;
    for (const PlannedShard& planned : current->shards) {
        if (planned.shard.range == wanted.range && planned.shard.shard == wanted.shard)
            return &planned.holders;
    }
    // The snapshot's ranges have changed since the query began; only the servers of its own plan are known to hold this shard.
    return &query.plan->shards[index].holders;
}

Dispatcher::Servers Dispatcher::candidates(QueryState& query, std::size_t index)
{
    const ShardState& shard = query.shards[index];
    const std::vector<ServerId>* holders = currentHolders(query, index);
    Servers best;
    if (!holders)
        return best;
    int bestTier = 4;
    for (ServerId id : *holders) {
        Server* server = m_directory.find(id);
        if (!server || server->isLeaving() || !server->isReachable() || contains(shard.withoutSnapshot, id))
            continue;
        const int tier = (contains(shard.triedServers, id) ? 2 : 0) + (server->health.isSuspended(m_context.now) ? 1 : 0);
        if (tier > bestTier)
            continue;
        if (tier < bestTier)
            best.clear();
        bestTier = tier;
        best.push_back(server);
    }
    return best;
}

Server& Dispatcher::choose(const Servers& servers, Micros typical)
{
    boost::container::small_vector<double, 8> costs;
    for (const Server* server : servers) {
        double cost = server->estimate.expectedMicros(server->busy, server->listing.slots, typical, m_context.now);
        // A stalled server sends no replies to measure; the time since its last reply is the only observation.
        if (server->busy > 0)
            cost = std::max(cost, static_cast<double>((m_context.now - server->noReplySince).count()));
        cost *= 1 + kSlowStartPenalty * (1 - server->health.slowStartFactor(m_context.now));
        costs.push_back(cost);
    }
    return *servers[policy::ReplicaChoice::choose({ costs.data(), costs.size() }, m_context.random)];
}

bool Dispatcher::dispatch(QueryState& query, std::size_t index)
{
    const Servers servers = candidates(query, index);
    if (servers.empty())
        return false;
    Servers ready;
    std::copy_if(servers.begin(), servers.end(), std::back_inserter(ready), [&](const Server* server) { return hasCapacity(*server); });
    if (ready.empty()) {
        enqueue(query, index, servers);
        return true;
    }
    send(query, index, choose(ready, typicalLatency(*query.collection)), false);
    return true;
}

bool Dispatcher::hedge(QueryState& query, std::size_t index)
{
    Servers ready;
    for (Server* server : candidates(query, index)) {
        // A server with queued shards has no spare capacity for hedges. The hedge budget bounds the additional load.
        if (hasCapacity(*server, 1) && server->waiting.empty() && !server->health.isSuspended(m_context.now))
            ready.push_back(server);
    }
    if (ready.empty() || !query.collection->hedges.tryAcquire())
        return false;
    send(query, index, choose(ready, typicalLatency(*query.collection)), true);
    return true;
}

void Dispatcher::enqueue(QueryState& query, std::size_t index, const Servers& servers)
{
    ShardState& shard = query.shards[index];
    shard.status = ShardStatus::Waiting;
    ++query.collection->waiting;
    for (Server* server : servers) {
        server->waiting.insert({ query.targetAt, query.request.query, index });
        shard.queuedAt.push_back(server->listing.server);
        m_pool.openIfNeeded(*server);
    }
}

void Dispatcher::removeFromQueues(QueryState& query, std::size_t index)
{
    ShardState& shard = query.shards[index];
    if (shard.queuedAt.empty())
        return;
    --query.collection->waiting;
    for (ServerId id : shard.queuedAt) {
        if (Server* server = m_directory.find(id))
            server->waiting.erase({ query.targetAt, query.request.query, index });
    }
    shard.queuedAt.clear();
}

void Dispatcher::send(QueryState& query, std::size_t index, Server& server, bool isHedge)
{
    ShardState& shard = query.shards[index];
    const TimePoint now = m_context.now;
    const AttemptId id = m_queries.nextAttempt();
    if (server.busy == 0)
        server.noReplySince = now;
    const ConnectionId connection = m_pool.acquire(server, id).value();
    ClassCounters& counters = *query.counters;
    ++counters.subqueries;
    if (isHedge) {
        ++shard.hedges;
        ++counters.hedges;
    } else if (shard.triedServers.empty()) {
        query.collection->hedges.onFirstAttempt();
        retryBudget(query.target().owner).onFirstAttempt();
        query.waitMicros += static_cast<double>((now - shard.readyAt).count());
        ++query.waits;
    } else {
        ++counters.retries;
    }
    shard.status = ShardStatus::InFlight;
    shard.live.push_back({ id, server.listing.server, now });
    if (!contains(shard.triedServers, server.listing.server))
        shard.triedServers.push_back(server.listing.server);
    if (query.isRepeatable() && !m_guard.isSuspect(query.fingerprint)) {
        shard.hedgeAt = now + (isHedge ? query.secondHedgeDelay : query.hedgeDelay);
        if (shard.hedgeAt < query.timerAt)
            m_queries.setTimer(query, shard.hedgeAt);
    }
    ++query.openAttempts;
    AttemptState attempt { query.request.query, index, query.planEpoch, server.listing.server, connection, query.plan->version, query.fingerprint, query.plan,
        query.collection, now, isHedge, false, {}, server.replies, query.classTarget, query.counters };
    m_queries.addAttempt(id, std::move(attempt));
    m_context.emit(SendSubquery { id, connection, server.listing.server, query.plan->version, query.plan->shards[index].shard,
        query.deadline - now, query.request.requestId, query.body });
}

void Dispatcher::abandon(QueryState& query, const ShardAttempt& live)
{
    AttemptState* attempt = m_queries.findAttempt(live.attempt);
    if (!attempt || attempt->isAbandoned)
        return;
    attempt->isAbandoned = true;
    // The outcome of an at-most-once request is awaited until its deadline even if the caller has disconnected.
    attempt->abandonedAt = query.isRepeatable() ? m_context.now : std::max(m_context.now, query.deadline);
    const Micros elapsed = m_context.now - attempt->sentAt;
    if (Server* server = m_directory.find(attempt->server)) {
        server->estimate.onAbandoned(elapsed, m_context.now);
        if (server->replies == attempt->serverRepliesBefore)
            server->health.onFailure(m_context.random, m_context.now);
    }
    // The true duration is longer, but any value above the hedge delay leaves the quantiles below it unchanged.
    if (!attempt->isHedge)
        query.collection->latency.add(elapsed);
    if (query.isRepeatable())
        m_context.emit(CancelSubquery { live.attempt, attempt->connection, attempt->server });
}

std::uint32_t Dispatcher::fewestShardSlots(const SnapshotPlan& plan) const
{
    std::uint32_t fewest = UINT32_MAX;
    for (const PlannedShard& planned : plan.shards) {
        std::uint32_t slots = 0;
        for (ServerId id : planned.holders) {
            const Server* server = m_directory.find(id);
            slots += server && !server->isLeaving() ? server->listing.slots : 0;
        }
        fewest = std::min(fewest, slots);
    }
    return plan.shards.empty() ? 0 : fewest;
}

Micros Dispatcher::predictedWait(const Collection& collection, const SnapshotPlan& plan) const
{
    if (collection.waiting == 0)
        return Micros { 0 };
    double longestWait = 0;
    for (const PlannedShard& planned : plan.shards) {
        double waiting = 0;
        double limit = 0;
        for (ServerId id : planned.holders) {
            const Server* server = m_directory.find(id);
            if (!server || server->isLeaving() || !server->isReachable())
                continue;
            // A shard is queued at each of its servers, so the longest queue counts all of its waiting subqueries.
            waiting = std::max(waiting, static_cast<double>(server->waiting.size()));
            limit += std::min(capacity(*server), std::max(1U, server->share));
        }
        if (limit > 0)
            longestWait = std::max(longestWait, waiting / limit);
    }
    return Micros { static_cast<std::int64_t>(longestWait * static_cast<double>(typicalLatency(collection).count())) };
}

} // namespace curranttrail::query
