#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace curranttrail::routing {

namespace {
    // Minimum time between log lines for a server whose limit changes with each reply.
    constexpr Micros kLimitLogInterval { 1'000'000 };
    // The return of the instances to a server is spread over this part of its rest, and at most over the maximum.
    constexpr int kRestSpreadDivisor = 4;
    constexpr Micros kMaximumRestSpread { 1'000'000 };
    // The load balancer may send a caller that returns to an instance with a token, so a longer wait is of no use.
    constexpr Micros kMaximumLimitRetryAfter { 1'000'000 };
} // namespace

// Takes over what a reply says of the server's limit. A reply without a limit ends it only if its request was sent after the limit
// was last named, since replies may overtake each other.
void Router::updateLimit(Server& server, const Attempt& attempt, const std::optional<NamedLimit>& named)
{
    if (!named) {
        if (server.rateLimit && attempt.sentAt > server.limitNamedAt && server.rateLimit->onUnnamed(m_now))
            logLimit(events::kServerLimitEnded, server, false);
        return;
    }
    if (!named->requestsPerSecond) {
        logLimit(events::kServerLimitUnreadable, server, true);
        return;
    }
    server.limitNamedAt = m_now;
    if (!server.rateLimit) {
        server.rateLimit.emplace(*named->requestsPerSecond, m_servers.instanceCount(m_now), m_random, m_now);
        ++m_counters.limitedServers;
        logLimit(events::kServerLimitNamed, server, false);
        return;
    }
    const double before = server.rateLimit->requestsPerSecond();
    server.rateLimit->onNamed(*named->requestsPerSecond, m_now);
    if (before != *named->requestsPerSecond)
        logLimit(events::kServerLimitChanged, server, true);
}

// Takes over for how long a server that rejected a request wants no more. The end is spread, so that the instances do not all return at the
// same moment.
void Router::updateRest(Server& server, const std::optional<NamedRest>& named)
{
    if (!named) {
        server.isReturning = server.isReturning && m_now < server.restsUntil;
        return;
    }
    if (!named->duration) {
        logRest(events::kServerRestUnreadable, server, Micros { 0 });
        return;
    }
    const Micros spread = std::min<Micros>(*named->duration / kRestSpreadDivisor, kMaximumRestSpread);
    const TimePoint until = m_now + *named->duration + randomDelay(Micros { 0 }, spread);
    if (named->duration->count() == 0 || until <= server.restsUntil)
        return;
    server.restsUntil = until;
    server.isReturning = true;
    logRest(events::kServerRests, server, *named->duration);
    failWaiting(server);
}

void Router::logRest(const EventDescription& description, Server& server, Micros duration)
{
    if (server.restLoggedAt != TimePoint::min() && m_now - server.restLoggedAt < kLimitLogInterval)
        return;
    server.restLoggedAt = m_now;
    log(description, { { "server", server.record.instance }, { "collection", server.record.collection }, { "rest_us", fmt::to_string(duration.count()) } });
}

void Router::logLimit(const EventDescription& description, Server& server, bool isRepeated)
{
    if (isRepeated && server.limitLoggedAt != TimePoint::min() && m_now - server.limitLoggedAt < kLimitLogInterval)
        return;
    server.limitLoggedAt = m_now;
    log(description, { { "server", server.record.instance }, { "collection", server.record.collection }, { "per_second", server.rateLimit ? fmt::format("{}", server.rateLimit->requestsPerSecond()) : std::string { "none" } }, { "instances", fmt::to_string(m_servers.instanceCount(m_now)) } });
}

void Router::releaseToken(const Attempt& attempt)
{
    if (attempt.holdsToken && attempt.server->rateLimit)
        attempt.server->rateLimit->release(m_now);
}

// Records a request that is refused because of limits at all servers that it needs. Their tokens are kept, so that a later request
// finds one at each of them.
void Router::recordHeldBack(const Request& request)
{
    for (const Part& part : request.parts) {
        if (m_servers.recordHeldBack(part.collection, request.priority, m_now))
            ++m_counters.heldBack;
        m_servers.keepTokens(part.collection, m_now);
    }
}

// Returns the time until so many parts may be sent that the required coverage can be reached.
Micros Router::retryAfterLimit(const Request& request)
{
    std::vector<Micros> times;
    times.reserve(request.parts.size());
    for (const Part& part : request.parts)
        times.push_back(m_servers.timeUntilAvailable(part.collection, request.priority, m_now));
    std::sort(times.begin(), times.end());
    std::size_t needed = 1;
    while (needed < times.size() && !coversEnough(request, needed))
        ++needed;
    return std::min(times[needed - 1], kMaximumLimitRetryAfter) + randomRetryAfter();
}

} // namespace curranttrail::routing
