#include "policy/server_health.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace curranttrail::policy {

namespace {
    constexpr std::uint32_t kFailuresBeforeSuspension = 3;
    constexpr Micros kInitialSuspension { 100'000 };
    constexpr std::uint32_t kMaximumDoublings = 5;
    constexpr Micros kSlowStartDuration { 5'000'000 };
    constexpr double kMinimumSlowStartFactor = 0.1;
} // namespace

ServerHealth::ServerHealth(bool startsCold, TimePoint now)
    : m_slowStartAt(now)
    , m_isInSlowStart(startsCold)
{
}

void ServerHealth::onReply(TimePoint now)
{
    if (m_failures >= kFailuresBeforeSuspension)
        beginSlowStart(now);
    m_failures = 0;
    m_suspendedUntil = TimePoint::min();
}

void ServerHealth::onFailure(Random& random, TimePoint now)
{
    ++m_failures;
    if (m_failures < kFailuresBeforeSuspension || isSuspended(now))
        return;
    const std::uint32_t doublings = std::min(m_failures - kFailuresBeforeSuspension, kMaximumDoublings);
    const double jitter = boost::random::uniform_real_distribution<double>(0.5, 1.0)(random);
    m_suspendedUntil = now + Micros { static_cast<std::int64_t>(static_cast<double>(kInitialSuspension.count() << doublings) * jitter) };
}

void ServerHealth::beginSlowStart(TimePoint now)
{
    m_isInSlowStart = true;
    m_slowStartAt = now;
}

double ServerHealth::slowStartFactor(TimePoint now) const
{
    if (!m_isInSlowStart)
        return 1;
    const double share = static_cast<double>((now - m_slowStartAt).count()) / static_cast<double>(kSlowStartDuration.count());
    return std::clamp(share, kMinimumSlowStartFactor, 1.0);
}

} // namespace curranttrail::policy
