#pragma once

#include "core/random.h"
#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Suspends a server after failures in a row and lets load on a new or recovered server grow over time.
class ServerHealth {
public:
    // A server that joins a running instance may be cold; those of the first list are taken as warm.
    ServerHealth(bool startsCold, TimePoint now);

    void onReply(TimePoint now);
    void onFailure(Random& random, TimePoint now);
    // Starts slow start again, for a server that restarted.
    void beginSlowStart(TimePoint now);

    bool isSuspended(TimePoint now) const { return now < m_suspendedUntil; }
    // Returns the share of normal load that the server takes, from 0.1 to 1.
    double slowStartFactor(TimePoint now) const;

private:
    std::uint32_t m_failures = 0;
    TimePoint m_suspendedUntil = TimePoint::min();
    TimePoint m_slowStartAt = TimePoint::min();
    bool m_isInSlowStart = false;
};

} // namespace curranttrail::policy
