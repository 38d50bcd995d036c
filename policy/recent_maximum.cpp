#include "policy/recent_maximum.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // Samples closer together than this are merged, which bounds their number.
    constexpr int kMergedWindowDivisor = 64;
}

void RecentMaximum::add(Micros duration, TimePoint now)
{
    while (!m_samples.empty() && now - m_samples.front().at > m_window)
        m_samples.pop_front();
    while (!m_samples.empty() && m_samples.back().duration <= duration)
        m_samples.pop_back();
    if (!m_samples.empty() && now - m_samples.back().at < m_window / kMergedWindowDivisor)
        return;
    m_samples.push_back({ now, duration });
}

Micros RecentMaximum::longest(TimePoint now) const
{
    const auto it = std::find_if(m_samples.begin(), m_samples.end(), [&](const Sample& sample) { return now - sample.at <= m_window; });
    return it == m_samples.end() ? Micros { 0 } : it->duration;
}

} // namespace curranttrail::policy
