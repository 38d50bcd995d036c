#include "policy/retry_budget.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>

namespace curranttrail::policy {

namespace {
    constexpr double kRetriesPerFirstAttempt = 0.1;
    // Maximum burst of retries. The loss of one replica fails all of its attempts at once.
    constexpr double kMaximumTokens = 100;
    constexpr Micros kInitialBackoff { 1'000 };
    constexpr std::uint32_t kMaximumDoublings = 6;
} // namespace

void RetryBudget::onFirstAttempt()
{
    m_tokens = std::min(kMaximumTokens, m_tokens + kRetriesPerFirstAttempt);
}

bool RetryBudget::tryAcquire()
{
    if (m_tokens < 1)
        return false;
    m_tokens -= 1;
    return true;
}

Micros RetryBudget::maximumBackoff(std::uint32_t retry)
{
    return Micros { kInitialBackoff.count() << std::min(retry, kMaximumDoublings) };
}

Micros RetryBudget::backoff(std::uint32_t retry, Random& random)
{
    const double jitter = boost::random::uniform_real_distribution<double>(0.5, 1.0)(random);
    return Micros { static_cast<std::int64_t>(static_cast<double>(maximumBackoff(retry).count()) * jitter) };
}

} // namespace curranttrail::policy
