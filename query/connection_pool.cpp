#include "query/connection_pool.h"

#include "query/events.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace curranttrail::query {

namespace {
    constexpr std::uint32_t kWarmConnections = 2;
    constexpr double kPeakHalfLifeMicros = 5'000'000;
    constexpr Micros kInitialReopenBackoff { 50'000 };
    constexpr std::uint32_t kMaximumDoublings = 6;
} // namespace

ConnectionPool::ConnectionPool(ReducerContext& context, Directory& directory)
    : m_context(context)
    , m_directory(directory)
{
}

void ConnectionPool::setInstances(const EntryInstancesChanged& change)
{
    m_shares.setInstances(change.self, change.instances, m_context.now);
    onLimitsChanged();
}

void ConnectionPool::onLimitsChanged()
{
    ++m_shareGeneration;
    maintain();
}

void ConnectionPool::maintain()
{
    const double elapsed = m_maintainedAt == TimePoint::min() ? 0 : static_cast<double>((m_context.now - m_maintainedAt).count());
    const double peakDecay = std::exp2(-elapsed / kPeakHalfLifeMicros);
    m_maintainedAt = m_context.now;
    if (m_shares.expire(m_context.now))
        ++m_shareGeneration;
    for (ServerId id : m_directory.serverIds())
        maintainServer(*m_directory.find(id), peakDecay);
}

void ConnectionPool::maintainServer(Server& server, double peakDecay)
{
    if (server.isLeaving()) {
        server.share = 0;
        server.shareGeneration = 0;
    } else if (server.shareGeneration != m_shareGeneration) {
        server.share = m_shares.share(server.listing.name, server.listing.connectionLimit, m_context.now);
        server.shareGeneration = m_shareGeneration;
    }
    server.busyPeak = std::max(server.busyPeak * peakDecay, static_cast<double>(server.busy));
    const std::uint32_t needed = static_cast<std::uint32_t>(std::ceil(server.busyPeak)) + 1;
    const std::uint32_t wanted = std::min(server.share, std::max(kWarmConnections, needed));
    // One surplus connection may stay idle, so that the pool does not open and close connections in turn.
    const std::uint32_t maximum = std::min(server.share, wanted + 1);
    while (server.connections() > maximum && !server.idle.empty())
        retire(server.idle.front());
    if (m_context.now < server.earliestOpenAt)
        return;
    while (server.connections() < wanted)
        open(server);
}

void ConnectionPool::open(Server& server)
{
    const ConnectionId id { ++m_lastConnection };
    m_connections.emplace(id, Connection { server.listing.server, State::Opening, {} });
    ++server.opening;
    m_context.emit(OpenConnection { id, server.listing.server });
}

void ConnectionPool::openIfNeeded(Server& server)
{
    if (server.idle.empty() && server.opening == 0 && server.connections() < server.share && m_context.now >= server.earliestOpenAt)
        open(server);
}

void ConnectionPool::probe(Server& server)
{
    if (server.opening > 0)
        return;
    if (server.connections() >= server.share && !server.idle.empty())
        retire(server.idle.front());
    if (server.connections() < server.share)
        open(server);
}

std::optional<ConnectionId> ConnectionPool::acquire(Server& server, AttemptId attempt)
{
    if (server.idle.empty())
        return std::nullopt;
    // The most recently used connection is taken, so that surplus connections stay at the front and can be closed.
    const ConnectionId id = server.idle.back();
    server.idle.pop_back();
    ++server.busy;
    server.busyPeak = std::max(server.busyPeak, static_cast<double>(server.busy));
    Connection& connection = m_connections.at(id);
    connection.state = State::Busy;
    connection.attempt = attempt;
    if (server.idle.empty())
        openIfNeeded(server);
    return id;
}

void ConnectionPool::release(ConnectionId id)
{
    const decltype(m_connections)::iterator it = m_connections.find(id);
    if (it == m_connections.end() || it->second.state != State::Busy)
        return;
    Server& server = *m_directory.find(it->second.server);
    if (server.connections() > server.share) {
        retire(id);
        return;
    }
    it->second.state = State::Idle;
    it->second.attempt = {};
    --server.busy;
    server.idle.push_back(id);
}

void ConnectionPool::removeConnection(ConnectionId id)
{
    const decltype(m_connections)::iterator it = m_connections.find(id);
    if (it == m_connections.end())
        return;
    Server& server = *m_directory.find(it->second.server);
    switch (it->second.state) {
    case State::Opening:
        --server.opening;
        break;
    case State::Idle:
        std::erase(server.idle, id);
        break;
    case State::Busy:
        --server.busy;
        break;
    }
    m_connections.erase(it);
}

void ConnectionPool::retire(ConnectionId id)
{
    if (!m_connections.contains(id))
        return;
    removeConnection(id);
    m_context.emit(CloseConnection { id });
}

Server* ConnectionPool::onOpened(ConnectionId id)
{
    const decltype(m_connections)::iterator it = m_connections.find(id);
    if (it == m_connections.end() || it->second.state != State::Opening)
        return nullptr;
    Server& server = *m_directory.find(it->second.server);
    server.openFailures = 0;
    server.reachedAt = m_context.now;
    server.earliestOpenAt = TimePoint::min();
    --server.opening;
    it->second.state = State::Idle;
    server.idle.push_back(id);
    if (server.connections() > server.share) {
        retire(id);
        return nullptr;
    }
    return &server;
}

std::optional<AttemptId> ConnectionPool::onLost(ConnectionId id)
{
    const decltype(m_connections)::iterator it = m_connections.find(id);
    if (it == m_connections.end())
        return std::nullopt;
    const Connection connection = it->second;
    Server& server = *m_directory.find(connection.server);
    removeConnection(id);
    if (connection.state == State::Opening) {
        const std::uint32_t doublings = std::min(server.openFailures, kMaximumDoublings);
        const double jitter = boost::random::uniform_real_distribution<double>(0.5, 1.0)(m_context.random);
        server.earliestOpenAt
            = m_context.now + Micros { static_cast<std::int64_t>(static_cast<double>(kInitialReopenBackoff.count() << doublings) * jitter) };
        ++server.openFailures;
        server.openFailedAt = m_context.now;
        m_context.log(events::kConnectionFailed, { { "server", server.listing.name } });
    } else if (m_context.now >= server.earliestOpenAt && server.connections() < std::min(server.share, kWarmConnections)) {
        open(server);
    }
    if (connection.state != State::Busy)
        return std::nullopt;
    return connection.attempt;
}

bool ConnectionPool::carries(ConnectionId id, AttemptId attempt) const
{
    const decltype(m_connections)::const_iterator it = m_connections.find(id);
    return it != m_connections.end() && it->second.state == State::Busy && it->second.attempt == attempt;
}

} // namespace curranttrail::query
