#include "policy/hedge_budget.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // Share of first hedges as a linear function of the observed share of stragglers, because without stragglers a hedge adds
    // load for little gain. At 1% stragglers it stays below the target of 3% additional load. Slow replies that are no stragglers
    // count in part.
    constexpr double kBaseShare = 0.001;
    constexpr double kSharePerStraggler = 2.6;
    constexpr double kMinimumFirstShare = 0.005;
    constexpr double kMaximumFirstShare = 0.075;
    // Second hedges need an additional part. If stragglers are frequent, the budget limits the hedges and not the delay.
    constexpr double kSecondHedgeFactor = 1.1;
    // At 5% stragglers the target is at most 8% additional load.
    constexpr double kMaximumShare = 0.078;
    constexpr double kMaximumTokens = 40;
    constexpr double kStragglerWindowAttempts = 1000;
    constexpr double kOverdueWindowAttempts = 200;
    constexpr double kOverdueLimit = 0.25;
} // namespace

void HedgeBudget::onFirstAttempt()
{
    m_tokens = std::min(kMaximumTokens, m_tokens + allowedHedgeShare());
    m_stragglerShare *= 1 - 1 / kStragglerWindowAttempts;
    m_overdueShare *= 1 - 1 / kOverdueWindowAttempts;
}

void HedgeBudget::onOverdue()
{
    m_overdueShare += 1 / kOverdueWindowAttempts;
}

void HedgeBudget::onStraggler()
{
    m_stragglerShare += 1 / kStragglerWindowAttempts;
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
