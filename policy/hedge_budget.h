#pragma once

namespace curranttrail::policy {

// Decides when a subquery is late enough to hedge and how many hedges the servers may be asked to carry.
class HedgeBudget {
public:
    // Counts a first attempt, which earns a share of a hedge.
    void onFirstAttempt();
    // Counts a first attempt that outlasted the hedging delay.
    void onOverdue();
    // Counts an attempt that was beaten by its hedge or took several times the typical duration.
    void onStraggler();
    // Takes the right to send one hedge.
    bool tryAcquire();

    // Returns the quantile of the durations at which a first attempt is hedged.
    double delayQuantile() const { return 1 - firstHedgeShare(); }
    // Returns the share of plain subqueries that get a first hedge. It stays below the budget, which only limits bursts.
    double firstHedgeShare() const;
    // Returns the number of hedges allowed per plain subquery.
    double allowedHedgeShare() const;
    // Returns whether so many subqueries are late that the cause is load, which hedges would only increase.
    bool isSuppressed() const;

private:
    double m_tokens = 20;
    double m_stragglerShare = 0.01;
    double m_overdueShare = 0;
};

} // namespace curranttrail::policy
