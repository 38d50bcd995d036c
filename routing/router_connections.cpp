#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::routing {

namespace {
    // Delay before a failed connection is opened again.
    constexpr Micros kReconnectDelay { 200'000 };
    // An unused connection that is closed within this time was rejected. Retries are randomised so that instances do not collide.
    constexpr Micros kRejectionWindow { 500'000 };
    constexpr Micros kMinimumRejectionBackoff { 1'000'000 };
    constexpr Micros kMaximumRejectionBackoff { 4'000'000 };
    constexpr Micros kConnectTimeout { 1'000'000 };
    // Idle connections to servers whose limit all instances share are closed after this time, and after the shorter one if this
    // instance holds more than its share.
    constexpr Micros kSharedIdleTime { 3'000'000 };
    constexpr Micros kExcessIdleTime { 250'000 };
    // For this time after a server has reset a new connection, others to it are used only once they have lasted for the probation,
    // which exceeds the round trip between data centres. A request on a connection that is reset may have run.
    constexpr Micros kRejectionMemory { 5'000'000 };
    constexpr Micros kConnectionProbation { 4'000 };
    // A new connection that is reset so soon after its first request was rejected.
    constexpr Micros kRejectionDelay { 10'000 };
    // Connections opened ahead of need per sweep, so that they are not all opened at once after a start.
    constexpr std::size_t kMaximumOpenedPerSweep = 16;
} // namespace

void Router::on(const ConnectionOpened& event)
{
    const auto it = m_connections.find(event.connection);
    if (it == m_connections.end() || it->second.isOpen)
        return;
    Server& server = *it->second.server;
    TimePoint& reachedAt = m_reachedAt[server.record.dataCentre];
    reachedAt = std::max(reachedAt, it->second.stateChangedAt);
    const InstanceName relay = it->second.relay;
    it->second.isOpen = true;
    it->second.stateChangedAt = m_now;
    --server.opening;
    server.openingSince = server.opening > 0 ? server.openingSince : kNever;
    setUnverified(server, false, "a connection opened");
    if (relay.empty())
        recordReached(true);
    else
        m_relays.recordSuccess(relay, m_now);
    if (server.isBeingChecked)
        finishEndCheck(server, EndVerdict::Running);
    if (server.lastRejectionAt != TimePoint::min() && m_now - server.lastRejectionAt < kRejectionMemory)
        m_connectionsOnProbation.push_back({ m_now + kConnectionProbation, event.connection });
    else
        addIdleConnection(event.connection);
}

void Router::addIdleConnection(ConnectionId id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    Server& server = *it->second.server;
    if (!server.acceptsWork()) {
        closeConnection(id);
        return;
    }
    server.idle.push_back(id);
    dispatchWaiting(server);
}

// Recognises a server at its connection limit by an attempt whose new connection was reset at once.
void Router::noteRejection(const Attempt& attempt)
{
    const TimePoint openedAt = m_connections.at(*attempt.connection).stateChangedAt;
    if (attempt.sentAt - openedAt < kRejectionDelay && m_now - attempt.sentAt < kRejectionDelay)
        attempt.server->lastRejectionAt = m_now;
}

void Router::on(const ConnectionLost& event)
{
    const auto it = m_connections.find(event.connection);
    if (it == m_connections.end())
        return;
    if (it->second.attempt) {
        on(AttemptConnectionLost { *it->second.attempt, event.reason });
        return;
    }
    Server& server = *it->second.server;
    const bool opening = !it->second.isOpen;
    // A server at its connection limit accepts a connection and resets it at once.
    const bool rejected = !opening && !it->second.wasUsed && m_now - it->second.stateChangedAt < kRejectionWindow;
    const Connection connection = it->second;
    dropConnection(event.connection);
    if (event.isRelayFault) {
        relayFailed(connection, event.reason);
        return;
    }
    if (connection.relay.empty() && opening)
        recordNotOpened(server);
    else if (connection.relay.empty() && !rejected)
        m_reach.recordUnreached(server.record.instance);
    if (connection.isProbe) {
        if (server.connections == 0)
            failWaiting(server);
        return;
    }
    if (rejected) {
        server.lastRejectionAt = m_now;
        server.earliestConnectAt = m_now + randomDelay(kMinimumRejectionBackoff, kMaximumRejectionBackoff);
        if (server.connections == 0)
            failWaiting(server);
    }
    if (const auto check = m_endChecks.find(server.record.instance); check != m_endChecks.end()) {
        check->second.isRefused = check->second.isRefused || opening;
        if (!opening && server.connections == 0)
            openConnection(server);
    }
    if (!opening)
        return;
    server.earliestConnectAt = m_now + kReconnectDelay;
    setUnverified(server, true, event.reason);
    if (server.connections == 0)
        failWaiting(server);
}

void Router::setUnverified(Server& server, bool isUnverified, std::string_view reason)
{
    if (std::exchange(server.isUnverified, isUnverified) != isUnverified)
        log(isUnverified ? events::kServerUnverified : events::kServerVerified, { { "server", server.record.instance }, { "collection", server.record.collection }, { "open", fmt::to_string(server.connections - server.opening) }, { "reason", std::string { reason } } });
}

// Gives up the connections that have been opening for too long.
void Router::closeLateConnections()
{
    std::vector<ConnectionId> late;
    for (const auto& [id, connection] : m_connections) {
        if (!connection.isOpen && m_now - connection.stateChangedAt >= kConnectTimeout)
            late.push_back(id);
    }
    for (const ConnectionId id : late) {
        m_effects.emplace_back(CloseConnection { id });
        on(ConnectionLost { id, "connection attempt timed out", !m_connections.at(id).relay.empty() });
    }
}

void Router::endProbations()
{
    while (!m_connectionsOnProbation.empty() && m_connectionsOnProbation.front().until <= m_now) {
        const ConnectionId connection = m_connectionsOnProbation.front().connection;
        m_connectionsOnProbation.pop_front();
        addIdleConnection(connection);
    }
}

void Router::closeSharedIdleConnections()
{
    // Idle connections of each collection, the one that has been idle for the shortest time first.
    std::map<CollectionName, std::vector<std::pair<Micros, ConnectionId>>> idle;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isOpen && !connection.attempt && connection.server->idleConnectionLimit)
            idle[connection.server->record.collection].emplace_back(std::chrono::duration_cast<Micros>(m_now - connection.stateChangedAt), id);
    }
    for (auto& [collection, connections] : idle) {
        const std::size_t limit = *m_connections.at(connections.front().second).server->idleConnectionLimit;
        std::sort(connections.begin(), connections.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (std::size_t n = 0; n < connections.size(); ++n) {
            if (connections[n].first >= (n < limit ? kSharedIdleTime : kExcessIdleTime))
                closeConnection(connections[n].second);
        }
    }
}

// Closes idle connections that were borrowed at home, or that are beyond a planned quota that has shrunk: other instances may use that room
// already. Those to servers for which nothing is planned are closed by their idle time.
void Router::closeConnectionsBeyondPlan()
{
    for (const auto& [instance, server] : m_servers.all()) {
        while (server->isPlanned && server->connections > std::max(1U, server->plannedQuota) && !server->idle.empty())
            closeConnection(server->idle.front());
    }
}

// Closes the connection of an abandoned attempt that got no reply. If the server has not replied to anything since the attempt was
// sent, its other connections are likely to be silent too.
void Router::closeSilentConnection(const Attempt& attempt)
{
    Server& server = *attempt.server;
    const bool isSilent = server.lastReply < attempt.sentAt;
    const InstanceName relay = m_connections.at(*attempt.connection).relay;
    if (relay.empty())
        m_reach.recordUnreached(server.record.instance);
    else
        m_relays.recordSilence(relay, attempt.sentAt, m_now);
    recordServerFailure(server, "no reply to an abandoned attempt");
    recordAbandonedAttempt(attempt);
    const ConnectionId connection = *attempt.connection;
    closeConnection(connection);
    if (!isSilent)
        return;
    for (const ConnectionId idle : std::vector<ConnectionId>(server.idle))
        closeConnection(idle);
    setUnverified(server, true, "no reply to an abandoned attempt");
}

// Keeps one connection open to each eligible server, so that requests do not wait for a connection. A server that was silent is
// tried by a connection, not by a request.
void Router::warmConnections()
{
    if (!m_table)
        return;
    std::size_t opened = 0;
    for (const auto& [instance, server] : m_servers.all()) {
        if (server->connections > 0 || !server->canOpenConnection(m_now))
            continue;
        if (!server->isUnverified && (!server->keepsWarmConnection || server->health.isSuspended(m_now)))
            continue;
        openConnection(*server);
        if (++opened == kMaximumOpenedPerSweep)
            return;
    }
}

ConnectionId Router::openConnection(Server& server)
{
    return openConnection(server, isRelaying() ? m_relays.choose(m_random, m_now) : nullptr);
}

ConnectionId Router::openConnection(Server& server, const policy::Relay* relay)
{
    const ConnectionId id { ++m_lastConnection };
    m_connections[id] = { &server, false, std::nullopt, m_now, false, relay ? relay->name : InstanceName {} };
    m_counters.connectionsRelayed += relay ? 1 : 0;
    ++server.connections;
    if (++server.opening == 1)
        server.openingSince = m_now;
    ++m_counters.connectionsOpened;
    m_effects.emplace_back(OpenConnection { id, server.record.address, relay ? relay->address : std::string {} });
    return id;
}

// Removes a closed connection from the tables.
void Router::dropConnection(ConnectionId id)
{
    const auto it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    Server& server = *it->second.server;
    std::erase(server.idle, id);
    if (!it->second.isOpen && --server.opening == 0)
        server.openingSince = kNever;
    --server.connections;
    if (it->second.attempt) {
        server.unanswered.erase(*it->second.attempt);
        m_attempts.erase(*it->second.attempt);
    }
    m_connections.erase(it);
}

void Router::closeConnection(ConnectionId id)
{
    m_effects.emplace_back(CloseConnection { id });
    dropConnection(id);
}

// Fails the attempts that wait for a connection. None of them was sent, so another server may get them at no cost to the budget.
void Router::failWaiting(Server& server)
{
    for (const AttemptId id : std::exchange(server.waiting, {})) {
        const auto it = m_attempts.find(id);
        if (it == m_attempts.end())
            continue;
        const Attempt attempt = it->second;
        releaseToken(attempt);
        m_attempts.erase(it);
        attemptFailed(attempt.request, attempt.part, &server, AttemptProgress::NotSent, "server has no usable connection");
    }
}

} // namespace curranttrail::routing
