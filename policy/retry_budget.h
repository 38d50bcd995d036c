#pragma once

#include "core/random.h"
#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Limits retries to a share of the first attempts, so that failures cannot multiply the load.
class RetryBudget {
public:
    // Counts a first attempt, which earns a tenth of a retry.
    void onFirstAttempt();
    // Takes the right to retry once.
    bool tryAcquire();
    static Micros maximumBackoff(std::uint32_t retry);
    // Returns the pause before the given retry, which is numbered from zero.
    static Micros backoff(std::uint32_t retry, Random& random);

private:
    double m_tokens = 20;
};

} // namespace curranttrail::policy
