#pragma once

#include "query/dispatcher.h"

namespace curranttrail::query {

// Runs the queries in flight: pins the snapshot, starts the shards, hedges and retries, and ends each query with one answer or refusal.
class FanOut {
public:
    FanOut(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, Dispatcher& dispatcher);

    // Pins a snapshot and sends what can be sent. May end the query.
    void begin(QueryState& query);
    void onTimer(QueryState& query);
    // The caller is gone; a request that must run once goes on if it was sent.
    void onCallerGone(QueryState& query);
    // Ends the query with a refusal whose verdict follows from its attempts.
    void refuse(QueryState& query, RefusalReason reason, std::string message);

    // Ends the query with a verdict on an earlier request of the same id.
    void refuseWithVerdict(QueryState& query, RefusalReason reason, Verdict verdict, std::string message);

    // A shard's attempt succeeded, and its result is merged.
    void completeShard(QueryState& query, std::size_t shard, AttemptId attempt, std::string payload);
    // A shard's attempt ended without a result.
    void onAttemptFailed(QueryState& query, std::size_t shard, AttemptId attempt, MissingShardReason reason, AttemptProgress progress);
    // Ends the query if nothing more is to be awaited.
    void evaluate(QueryState& query);

    // Sends waiting work to a server with free places.
    void dispatchQueued(Server& server);
    // Moves the work that waits for a server elsewhere, because the server takes none.
    void reassignQueued(Server& server);

private:
    void dispatchShard(QueryState& query, std::size_t shard);
    void markMissing(QueryState& query, std::size_t shard, MissingShardReason reason);
    void scheduleRetry(QueryState& query, std::size_t shard, Micros duration);
    void abandonLive(QueryState& query, std::size_t shard);
    void abandonAll(QueryState& query);
    bool mayRetry(QueryState& query, const ShardState& shard, MissingShardReason reason, AttemptProgress progress);
    bool tryRestart(QueryState& query);
    void hedgeOverdue(QueryState& query, std::size_t shard);
    void setDelays(QueryState& query);
    void schedule(QueryState& query);
    double keySpaceShare(const QueryState& query, bool isDoneOnly) const;
    bool isPartialDue(QueryState& query) const;
    // Returns whether the shards that are not lacking are enough for the class.
    bool canReachCoverage(const QueryState& query) const;
    Coverage coverageOf(const QueryState& query) const;
    void finish(QueryState& query);
    // Refuses a query before any work because too few shards have a server.
    void refuseUnreachable(QueryState& query);
    void answer(QueryState& query, Coverage coverage);
    // Ends the query for its caller and releases what it holds.
    void close(QueryState& query);
    void settleAndRemove(QueryState& query);

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    Dispatcher& m_dispatcher;
};

} // namespace curranttrail::query
