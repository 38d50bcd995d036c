#pragma once

#include "core/units.h"

#include <cstddef>

namespace curranttrail::policy {

// Detects that this instance is cut off by a network partition while others may not be: it has lost contact with the control
// leader, and either most of its recent requests failed or all other data centres are silent. A lost leader alone is not
// sufficient, because requests can be served without one, and failures of the servers affect all instances alike.
class IsolationDetector {
public:
    // Records the outcome of a request. Unanswered attempts of a failed request increase its weight.
    void recordRequestOutcome(bool served, TimePoint now, std::size_t unanswered = 0);
    // Records whether this instance is in contact with a control leader.
    void recordLeaderContact(bool hasLeader, TimePoint now);
    // Records whether the servers of all other data centres are silent.
    void recordOtherDataCentres(bool areSilent, TimePoint now);
    bool isIsolated() const { return m_isolatedSince != kNever; }
    // Returns the time after which callers that are refused now reach another instance: what is left of the delay with which the
    // load balancer removes an instance. Zero if this instance is not isolated.
    Micros timeUntilRemoved(Micros removalDelay, TimePoint now) const;

private:
    void decay(TimePoint now);
    void updateState(TimePoint now);

    double m_servedWeight = 0;
    double m_failedWeight = 0;
    TimePoint m_decayedAt;
    bool m_hasLeader = true;
    bool m_otherDataCentresAreSilent = false;
    TimePoint m_isolatedSince = kNever;
};

} // namespace curranttrail::policy
