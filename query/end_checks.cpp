#include "query/end_checks.h"

#include <algorithm>
#include <utility>

namespace curranttrail::query {

namespace {
    // A server that ends closes all its connections at the same moment. One that is still open after this time shows that it runs.
    constexpr Micros kRemainingConnectionDelay { 3'000 };
    // Time for a connection to the server and to another one beside it to open or to fail.
    constexpr Micros kTimeout { 150'000 };
}

EndChecks::EndChecks(ReducerContext& context, Directory& directory, ConnectionPool& pool)
    : m_context(context)
    , m_directory(directory)
    , m_pool(pool)
{
}

void EndChecks::begin(Server& server, LostAttempt lost)
{
    const auto [it, isNew] = m_checks.try_emplace(server.listing.server);
    it->second.attempts.push_back(lost);
    if (!isNew)
        return;
    it->second.lostAt = m_context.now;
    m_pool.probe(server);
    it->second.probed = probeBeside(server);
}

bool EndChecks::isPending(AttemptId attempt) const
{
    return std::any_of(m_checks.begin(), m_checks.end(), [attempt](const auto& entry) {
        return std::any_of(entry.second.attempts.begin(), entry.second.attempts.end(), [attempt](const LostAttempt& lost) { return lost.attempt == attempt; });
    });
}

// Returns whether the server can tell that the one that may have ended is not just cut off with all others.
bool EndChecks::isNeighbour(const Server& server, const Server& ended) const
{
    return &server != &ended && !server.isLeaving() && !m_checks.contains(server.listing.server) && server.listing.dataCentre == ended.listing.dataCentre;
}

EndChecks::State EndChecks::stateOf(const Server& server, const Check& check) const
{
    const bool isAnyOpen = server.connections() > server.opening;
    if (isAnyOpen && m_context.now >= check.lostAt + kRemainingConnectionDelay)
        return State::Running;
    if (!isAnyOpen && server.openFailedAt >= check.lostAt) {
        bool hasNeighbour = false;
        bool isAnyReached = false;
        for (const ServerId id : m_directory.serverIds()) {
            const Server& other = *m_directory.find(id);
            const bool isReached = &other != &server && other.reachedAt >= check.lostAt;
            isAnyReached = isAnyReached || isReached;
            if (!isNeighbour(other, server))
                continue;
            if (isReached)
                return State::Ended;
            hasNeighbour = true;
        }
        if (!hasNeighbour && isAnyReached)
            return State::Ended;
    }
    return m_context.now >= check.lostAt + kTimeout ? State::Unknown : State::Pending;
}

// Opens a connection to a server of the same data centre, or of any if there is no other.
std::optional<ServerId> EndChecks::probeBeside(const Server& ended)
{
    Server* candidate = nullptr;
    for (const ServerId id : m_directory.serverIds()) {
        Server* server = m_directory.find(id);
        if (server == &ended || server->isLeaving() || m_checks.contains(id) || server->openFailures > 0 || server->share == 0)
            continue;
        candidate = server;
        if (isNeighbour(*server, ended))
            break;
    }
    if (!candidate)
        return std::nullopt;
    m_pool.probe(*candidate);
    return candidate->listing.server;
}

// Probes another server if the one beside it has ended as well. Returns false if neither the server nor any other can be reached.
bool EndChecks::mayContinue(const Server& server, Check& check)
{
    const Server* probed = check.probed ? m_directory.find(*check.probed) : nullptr;
    if (probed && probed->openFailedAt < check.lostAt)
        return true;
    check.probed = probeBeside(server);
    return check.probed || server.openFailedAt < check.lostAt;
}

std::vector<EndChecks::Result> EndChecks::takeFinished()
{
    std::vector<Result> finished;
    for (auto it = m_checks.begin(); it != m_checks.end();) {
        const Server* server = m_directory.find(it->first);
        const State state = server ? stateOf(*server, it->second) : State::Unknown;
        if (state == State::Pending && mayContinue(*server, it->second)) {
            ++it;
            continue;
        }
        finished.push_back({ it->first, it->second.lostAt, state == State::Ended, std::move(it->second.attempts) });
        it = m_checks.erase(it);
    }
    return finished;
}

TimePoint EndChecks::nextWakeup() const
{
    TimePoint next = kNever;
    for (const auto& [server, check] : m_checks) {
        const TimePoint remaining = check.lostAt + kRemainingConnectionDelay;
        next = std::min(next, m_context.now < remaining ? remaining : check.lostAt + kTimeout);
    }
    return next;
}

} // namespace curranttrail::query
