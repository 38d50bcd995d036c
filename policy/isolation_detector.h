#pragma once

#include "core/units.h"

#include <cstddef>

namespace curranttrail::policy {

// Decides whether this instance is cut off from what it needs while others may not be: it has lost its control leader, and most
// of its recent requests failed. Either alone says nothing: a group without a leader leaves service as it is, and servers that
// fail for all instances fail elsewhere too.
class IsolationDetector {
public:
    // A request that failed while servers left attempts unanswered shows more than one that failed otherwise.
    void noteOutcome(bool served, TimePoint now, std::size_t unanswered = 0);
    void noteLeader(bool hasLeader, TimePoint now);
    bool isIsolated() const { return m_isolated; }

private:
    void decay(TimePoint now);
    void updateState();

    double m_served = 0;
    double m_failed = 0;
    TimePoint m_decayedAt;
    bool m_hasLeader = true;
    bool m_isolated = false;
};

} // namespace curranttrail::policy
