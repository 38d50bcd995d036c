#include "policy/hedge_budget.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // Without stragglers a hedge is extra load for little, so the share follows the observed stragglers: it stays below the aim of
    // 3% extra load for 1% of them. Slow replies that are no stragglers count in part.
    constexpr double kBaseShare = 0.001;
    constexpr double kSharePerStraggler = 2.6;
    constexpr double kMinimumFirstShare = 0.005;
    constexpr double kMaximumFirstShare = 0.075;
    // Hedges of hedges take a further part. The budget and not the delay is the bound when stragglers are frequent.
    constexpr double kSecondHedgeFactor = 1.1;
    // The aim for 5% stragglers is at most 8% extra load.
    constexpr double kMaximumShare = 0.078;
    constexpr double kMaximumTokens = 40;
    constexpr double kStragglerWindow = 1000;
    constexpr double kOverdueWindow = 200;
    constexpr double kOverdueLimit = 0.25;
} // namespace

void HedgeBudget::onFirstAttempt()
{
    m_tokens = std::min(kMaximumTokens, m_tokens + allowedHedgeShare());
    m_stragglerShare *= 1 - 1 / kStragglerWindow;
    m_overdueShare *= 1 - 1 / kOverdueWindow;
}

void HedgeBudget::onOverdue()
{
    m_overdueShare += 1 / kOverdueWindow;
}

void HedgeBudget::onStraggler()
{
    m_stragglerShare += 1 / kStragglerWindow;
}

bool HedgeBudget::tryAcquire()
{
    if (isSuppressed() || m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

double HedgeBudget::firstHedgeShare() const
{
    return std::clamp(kBaseShare + kSharePerStraggler * m_stragglerShare, kMinimumFirstShare, kMaximumFirstShare);
}

double HedgeBudget::allowedHedgeShare() const
{
    return std::min(kMaximumShare, kSecondHedgeFactor * firstHedgeShare());
}

bool HedgeBudget::isSuppressed() const
{
    return m_overdueShare > kOverdueLimit;
}

} // namespace curranttrail::policy
