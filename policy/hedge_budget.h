#pragma once

namespace curranttrail::policy {

// Decides after which delay a subquery is hedged, and limits the additional load of hedges.
class HedgeBudget {
public:
    // Counts a first attempt, which earns a fraction of a hedge.
    void onFirstAttempt();
    // Counts a shard whose first attempt exceeded the hedge delay.
    void onOverdue();
    // Counts an attempt that was overtaken by its hedge or took several times the typical duration.
    void onStraggler();
    // Takes a token for one hedge. Returns false if there is none or hedging is suppressed.
    bool tryAcquire();

    // Returns the quantile of the durations after which a first attempt is hedged.
    double delayQuantile() const { return 1 - firstHedgeShare(); }
    // Returns the fraction of first attempts that get a first hedge. It stays below the budget, which limits bursts only.
    double firstHedgeShare() const;
    // Returns the number of hedges allowed per first attempt.
    double allowedHedgeShare() const;
    // Returns whether so many subqueries are late that the cause must be load, which hedges would increase.
    bool isSuppressed() const;

private:
    double m_tokens = 20;
    double m_stragglerShare = 0.01;
    double m_overdueShare = 0;
};

} // namespace curranttrail::policy
