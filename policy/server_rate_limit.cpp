#include "policy/server_rate_limit.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <chrono>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // The rest is left for instances that are not known yet, and for moments at which many tokens mature together.
    constexpr double kUsableShare = 0.8;
    // Higher limits are no restriction.
    constexpr double kMaximumLimit = 1e6;
    // Requests a second of all instances together by which a server that takes none is asked whether that has ended.
    constexpr double kMinimumLimit = 0.25;
    // Part of the share that a less urgent class gets in any case.
    constexpr double kMinimumClassShare = 0.2;
    constexpr double kDemandDecaySeconds = 4;
    constexpr double kNegligibleDemand = 0.01;
    // The share doubles each second after a reply without a limit, and ends after the recovery time.
    constexpr double kRecoverySeconds = 3;

    double secondsBetween(TimePoint from, TimePoint to)
    {
        return std::max(0.0, std::chrono::duration<double>(to - from).count());
    }
} // namespace

ServerRateLimit::ServerRateLimit(double requestsPerSecond, std::uint32_t instances, Random& random, TimePoint now, RateLimitBurst burst)
    : m_burst(burst)
    , m_requestsPerSecond(requestsPerSecond)
    , m_bucket(now)
{
    update(instances, now);
    m_bucket.add(boost::random::uniform_real_distribution<double>(0, 1)(random), now);
}

void ServerRateLimit::onNamed(double requestsPerSecond, TimePoint now)
{
    m_requestsPerSecond = requestsPerSecond;
    m_endingSince.reset();
    update(m_instances, now);
}

bool ServerRateLimit::onUnnamed(TimePoint now)
{
    if (m_endingSince)
        return false;
    m_endingSince = now;
    return true;
}

double ServerRateLimit::currentLimit(TimePoint now) const
{
    const double limit = std::clamp(m_requestsPerSecond, kMinimumLimit, kMaximumLimit);
    return m_endingSince ? std::max(1.0, limit) * std::exp2(secondsBetween(*m_endingSince, now)) : limit;
}

bool ServerRateLimit::update(std::uint32_t instances, TimePoint now)
{
    if (m_endingSince && secondsBetween(*m_endingSince, now) >= kRecoverySeconds)
        return false;
    m_instances = std::max(1U, instances);
    m_share = currentLimit(now) * kUsableShare / m_instances;
    m_bucket.configure(m_share, std::max(1.0, m_share * m_burst.seconds), now);
    for (auto& [priority, entry] : m_classes) {
        const double left = std::max(m_share - moreUrgentDemand(priority, now), m_share * kMinimumClassShare);
        entry.bucket.configure(left, std::max(1.0, left * m_burst.seconds), now);
    }
    expireToken(now);
    return true;
}

void ServerRateLimit::expireToken(TimePoint now)
{
    if (m_bucket.timeUntilToken(now) > Micros { 0 }) {
        m_tokenSince.reset();
        return;
    }
    if (!m_tokenSince)
        m_tokenSince = now;
    // A share without demand holds a token for this part of the time.
    const double holdingPart = m_burst.holdersPerRequest * currentLimit(now) / m_instances;
    if (holdingPart >= 1 || secondsBetween(*m_tokenSince, now) < holdingPart / (1 - holdingPart) / m_share)
        return;
    m_bucket.clear(now);
    m_tokenSince.reset();
}

double ServerRateLimit::moreUrgentDemand(std::uint32_t priority, TimePoint now) const
{
    double demand = 0;
    for (const auto& [other, entry] : m_classes) {
        if (other < priority)
            demand += entry.demand * std::exp(-secondsBetween(entry.demandAt, now) / kDemandDecaySeconds) / kDemandDecaySeconds;
    }
    return demand;
}

void ServerRateLimit::recordDemand(std::uint32_t priority, TimePoint now)
{
    PriorityClass& entry = m_classes.try_emplace(priority, PriorityClass { TokenBucket(now), 0, now }).first->second;
    entry.demand = entry.demand * std::exp(-secondsBetween(entry.demandAt, now) / kDemandDecaySeconds) + 1;
    entry.demandAt = now;
}

bool ServerRateLimit::canAcquire(std::uint32_t priority, TimePoint now) const
{
    return timeUntilAvailable(priority, now) == Micros { 0 };
}

bool ServerRateLimit::tryAcquire(std::uint32_t priority, TimePoint now)
{
    if (!canAcquire(priority, now))
        return false;
    recordDemand(priority, now);
    // The tokens of a class are not needed while no more urgent one competes for the share.
    m_classes.at(priority).bucket.tryAcquire(now);
    return m_bucket.tryAcquire(now);
}

void ServerRateLimit::keepToken(TimePoint now)
{
    if (m_tokenSince)
        m_tokenSince = now;
}

Micros ServerRateLimit::timeUntilAvailable(std::uint32_t priority, TimePoint now) const
{
    const Micros time = m_bucket.timeUntilToken(now);
    const auto it = m_classes.find(priority);
    if (it == m_classes.end() || moreUrgentDemand(priority, now) < kNegligibleDemand)
        return time;
    return std::max(time, it->second.bucket.timeUntilToken(now));
}

} // namespace curranttrail::policy
