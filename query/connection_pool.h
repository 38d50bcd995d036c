#pragma once

#include "policy/connection_shares.h"
#include "query/directory.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <vector>

namespace curranttrail::query {

// The connections to all servers: opened ahead of need, within this instance's share of each server's limit.
class ConnectionPool {
public:
    ConnectionPool(ReducerContext& context, Directory& directory);

    void setInstances(const EntryInstancesChanged& change);
    // Takes changed connection limits from the directory.
    void onLimitsChanged();
    // Brings the connections of all servers to their wanted number. Called on changes and at intervals.
    void maintain();

    // Takes an idle connection for one attempt, or nothing if there is none.
    std::optional<ConnectionId> acquire(Server& server, AttemptId attempt);
    // Opens another connection for work that waits, if the share allows it.
    void openIfNeeded(Server& server);
    // Returns a connection whose attempt has ended to the pool, or closes it when the share has shrunk.
    void release(ConnectionId connection);
    // Closes a connection that may not be used again.
    void retire(ConnectionId connection);

    // Returns the server that gained an idle connection.
    Server* onOpened(ConnectionId connection);
    // Returns the attempt that the connection carried.
    std::optional<AttemptId> onLost(ConnectionId connection);
    // Returns whether the connection carries the attempt.
    bool carries(ConnectionId connection, AttemptId attempt) const;

    std::uint32_t instanceCount() const { return m_shares.instanceCount(); }
    std::size_t size() const { return m_connections.size(); }

private:
    enum class State {
        Opening,
        Idle,
        Busy,
    };

    struct Connection {
        ServerId server;
        State state = State::Opening;
        AttemptId attempt;
    };

    void open(Server& server);
    void maintainServer(Server& server, double peakDecay);
    void removeConnection(ConnectionId connection);

    ReducerContext& m_context;
    Directory& m_directory;
    policy::ConnectionShares m_shares;
    // Counts the changes of views and limits, so that shares are computed once for each.
    std::uint64_t m_shareGeneration = 1;
    boost::unordered_flat_map<ConnectionId, Connection, std::hash<ConnectionId>> m_connections;
    std::uint64_t m_lastConnection = 0;
    TimePoint m_maintainedAt = TimePoint::min();
};

} // namespace curranttrail::query
