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
    if (attempt.holdsColdToken)
        attempt.server->coldStart.release(m_now);
}

// Limits the requests to cold servers as the document asks for. What waits for a server that has turned cold has no token and goes to
// others, once the limits of all servers are known.
void Router::updateColdStarts()
{
    if (!m_table)
        return;
    const std::map<CollectionName, CollectionSpec>& specs = m_table->document().collections;
    std::vector<Server*> begun;
    std::vector<Server*> ended;
    m_counters.coldServers = 0;
    m_counters.coldRequestsPerSecond = 0;
    for (const auto& [instance, server] : m_servers.all()) {
        const auto spec = specs.find(server->record.collection);
        const double limit = spec == specs.end() || server->isRetired ? 0 : spec->second.coldRequestsPerSecond;
        const ColdStart::Change change = server->coldStart.update(limit, m_servers.instanceCount(m_now), m_random, m_now);
        if (change == ColdStart::Change::Began)
            begun.push_back(server.get());
        if (change == ColdStart::Change::Ended)
            ended.push_back(server.get());
        m_counters.coldServers += server->coldStart.isLimited() ? 1 : 0;
        m_counters.coldRequestsPerSecond += server->coldStart.share();
    }
    logColdStarts(events::kServersCold, begun);
    logColdStarts(events::kServersWarm, ended);
    for (Server* server : begun)
        failWaiting(*server);
}

void Router::logColdStarts(const EventDescription& description, const std::vector<Server*>& servers)
{
    if (servers.empty())
        return;
    const Server& first = *servers.front();
    log(description, { { "servers", fmt::to_string(servers.size()) }, { "first", first.record.instance }, { "collection", first.record.collection }, { "remaining_us", fmt::to_string(first.coldStart.remaining(m_now).count()) }, { "cold", fmt::to_string(m_counters.coldServers) }, { "share_per_second", fmt::format("{:.3f}", m_counters.coldRequestsPerSecond) }, { "instances", fmt::to_string(m_servers.instanceCount(m_now)) } });
}

void Router::recordColdTime(Server& server, Micros remaining)
{
    const bool wasCold = server.coldStart.isCold(m_now);
    server.coldStart.recordRemaining(remaining, Micros { 0 }, m_now);
    if (!wasCold)
        updateColdStarts();
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
