#pragma once

#include "policy/retry_budget.h"
#include "query/connection_pool.h"
#include "query/query_table.h"
#include "query/request_guard.h"

#include <boost/container/small_vector.hpp>

#include <map>

namespace curranttrail::query {

// Chooses servers for the shards of queries, sends attempts, and queues shards while their servers have no capacity.
class Dispatcher {
public:
    Dispatcher(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, const RequestGuard& guard);

    // Returns whether any server can take the shard, at once or after queueing.
    bool canServe(QueryState& query, std::size_t shard) { return !candidates(query, shard).empty(); }
    // Sends the shard's next attempt, or queues the shard. Returns false if no server can take it.
    bool dispatch(QueryState& query, std::size_t shard);
    // Sends a hedge if a server has capacity and the hedge budget allows it. Returns whether it was sent.
    bool hedge(QueryState& query, std::size_t shard);
    // Removes the shard from all queues.
    void removeFromQueues(QueryState& query, std::size_t shard);
    // Abandons a live attempt. An at-most-once request is not cancelled, so that its outcome becomes known.
    void abandon(QueryState& query, const ShardAttempt& attempt);

    // Returns whether the server has an idle connection and fewer attempts in flight than its limit plus the extra capacity.
    bool hasCapacity(const Server& server, std::uint32_t extraCapacity = 0) const;
    // Returns the expected queueing time in this instance for a new subquery of the busiest shard.
    Micros predictedWait(const Collection& collection, const SnapshotPlan& plan) const;
    // Returns the total slots of the shard that has the fewest.
    std::uint32_t fewestShardSlots(const SnapshotPlan& plan) const;
    policy::RetryBudget& retryBudget(const OwnerName& owner) { return m_retryBudgets[owner]; }

private:
    using Servers = boost::container::small_vector<Server*, 8>;

    // Returns the servers that currently hold the shard of the query's plan, or null if no usable server holds the
    // snapshot any more.
    const std::vector<ServerId>* currentHolders(QueryState& query, std::size_t shard);
    // Returns the usable servers of the best tier: untried servers before tried ones, then those not suspended.
    Servers candidates(QueryState& query, std::size_t shard);
    Server& choose(const Servers& servers, Micros typical);
    void send(QueryState& query, std::size_t shard, Server& server, bool isHedge);
    void enqueue(QueryState& query, std::size_t shard, const Servers& servers);
    std::uint32_t capacity(const Server& server) const;

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    const RequestGuard& m_guard;
    std::map<OwnerName, policy::RetryBudget> m_retryBudgets;
};

} // namespace curranttrail::query
