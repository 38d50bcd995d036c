#pragma once

#include "core/random.h"
#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Limits retries to a fraction of the first attempts, so that failures cannot multiply the load.
class RetryBudget {
public:
    // Counts a first attempt, which earns a tenth of a retry.
    void onFirstAttempt();
    // Takes a token for one retry. Returns false if there is none.
    bool tryAcquire();
    // Returns the upper bound of backoff() for the given retry.
    static Micros maximumBackoff(std::uint32_t retry);
    // Returns a randomised delay before the given retry, numbered from zero.
    static Micros backoff(std::uint32_t retry, Random& random);

private:
    double m_tokens = 20;
};

} // namespace curranttrail::policy
