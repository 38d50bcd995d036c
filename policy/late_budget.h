#pragma once

namespace curranttrail::policy {

// Decides which queries of a class may outlast its target latency to be complete. A class that must meet its latency in 99 of
// 100 queries may be late in one of them; beyond that, an answer that covers enough is sent at the target.
class LateBudget {
public:
    // Counts a query that has ended, which earns a part of what the class's percentile leaves.
    void onEnded(double percentile);
    // Takes the right to be late once.
    bool tryAcquire();

private:
    double m_tokens = 0;
};

} // namespace curranttrail::policy
