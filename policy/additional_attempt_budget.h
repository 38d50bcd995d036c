#pragma once

#include "core/units.h"
#include "policy/token_bucket.h"

#include <cstdint>

namespace curranttrail::policy {

// Limits of the additional attempts that all instances together may send in any window of time.
struct AdditionalAttemptLimits {
    // Additional attempts per first attempt.
    double ratio = 0.2;
    // Further additional attempts in each window.
    double allowance = 50;
    Micros window { 10'000'000 };

    bool operator==(const AdditionalAttemptLimits&) const = default;
};

// One instance's share of a budget of additional attempts that is divided among all instances. It is a token bucket: each first
// attempt earns a fraction of a token, and this instance's share of the allowance is refilled over each window.
class AdditionalAttemptBudget {
public:
    AdditionalAttemptBudget(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now);

    // Returns the number of tokens that a full budget holds.
    double configure(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now);
    void onFirstAttempt(TimePoint now);
    bool canAcquire(TimePoint now) const { return m_bucket.timeUntilToken(now) == Micros { 0 }; }
    // Takes a token for one additional attempt. Returns false if there is none.
    bool tryAcquire(TimePoint now) { return m_bucket.tryAcquire(now); }

private:
    double m_tokensPerFirstAttempt = 0;
    TokenBucket m_bucket;
};

} // namespace curranttrail::policy
