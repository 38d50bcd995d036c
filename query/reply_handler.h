#pragma once

#include "query/fan_out.h"

namespace curranttrail::query {

// Matches replies and ends with attempts, learns from them, and detects connections that went silent.
class ReplyHandler {
public:
    ReplyHandler(ReducerContext& context, Directory& directory, ConnectionPool& pool, QueryTable& queries, FanOut& fanOut);

    void onReplied(const SubqueryReplied& reply);
    void onEnded(const SubqueryEnded& end);
    void onConnectionLost(ConnectionId connection);
    // Closes connections that are silent or whose cancelled attempt does not end.
    void checkConnections();
    // Moves work away from a server that takes no more.
    void stopUsing(ServerId server);

private:
    // Returns the attempt if it runs on the connection.
    AttemptState* findMatchingAttempt(AttemptId attempt, ConnectionId connection);
    bool matchesAttempt(const SubqueryReplied& reply, const AttemptState& attempt) const;
    void updateStatistics(const SubqueryReplied& reply, const AttemptState& attempt, Server& server);
    void recordUsage(const AttemptState& attempt, const Server& server, std::uint64_t serverMicros, std::uint64_t bytes);
    // Takes the attempt out of the table and tells its query how it ended.
    void finishAttempt(AttemptId id, AttemptProgress progress, MissingShardReason reason, std::optional<std::string> payload);
    void finishUnanswered(AttemptId id, AttemptProgress progress);

    ReducerContext& m_context;
    Directory& m_directory;
    ConnectionPool& m_pool;
    QueryTable& m_queries;
    FanOut& m_fanOut;
};

} // namespace curranttrail::query
