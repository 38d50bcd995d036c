#pragma once

#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// What all instances together may add to the first requests in any window of time.
struct AdditionalAttemptLimits {
    // Repeats per first request.
    double ratio = 0.2;
    // Further repeats in each window.
    double allowance = 50;
    Micros window { 10'000'000 };
};

// One instance's part of a budget of repeated requests that all instances share. Each first request earns a share of a repeat,
// and the part of the allowance that falls to this instance comes back over each window.
class AdditionalAttemptBudget {
public:
    AdditionalAttemptBudget(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now);

    void configure(const AdditionalAttemptLimits& limits, std::uint32_t instances, TimePoint now);
    void onFirstAttempt(TimePoint now);
    bool canAcquire(TimePoint now);
    // Takes the right to repeat once.
    bool tryAcquire(TimePoint now);

private:
    void refill(TimePoint now);

    double m_tokensPerFirstAttempt = 0;
    double m_tokensPerMicro = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    TimePoint m_refilledAt;
};

} // namespace curranttrail::policy
