#pragma once

#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/units.h"

#include <vector>

namespace curranttrail::policy {

// Decides which instance may send a request under which several servers ended to one more server. At any time that is a single instance,
// and none for a while after each turn, since others would send it as well before they hear how that went. The turn passes from one instance to the next, so that an innocent
// request is served at any of them in the end.
class TrialTurns {
public:
    // The instances may include this one or not.
    void setInstances(const InstanceName& self, std::vector<InstanceName> instances);
    // Returns the time until this instance has the turn, or zero if it has it now. Turns are counted from the latest end of a server.
    Micros timeUntilTurn(const RequestFingerprint& request, TimePoint lastEnd, TimePoint now) const;

private:
    std::size_t m_self = 0;
    std::size_t m_count = 1;
};

} // namespace curranttrail::policy
