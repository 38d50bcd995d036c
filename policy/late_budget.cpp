#include "policy/late_budget.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // The other half is left for queries that are late for other reasons.
    constexpr double kUsableShare = 0.5;
    constexpr double kMaximumTokens = 3;
} // namespace

void LateBudget::onEnded(double percentile)
{
    m_tokens = std::min(kMaximumTokens, m_tokens + kUsableShare * (1 - percentile));
}

bool LateBudget::tryAcquire()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace curranttrail::policy
