#pragma once

#include "core/units.h"
#include "policy/latency_quantiles.h"

#include <cstdint>

namespace curranttrail::policy {

// Tells a connection that went silent from a server that is slow on all of its connections.
class SilenceDetector {
public:
    struct Attempt {
        TimePoint sentAt;
        // Replies on other connections to the same server since the attempt was sent.
        std::uint64_t repliesElsewhere = 0;
        TimePoint lastReplyElsewhere;
    };

    // Returns how long an attempt may take before its connection is suspected.
    static Micros silenceTimeout(const LatencyQuantiles& latency);
    static bool isSilent(const Attempt& attempt, Micros silenceTimeout, TimePoint now);
    // Returns how long a cancelled attempt may keep its connection.
    static Micros cancelTimeout(const LatencyQuantiles& latency);
};

} // namespace curranttrail::policy
