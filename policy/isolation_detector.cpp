#include "policy/isolation_detector.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // Outcomes lose most of their weight after this time.
    constexpr double kMemoryMicros = 7e5;
    // Fewer failures than this may be chance.
    constexpr double kLeastFailures = 2.5;
    // So many unanswered attempts of a failed request count as one more failure. With few requests a second and many shards a
    // single request must be able to decide.
    constexpr double kUnansweredPerFailure = 6;
    constexpr double kMostPerRequest = 4;
} // namespace

void IsolationDetector::noteOutcome(bool served, TimePoint now, std::size_t unanswered)
{
    fade(now);
    if (served)
        m_served += 1;
    else
        m_failed += std::min(kMostPerRequest, 1 + static_cast<double>(unanswered) / kUnansweredPerFailure);
    decide();
}

void IsolationDetector::noteLeader(bool follows, TimePoint now)
{
    fade(now);
    m_follows = follows;
    decide();
}

void IsolationDetector::fade(TimePoint now)
{
    const double factor = std::exp(-std::max(0.0, static_cast<double>((now - m_fadedAt).count())) / kMemoryMicros);
    m_served *= factor;
    m_failed *= factor;
    m_fadedAt = std::max(m_fadedAt, now);
}

// Once isolated, the instance gets no requests that could show that it is not, so only a leader ends the state.
void IsolationDetector::decide()
{
    if (m_follows)
        m_isolated = false;
    else if (m_failed >= kLeastFailures && m_failed > m_served)
        m_isolated = true;
}

} // namespace curranttrail::policy
