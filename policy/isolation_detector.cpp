#include "policy/isolation_detector.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // Time constant of the exponential decay of outcomes.
    constexpr double kDecayTimeMicros = 7e5;
    // Fewer failures may be coincidence.
    constexpr double kMinimumFailures = 2.5;
    // Number of unanswered attempts of a failed request that count as one further failure. With few requests per second and many
    // shards, a single failed request must suffice.
    constexpr double kUnansweredPerFailure = 6;
    constexpr double kMaximumFailuresPerRequest = 4;
} // namespace

void IsolationDetector::recordRequestOutcome(bool served, TimePoint now, std::size_t unanswered)
{
    decay(now);
    if (served)
        m_servedWeight += 1;
    else
        m_failedWeight += std::min(kMaximumFailuresPerRequest, 1 + static_cast<double>(unanswered) / kUnansweredPerFailure);
    updateState(now);
}

void IsolationDetector::recordLeaderContact(bool hasLeader, TimePoint now)
{
    decay(now);
    m_hasLeader = hasLeader;
    updateState(now);
}

void IsolationDetector::recordOtherDataCentres(bool areSilent, TimePoint now)
{
    m_otherDataCentresAreSilent = areSilent;
    updateState(now);
}

void IsolationDetector::decay(TimePoint now)
{
    const double factor = std::exp(-std::max(0.0, static_cast<double>((now - m_decayedAt).count())) / kDecayTimeMicros);
    m_servedWeight *= factor;
    m_failedWeight *= factor;
    m_decayedAt = std::max(m_decayedAt, now);
}

// An isolated instance gets no requests that could succeed, so only contact with a leader ends the state.
void IsolationDetector::updateState(TimePoint now)
{
    const bool requestsFail = m_failedWeight >= kMinimumFailures && m_failedWeight > m_servedWeight;
    if (m_hasLeader)
        m_isolatedSince = kNever;
    else if (!isIsolated() && (m_otherDataCentresAreSilent || requestsFail))
        m_isolatedSince = now;
}

Micros IsolationDetector::timeUntilRemoved(Micros removalDelay, TimePoint now) const
{
    if (!isIsolated())
        return Micros { 0 };
    return std::max(Micros { 0 }, std::chrono::duration_cast<Micros>(m_isolatedSince + removalDelay - now));
}

} // namespace curranttrail::policy
