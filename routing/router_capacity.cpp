#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>

namespace curranttrail::routing {

namespace {
    constexpr Micros kReviewInterval { 1'000'000 };
    constexpr Micros kCapacityLogInterval { 5'000'000 };
    // Changes of more servers at once are only counted.
    constexpr std::size_t kMaximumLinesPerReview = 10;
    // Part of its slots below which a server counts as narrow, and factor from which on it counts as slow: a single pause is not enough.
    constexpr double kNarrowPart = 0.75;
    constexpr double kSlowFactor = 1.5;
    // Changes by less are not logged.
    constexpr double kLoggedPart = 0.25;
} // namespace

void Router::recordCapacity(const Attempt& attempt, bool hasReportedLoad, double ratio)
{
    const ServerLoad& load = attempt.server->load;
    const std::uint32_t reported = hasReportedLoad ? 1 + load.running + load.waiting : 1;
    attempt.server->capacity.onReply(std::max(attempt.inFlight, reported), ratio, attempt.server->record.slots, m_now);
}

void Router::reviewCapacities()
{
    m_nextCapacityReview = m_now + kReviewInterval;
    m_counters.narrowServers = 0;
    m_counters.slowServers = 0;
    std::size_t lines = 0;
    for (const auto& [instance, server] : m_servers.all()) {
        const policy::CapacityEstimate capacity = server->capacity.estimate(server->record.slots, m_now);
        const double slots = std::max(1U, server->record.slots);
        m_counters.narrowServers += capacity.usableSlots < slots * kNarrowPart ? 1 : 0;
        m_counters.slowServers += capacity.slowness >= kSlowFactor ? 1 : 0;
        const policy::CapacityEstimate before = server->capacityLoggedAt == TimePoint::min() ? policy::CapacityEstimate { slots, 1 } : server->loggedCapacity;
        const bool hasChanged = std::abs(capacity.usableSlots - before.usableSlots) > slots * kLoggedPart || std::abs(std::log(capacity.slowness / before.slowness)) > std::log(kSlowFactor);
        if (!hasChanged || lines >= kMaximumLinesPerReview || (server->capacityLoggedAt != TimePoint::min() && m_now - server->capacityLoggedAt < kCapacityLogInterval))
            continue;
        ++lines;
        logCapacity(*server, capacity);
    }
}

void Router::logCapacity(Server& server, const policy::CapacityEstimate& capacity)
{
    server.loggedCapacity = capacity;
    server.capacityLoggedAt = m_now;
    log(events::kServerCapacityChanged, { { "server", server.record.instance }, { "collection", server.record.collection }, { "usable_slots", fmt::format("{:.2f}", capacity.usableSlots) }, { "slots", fmt::to_string(server.record.slots) }, { "slowness", fmt::format("{:.2f}", capacity.slowness) } });
}

} // namespace curranttrail::routing
