#include "policy/additional_attempt_budget.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // The capacity of the budget and the tokens refilled within a window add up to less than the allowance. The rest is left for
    // instances that are not counted yet.
    constexpr double kUsableRatioShare = 0.85;
    constexpr double kBurstAllowanceShare = 0.3;
    constexpr double kRefilledAllowanceShare = 0.5;
    // With a capacity below one token, an instance could never send an additional attempt.
    constexpr double kMinimumCapacity = 1;
} // namespace

AdditionalAttemptBudget::AdditionalAttemptBudget(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now)
    : m_refilledAt(now)
{
    configure(limits, instances, now);
    m_tokens = m_capacity;
}

void AdditionalAttemptBudget::configure(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now)
{
    refill(now);
    const double share = limits.allowance / std::max(1U, instances);
    m_tokensPerFirstAttempt = limits.ratio * kUsableRatioShare;
    m_tokensPerMicro = share * kRefilledAllowanceShare / static_cast<double>(std::max<Micros::rep>(1, limits.window.count()));
    m_capacity = std::max(kMinimumCapacity, share * kBurstAllowanceShare);
    m_tokens = std::min(m_tokens, m_capacity);
}

void AdditionalAttemptBudget::refill(TimePoint now)
{
    if (now > m_refilledAt)
        m_tokens = std::min(m_capacity, m_tokens + static_cast<double>((now - m_refilledAt).count()) * m_tokensPerMicro);
    m_refilledAt = std::max(m_refilledAt, now);
}

void AdditionalAttemptBudget::onFirstAttempt(TimePoint now)
{
    refill(now);
    m_tokens = std::min(m_capacity, m_tokens + m_tokensPerFirstAttempt);
}

bool AdditionalAttemptBudget::canAcquire(TimePoint now)
{
    refill(now);
    return m_tokens >= 1;
}

bool AdditionalAttemptBudget::tryAcquire(TimePoint now)
{
    if (!canAcquire(now))
        return false;
    m_tokens -= 1;
    return true;
}

} // namespace curranttrail::policy
