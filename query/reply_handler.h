#pragma once

#include "query/end_checks.h"
#include "query/fan_out.h"

namespace curranttrail::query {

// Matches replies to attempts, updates the servers' statistics, and detects silent connections.
class ReplyHandler {
public:
    ReplyHandler(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, FanOut& fanOut, RequestGuard& guard, EndChecks& ends);

    void onReplied(const SubqueryReplied& reply);
    void onEnded(const SubqueryEnded& end);
    void onConnectionLost(ConnectionId connection);
    // Closes connections that are silent or whose cancelled attempt has not ended in time.
    void checkConnections();
    // Goes on with the attempts of which it is now known whether their servers ended.
    void finishEndChecks();
    std::uint64_t serversEnded() const { return m_serversEnded; }
    // Moves queued shards away from a server that accepts no new work.
    void stopUsing(ServerId server);

private:
    // Returns the attempt if it is in flight on the connection, else logs a stray reply and returns null.
    AttemptState* findMatchingAttempt(AttemptId attempt, ConnectionId connection);
    bool matchesAttempt(const SubqueryReplied& reply, const AttemptState& attempt) const;
    void updateStatistics(const SubqueryReplied& reply, const AttemptState& attempt, Server& server);
    void recordUsage(const AttemptState& attempt, const Server& server, std::uint64_t serverMicros, std::uint64_t bytes);
    // Removes the attempt and passes its outcome to its query.
    void finishAttempt(AttemptId id, AttemptProgress progress, MissingShardReason reason, std::optional<std::string> payload);
    void finishUnanswered(AttemptId id, AttemptProgress progress);

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    FanOut& m_fanOut;
    RequestGuard& m_guard;
    EndChecks& m_ends;
    std::uint64_t m_serversEnded = 0;
};

} // namespace curranttrail::query
