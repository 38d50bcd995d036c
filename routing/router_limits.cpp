#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <utility>

namespace curranttrail::routing {

namespace {
    // Minimum time between log lines for a server whose limit changes with each reply.
    constexpr Micros kLimitLogInterval { 1'000'000 };
} // namespace

// Takes over what a reply says of the server's limit. A reply without a limit ends it only if its request was sent after the limit
// was last named, since replies may overtake each other.
void Router::updateLimit(Server& server, const Attempt& attempt, const std::optional<NamedLimit>& named)
{
    if (!named) {
        if (!server.namedLimit || attempt.sentAt <= server.limitNamedAt)
            return;
        logLimit(events::kServerLimitEnded, server, false);
        server.namedLimit.reset();
        return;
    }
    if (!named->requestsPerSecond) {
        logLimit(events::kServerLimitUnreadable, server, true);
        return;
    }
    server.limitNamedAt = m_now;
    const std::optional<double> before = std::exchange(server.namedLimit, named->requestsPerSecond);
    if (!before)
        logLimit(events::kServerLimitNamed, server, false);
    else if (*before != *server.namedLimit)
        logLimit(events::kServerLimitChanged, server, true);
}

void Router::logLimit(const EventDescription& description, Server& server, bool isRepeated)
{
    if (isRepeated && server.limitLoggedAt != TimePoint::min() && m_now - server.limitLoggedAt < kLimitLogInterval)
        return;
    server.limitLoggedAt = m_now;
    log(description, { { "server", server.record.instance }, { "collection", server.record.collection }, { "per_second", server.namedLimit ? fmt::format("{}", *server.namedLimit) : std::string { "none" } } });
}

} // namespace curranttrail::routing
