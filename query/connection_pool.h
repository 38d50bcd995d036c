#pragma once

#include "policy/connection_shares.h"
#include "query/directory.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <optional>
#include <vector>

namespace curranttrail::query {

// Pool of connections to all servers, opened ahead of need within this instance's share of each server's connection limit.
class ConnectionPool {
public:
    ConnectionPool(ReducerContext& context, Directory& directory);

    void setInstances(const EntryInstancesChanged& change);
    // Recomputes the shares after the directory's connection limits have changed.
    void onLimitsChanged();
    // Opens and closes connections to reach the target number for each server. Called on changes and at intervals.
    void maintain();

    // Opens a connection to find out whether the server can be reached, in place of an idle one if the share is used up.
    void probe(Server& server);

    // Assigns an idle connection to an attempt. Returns nothing if there is none.
    std::optional<ConnectionId> acquire(Server& server, AttemptId attempt);
    // Opens another connection for waiting subqueries if none is idle or opening and the share allows it.
    void openIfNeeded(Server& server);
    // Returns a connection to the pool after its attempt has ended, or closes it if it exceeds the share.
    void release(ConnectionId connection);
    // Closes a connection that must not be used again.
    void retire(ConnectionId connection);

    // Returns the server that has gained an idle connection, or null.
    Server* onOpened(ConnectionId connection);
    // Returns the attempt that the connection carried, if any.
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
    // Incremented on each change of views or limits, so that every server's share is computed once per change.
    std::uint64_t m_shareGeneration = 1;
    boost::unordered_flat_map<ConnectionId, Connection, std::hash<ConnectionId>> m_connections;
    std::uint64_t m_lastConnection = 0;
    TimePoint m_maintainedAt = TimePoint::min();
};

} // namespace curranttrail::query
