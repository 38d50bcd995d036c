#include "policy/server_capacity.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // Time constant of the exponential decay of observations.
    constexpr double kMemoryMicros = 6e6;
    // What was observed with many requests in flight is forgotten earlier if that many are not sent any more, since only they could show a
    // change.
    constexpr double kUncheckedMicros = 2e6;
    constexpr double kUncheckedMemoryMicros = 1e6;
    // Pauses and stragglers show up as very long durations, which say nothing of what a server takes in general.
    constexpr double kMinimumRatio = 0.5;
    constexpr double kMaximumRatio = 3;
    // Weight of the assumption that a server is like the others and takes as many requests as it has slots.
    constexpr double kPriorWeight = 3;
    // Durations that are longer by the lower factor are within the usual variation. From the higher factor on, an additional request costs
    // the others as much as if it waited.
    constexpr double kSlightRise = 1.15;
    constexpr double kFullRise = 1.5;

    double microsBetween(TimePoint from, TimePoint to)
    {
        return std::max(0.0, static_cast<double>((to - from).count()));
    }
} // namespace

double ServerCapacity::decay(TimePoint now) const
{
    return std::exp(-microsBetween(m_updatedAt, now) / kMemoryMicros);
}

double ServerCapacity::excessAt(const Rise& rise, TimePoint now) const
{
    const double unchecked = std::max(0.0, microsBetween(rise.observedAt, now) - kUncheckedMicros);
    const double evidence = rise.evidence * decay(now) * std::exp(-unchecked / kUncheckedMemoryMicros);
    const double likely = rise.amount * evidence / (evidence + kPriorWeight);
    return std::clamp((likely - std::log(kSlightRise)) / (std::log(kFullRise) - std::log(kSlightRise)), 0.0, 1.0);
}

void ServerCapacity::onReply(std::uint32_t inFlight, double ratio, std::uint32_t slots, TimePoint now)
{
    const double factor = decay(now);
    for (Level& level : m_levels) {
        level.weight *= factor;
        level.sum *= factor;
    }
    m_updatedAt = std::max(m_updatedAt, now);
    Level& level = m_levels[std::clamp<std::size_t>(inFlight, 1, kLevels) - 1];
    level.weight += 1;
    level.sum += std::log(std::clamp(ratio, kMinimumRatio, kMaximumRatio));
    level.observedAt = now;
    m_rise = findRise(slots);
    m_usable = sumOf(0, m_rise.evidence > 0 ? m_rise.beyond : slots);
}

ServerCapacity::Level ServerCapacity::sumOf(std::size_t first, std::size_t last) const
{
    Level total;
    for (std::size_t n = first; n < std::min(last, kLevels); ++n) {
        total.weight += m_levels[n].weight;
        total.sum += m_levels[n].sum;
        total.observedAt = std::max(total.observedAt, m_levels[n].observedAt);
    }
    return total;
}

// Compares the durations with each number of requests in flight to those with more, up to the number of slots.
ServerCapacity::Rise ServerCapacity::findRise(std::size_t slots) const
{
    for (std::size_t n = 1; n < std::min(slots, kLevels); ++n) {
        const Level below = sumOf(n - 1, n);
        const Level above = sumOf(n, slots);
        if (below.weight <= 0 || above.weight <= 0)
            continue;
        const Rise rise { n, above.sum / above.weight - below.sum / below.weight, 1 / (1 / below.weight + 1 / above.weight), above.observedAt };
        if (excessAt(rise, m_updatedAt) > 0)
            return rise;
    }
    return {};
}

CapacityEstimate ServerCapacity::estimate(std::uint32_t slots, TimePoint now) const
{
    CapacityEstimate estimate { static_cast<double>(std::max(1U, slots)), 1 };
    if (m_usable.weight <= 0)
        return estimate;
    const double factor = decay(now);
    if (m_rise.evidence > 0 && m_rise.beyond < slots)
        estimate.usableSlots -= (estimate.usableSlots - static_cast<double>(m_rise.beyond)) * excessAt(m_rise, now);
    const double slowness = std::exp(m_usable.sum * factor / (m_usable.weight * factor + kPriorWeight));
    if (slowness > kSlightRise)
        estimate.slowness = slowness;
    return estimate;
}

} // namespace curranttrail::policy
