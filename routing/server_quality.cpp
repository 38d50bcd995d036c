#include "routing/server_quality.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::routing {

namespace {
    // Five to seven samples change the estimate markedly; a single pause of a server does not.
    constexpr double kSmoothingFactor = 0.15;
    constexpr double kMaximumRatio = 6;
    constexpr double kMinimumRatio = 0.4;
    // Time constant of the exponential decay of old observations.
    constexpr double kDecayTimeMicros = 3e6;

    double decayFactor(TimePoint since, TimePoint now)
    {
        return std::exp(-std::max(0.0, static_cast<double>((now - since).count())) / kDecayTimeMicros);
    }
}

void ServerQuality::onDuration(double ratio, TimePoint now)
{
    m_slowness = slowness(now) * (1 - kSmoothingFactor) + std::clamp(ratio, kMinimumRatio, kMaximumRatio) * kSmoothingFactor;
    m_slownessAt = now;
}

void ServerQuality::onUnanswered(double ratio, TimePoint now)
{
    // A lower bound below the current estimate carries no information.
    if (ratio > slowness(now))
        onDuration(ratio, now);
}

void ServerQuality::onOutcome(bool good, TimePoint now)
{
    m_failures = failureRate(now) * (1 - kSmoothingFactor) + (good ? 0 : kSmoothingFactor);
    m_failuresAt = now;
}

double ServerQuality::slowness(TimePoint now) const
{
    return 1 + (m_slowness - 1) * decayFactor(m_slownessAt, now);
}

double ServerQuality::failureRate(TimePoint now) const
{
    return m_failures * decayFactor(m_failuresAt, now);
}

} // namespace curranttrail::routing
