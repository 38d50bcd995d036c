#include "policy/concurrency_limit.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // A queue of two subqueries keeps the server's slots busy during the network round trip.
    constexpr double kQueuedSubqueries = 2;
    constexpr double kMaximumQueueDelayFactor = 1.5;
    constexpr double kQueueDelaySampleFactor = 8;
    constexpr double kSmoothingFactor = 0.15;
    constexpr double kOverloadDecreaseFactor = 0.85;
    constexpr double kShedDecreaseFactor = 0.7;
    constexpr double kIncreaseStep = 0.25;
    constexpr Micros kShedHoldTime { 10'000 };
} // namespace

ConcurrencyLimit::ConcurrencyLimit(std::uint32_t slots)
{
    setSlots(slots);
    m_limit = m_maximumLimit;
}

void ConcurrencyLimit::setSlots(std::uint32_t slots)
{
    m_maximumLimit = std::max(slots, 1U) + kQueuedSubqueries;
    m_limit = std::min(m_limit, m_maximumLimit);
}

void ConcurrencyLimit::onReply(Micros queueDelay, Micros service, std::uint32_t inFlight, TimePoint now)
{
    const double work = static_cast<double>(std::max(service, Micros { 1 }).count());
    m_service += kSmoothingFactor * (work - m_service);
    // The sample is bounded, because a single wait behind a straggler does not mean that the server is overloaded.
    const double delay = std::min(static_cast<double>(queueDelay.count()), kQueueDelaySampleFactor * m_service);
    m_queueDelay += kSmoothingFactor * (delay - m_queueDelay);
    if (m_queueDelay > kMaximumQueueDelayFactor * m_service)
        decreaseLimit(kOverloadDecreaseFactor, queueDelay, now);
    else if (inFlight + 1 >= limit())
        m_limit = std::min(m_maximumLimit, m_limit + kIncreaseStep / m_limit);
}

void ConcurrencyLimit::onShed(TimePoint now)
{
    decreaseLimit(kShedDecreaseFactor, kShedHoldTime, now);
}

// One burst delays many replies, so the limit is not decreased again until that burst has passed.
void ConcurrencyLimit::decreaseLimit(double factor, Micros holdTime, TimePoint now)
{
    if (now < m_holdUntil)
        return;
    m_limit = std::max(1.0, m_limit * factor);
    m_holdUntil = now + holdTime;
}

} // namespace curranttrail::policy
