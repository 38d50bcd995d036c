#pragma once

#include "query/dispatcher.h"

namespace curranttrail::query {

// Runs the queries in flight: pins a snapshot, dispatches the shards, hedges and retries, and ends each query with one answer
// or refusal.
class FanOut {
public:
    FanOut(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, Dispatcher& dispatcher, const RequestGuard& guard);

    // Pins a snapshot and dispatches all shards. May end the query.
    void begin(QueryState& query);
    void onTimer(QueryState& query);
    // Ends the query for a caller that has disconnected. An at-most-once request that was sent is still awaited.
    void onCallerDisconnected(QueryState& query);
    // Refuses the query with the verdict that follows from its attempts.
    void refuse(QueryState& query, RefusalReason reason, std::string message);

    // Refuses the query with the verdict on an earlier request with the same id.
    void refuseWithVerdict(QueryState& query, RefusalReason reason, Verdict verdict, std::string message);

    // Stores the result of a shard's successful attempt and abandons the other attempts.
    void completeShard(QueryState& query, std::size_t shard, AttemptId attempt, std::string payload);
    // Retries the shard after an attempt without a result, or marks it as missing.
    void onAttemptFailed(QueryState& query, std::size_t shard, AttemptId attempt, MissingShardReason reason, AttemptProgress progress);
    // Restarts or ends the query if that is due.
    void evaluate(QueryState& query);

    // Sends queued shards to a server while it has capacity.
    void dispatchQueued(Server& server);
    // Moves the shards queued at an unusable server to other servers.
    void reassignQueued(Server& server);

private:
    void dispatchShard(QueryState& query, std::size_t shard);
    // Lets a query that may end servers begin with one shard.
    void holdShards(QueryState& query);
    void hold(QueryState& query, std::size_t shard);
    // Sends the held shards once another one was answered, or gives them up if that cannot be expected.
    void continueHeld(QueryState& query);
    void releaseHeld(QueryState& query, std::size_t shard, bool maySend);
    // Returns whether a shard that may have run on a server may be sent to another one.
    bool mayRunAgain(const QueryState& query, const ShardState& shard, AttemptProgress progress) const;
    void markMissing(QueryState& query, std::size_t shard, MissingShardReason reason);
    void scheduleRetry(QueryState& query, std::size_t shard, Micros duration);
    void abandonLive(QueryState& query, std::size_t shard);
    void abandonAll(QueryState& query);
    bool mayRetry(QueryState& query, const ShardState& shard, MissingShardReason reason, AttemptProgress progress);
    bool tryRestart(QueryState& query);
    void hedgeOverdue(QueryState& query, std::size_t shard);
    void setDelays(QueryState& query);
    void schedule(QueryState& query);
    double keySpaceShare(const QueryState& query, bool doneOnly) const;
    bool isPartialDue(QueryState& query) const;
    // Returns whether the shards that are not missing can reach the class's minimum coverage.
    bool canReachCoverage(const QueryState& query) const;
    Coverage coverageOf(const QueryState& query) const;
    void finish(QueryState& query);
    // Refuses a query before anything is sent, because too few shards have a usable server.
    void refuseUnreachable(QueryState& query);
    void answer(QueryState& query, Coverage coverage);
    // Ends the query for its caller and releases its resources.
    void close(QueryState& query);
    void settleAndRemove(QueryState& query);

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    Dispatcher& m_dispatcher;
    const RequestGuard& m_guard;
};

} // namespace curranttrail::query
