#include "policy/additional_attempt_budget.h"

#include <algorithm>
#include <chrono>

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
    : m_bucket(now)
{
    m_bucket.add(configure(limits, instances, now), now);
}

double AdditionalAttemptBudget::configure(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now)
{
    const double share = limits.allowance / std::max(1U, instances);
    const double seconds = std::max(1e-6, std::chrono::duration<double>(limits.window).count());
    const double capacity = std::max(kMinimumCapacity, share * kBurstAllowanceShare);
    m_tokensPerFirstAttempt = limits.ratio * kUsableRatioShare;
    m_bucket.configure(share * kRefilledAllowanceShare / seconds, capacity, now);
    return capacity;
}

void AdditionalAttemptBudget::onFirstAttempt(TimePoint now)
{
    m_bucket.add(m_tokensPerFirstAttempt, now);
}

} // namespace curranttrail::policy
