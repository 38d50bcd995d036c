#pragma once

namespace curranttrail::policy {

// Limits how many queries of a class may exceed the target latency in order to be complete. A class that must meet its target in
// 99 of 100 queries may be late in one of them. Without budget, an answer with sufficient coverage is sent at the target.
class LateBudget {
public:
    // Counts an answered query, which earns a part of the fraction that the class's percentile allows to be late.
    void onEnded(double percentile);
    // Takes a token for one late answer. Returns false if there is none.
    bool tryAcquire();

private:
    double m_tokens = 0;
};

} // namespace curranttrail::policy
