#pragma once

#include <cstdint>

namespace curranttrail::policy {

// One instance's part of a budget of repeated requests that all instances share. Each first request earns a share of a
// repeat; the part of the fixed allowance that falls to this instance bounds what can be saved up.
class SharedBudget {
public:
    // The ratio is repeats per first request, the allowance the number of further repeats in each window for all instances.
    void configure(double ratio, double allowance, std::uint32_t instances);
    void onFirst();
    bool canTake() const { return m_tokens >= 1; }
    // Takes the right to repeat once.
    bool tryTake();

private:
    double m_earned = 0;
    double m_most = 0;
    double m_tokens = 0;
    bool m_configured = false;
};

} // namespace curranttrail::policy
