#include "routing/router.h"

#include "routing/events.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace curranttrail::routing {

namespace {
    // An attempt or a connection that has had no result for this time while nothing else succeeded counts as unreached.
    constexpr Micros kUnreachedDelay { 400'000 };
    // Interval at which a connection to a server is opened without a relay while this instance is cut off.
    constexpr Micros kProbeInterval { 400'000 };
    // Servers that are probed before this instance counts as cut off.
    constexpr unsigned kProbes = 3;
} // namespace

void Router::on(const RelaysChanged& event)
{
    m_relays.set(event.relays);
    std::vector<ConnectionId> idle;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isOpen && !connection.attempt && hasRelayLeft(connection))
            idle.push_back(id);
    }
    for (const ConnectionId id : idle)
        closeConnection(id);
}

// Returns whether the entry instance through which the connection leads no longer relays. It is about to stop, and would cut off requests.
bool Router::hasRelayLeft(const Connection& connection) const
{
    return !connection.relay.empty() && !m_relays.contains(connection.relay);
}

// A server replied on a connection without a relay, or accepted one.
void Router::recordReached(bool hasOpened)
{
    const bool wasRelaying = isRelaying();
    const TimePoint last = m_reach.lastReached();
    m_reach.recordReached(m_now);
    if (hasOpened)
        m_openings.recordReached(m_now);
    if (!wasRelaying || isRelaying())
        return;
    log(events::kServersReachedAgain, { { "cut_off_us", fmt::to_string((m_now - last).count()) } });
    std::vector<ConnectionId> idle;
    for (const auto& [id, connection] : m_connections) {
        if (connection.isOpen && !connection.attempt && !connection.relay.empty())
            idle.push_back(id);
    }
    for (const ConnectionId id : idle)
        closeConnection(id);
    warmConnections();
}

void Router::checkReach()
{
    if (m_reach.isDoubtful(m_now)) {
        for (const auto& [id, attempt] : m_attempts) {
            if (attempt.connection && m_now - attempt.sentAt >= kUnreachedDelay && m_connections.at(*attempt.connection).relay.empty())
                m_reach.recordUnreached(attempt.server->record.instance);
        }
    }
    for (const auto& [id, connection] : m_connections) {
        if (!connection.isOpen && m_now - connection.stateChangedAt >= kUnreachedDelay && connection.relay.empty())
            recordNotOpened(*connection.server);
    }
    const bool probesReach = m_reach.beginProbing(m_now);
    const bool probesOpenings = m_openings.beginProbing(m_now);
    for (unsigned n = probesReach || probesOpenings ? kProbes : 0; n > 0; --n)
        probeDirectly();
    const bool wasRelaying = isRelaying();
    const bool hasLostReach = m_reach.endProbing(m_now);
    const bool hasLostOpenings = m_openings.endProbing(m_now);
    if (!wasRelaying && isRelaying())
        logUnreachable();
    if (hasLostReach || hasLostOpenings)
        beginRelaying();
    if (isRelaying() && m_now >= m_nextProbe) {
        m_nextProbe = m_now + kProbeInterval;
        probeDirectly();
    }
}

// A connection to the server was refused, or does not open.
void Router::recordNotOpened(const Server& server)
{
    m_reach.recordUnreached(server.record.instance);
    m_openings.recordUnreached(server.record.instance);
}

void Router::logUnreachable()
{
    const policy::ServerReach& lost = m_reach.isCutOff() ? m_reach : m_openings;
    log(events::kServersUnreachable, { { "servers", fmt::to_string(lost.unreached()) }, { "last_reached_us", fmt::to_string((m_now - m_reach.lastReached()).count()) }, { "last_opened_us", fmt::to_string((m_now - m_openings.lastReached()).count()) } });
}

// Opens connections through relays from now on. Those without a relay are given up, except those that still wait for a reply, and those
// that are open if servers still reply on such connections.
void Router::beginRelaying()
{
    std::vector<ConnectionId> useless;
    for (const auto& [id, connection] : m_connections) {
        if (!connection.attempt && connection.relay.empty() && (m_reach.isCutOff() || !connection.isOpen))
            useless.push_back(id);
    }
    for (const ConnectionId id : useless)
        closeConnection(id);
    // The refusals may be those of the cut.
    for (auto& [instance, check] : m_endChecks)
        check.isRefused = false;
    for (const auto& [instance, server] : m_servers.all()) {
        server->earliestConnectAt = std::min(server->earliestConnectAt, m_now);
        if (!server->waiting.empty() && server->canOpenConnection(m_now))
            openConnection(*server);
    }
    m_nextProbe = m_now + kProbeInterval;
    warmConnections();
}

// Opens a connection without a relay, so that the begin and the end of a cut are noticed without a request at risk. Servers that have not
// failed come first.
void Router::probeDirectly()
{
    std::vector<Server*> candidates;
    for (const auto& [instance, server] : m_servers.all()) {
        if (server->acceptsWork() && (server->connections < server->connectionQuota || !server->idle.empty()))
            candidates.push_back(server.get());
    }
    if (candidates.empty())
        return;
    const auto intactEnd = std::partition(candidates.begin(), candidates.end(), [this](const Server* server) { return !m_reach.wasUnreached(server->record.instance) && !m_openings.wasUnreached(server->record.instance); });
    const auto count = intactEnd == candidates.begin() ? candidates.size() : static_cast<std::size_t>(intactEnd - candidates.begin());
    Server& server = *candidates[boost::random::uniform_int_distribution<std::size_t>(0, count - 1)(m_random)];
    if (server.connections >= server.connectionQuota)
        closeConnection(server.idle.front());
    m_connections.at(openConnection(server, nullptr)).isProbe = true;
}

bool Router::canRelayTo(const std::string& address) const
{
    return !isRelaying() && std::any_of(m_servers.all().begin(), m_servers.all().end(), [&](const auto& entry) { return entry.second->record.address == address && !entry.second->saysLeaving && !entry.second->isEvacuated; });
}

// A relay could not be reached, or refused to open the connection. That says nothing about the server.
void Router::relayFailed(const Connection& connection, std::string_view reason)
{
    m_relays.recordFailure(connection.relay, m_now);
    log(events::kRelayFailed, { { "relay", connection.relay }, { "server", connection.server->record.instance }, { "reason", std::string { reason } } });
    Server& server = *connection.server;
    if (server.connections > 0)
        return;
    if (!server.waiting.empty() && server.canOpenConnection(m_now))
        openConnection(server);
    else
        failWaiting(server);
}

} // namespace curranttrail::routing
