#pragma once

#include "policy/retry_budget.h"
#include "query/connection_pool.h"
#include "query/query_table.h"

#include <boost/container/small_vector.hpp>

#include <map>

namespace curranttrail::query {

// Chooses servers for the shards of queries, sends attempts, and keeps the shards that wait for a free place.
class Dispatcher {
public:
    Dispatcher(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries);

    // Returns whether any server can take the shard, now or after a wait.
    bool canServe(QueryState& query, std::size_t shard) { return !candidates(query, shard).empty(); }
    // Sends the shard's next attempt or lets it wait for a place. Returns false if no server can take it.
    bool dispatch(QueryState& query, std::size_t shard);
    // Sends a hedge if a server has a free place and the budget allows it. Returns whether it was sent.
    bool hedge(QueryState& query, std::size_t shard);
    // Takes the shard out of the queues it waits in.
    void removeFromQueues(QueryState& query, std::size_t shard);
    // Gives up a live attempt. A request that must run once is left to finish, so that its outcome becomes known.
    void abandon(QueryState& query, const ShardAttempt& attempt);

    bool hasCapacity(const Server& server, std::uint32_t extraCapacity = 0) const;
    // Returns how long a new subquery of the busiest shard would wait in this instance.
    Micros predictedWait(const Collection& collection, const SnapshotPlan& plan) const;
    // Returns the slots of the shard that has the fewest.
    std::uint32_t fewestShardSlots(const SnapshotPlan& plan) const;
    policy::RetryBudget& retryBudget(const OwnerName& owner) { return m_retryBudgets[owner]; }

private:
    using Servers = boost::container::small_vector<Server*, 8>;

    const std::vector<ServerId>* currentHolders(QueryState& query, std::size_t shard);
    // Collects the servers to ask, preferring those not yet asked and not suspended.
    Servers candidates(QueryState& query, std::size_t shard);
    Server& choose(const Servers& servers, Micros typical);
    void send(QueryState& query, std::size_t shard, Server& server, bool isHedge);
    void enqueue(QueryState& query, std::size_t shard, const Servers& servers);
    std::uint32_t capacity(const Server& server) const;

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    std::map<OwnerName, policy::RetryBudget> m_retryBudgets;
};

} // namespace curranttrail::query
