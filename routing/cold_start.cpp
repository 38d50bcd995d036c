#include "routing/cold_start.h"

#include <algorithm>

namespace curranttrail::routing {

namespace {
    // The limit outlasts the cold time by the uncertainty of the remaining time in a list.
    constexpr Micros kLimitMargin { 250'000 };
    // A cold server is endangered by the requests of a single second, so that less may come at once than where a server names its limit.
    constexpr policy::RateLimitBurst kColdBurst { 0.4, 0.4 };
} // namespace

void ColdStart::recordRemaining(Micros remaining, Micros age, TimePoint now)
{
    if (remaining.count() > 0)
        m_until = std::max(m_until, now + remaining - age);
}

ColdStart::Change ColdStart::update(double requestsPerSecond, std::uint32_t instances, Random& random, TimePoint now)
{
    const bool wasLimited = isLimited();
    if (requestsPerSecond <= 0 || now >= m_until + kLimitMargin) {
        m_limit.reset();
        return wasLimited ? Change::Ended : Change::None;
    }
    if (!wasLimited) {
        m_limit.emplace(requestsPerSecond, instances, random, now, kColdBurst);
        return Change::Began;
    }
    if (m_limit->requestsPerSecond() != requestsPerSecond)
        m_limit->onNamed(requestsPerSecond, now);
    m_limit->update(instances, now);
    return Change::None;
}

void ColdStart::release(TimePoint now)
{
    if (m_limit)
        m_limit->release(now);
}

void ColdStart::onHeldBack(std::uint32_t priority, TimePoint now)
{
    if (m_limit)
        m_limit->onHeldBack(priority, now);
}

void ColdStart::keepToken(TimePoint now)
{
    if (m_limit)
        m_limit->keepToken(now);
}

Micros ColdStart::timeUntilAvailable(std::uint32_t priority, TimePoint now) const
{
    return m_limit ? m_limit->timeUntilAvailable(priority, now) : Micros { 0 };
}

} // namespace curranttrail::routing
