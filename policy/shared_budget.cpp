#include "policy/shared_budget.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // The rest covers instances that join or whose count is not known yet.
    constexpr double kUsedShareOfRatio = 0.85;
    constexpr double kUsedShareOfAllowance = 0.6;
    // An instance can always save up one repeat, or it could never make any.
    constexpr double kLeastBucket = 1;
} // namespace

void SharedBudget::configure(double ratio, double allowance, std::uint32_t instances)
{
    m_earned = ratio * kUsedShareOfRatio;
    m_most = std::max(kLeastBucket, allowance * kUsedShareOfAllowance / std::max(1U, instances));
    m_tokens = m_configured ? std::min(m_tokens, m_most) : m_most;
    m_configured = true;
}

void SharedBudget::onFirst()
{
    m_tokens = std::min(m_most, m_tokens + m_earned);
}

bool SharedBudget::tryTake()
{
    if (!canTake())
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace curranttrail::policy
