#pragma once

#include "core/random.h"
#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Suspends a server after consecutive failures, and applies slow start to a new or recovered server.
class ServerHealth {
public:
    // A server that is added later begins in slow start. Servers of the first list do not.
    ServerHealth(bool startsCold, TimePoint now);

    void onReply(TimePoint now);
    void onFailure(Random& random, TimePoint now);
    // Begins slow start, as after a restart of the server.
    void beginSlowStart(TimePoint now);

    bool isSuspended(TimePoint now) const { return now < m_suspendedUntil; }
    // Returns the fraction of its normal load that the server gets, from 0.1 to 1.
    double slowStartFactor(TimePoint now) const;

private:
    std::uint32_t m_failures = 0;
    TimePoint m_suspendedUntil = TimePoint::min();
    TimePoint m_slowStartAt = TimePoint::min();
    bool m_isInSlowStart = false;
};

} // namespace curranttrail::policy
