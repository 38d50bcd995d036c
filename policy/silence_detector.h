#pragma once

#include "core/units.h"
#include "policy/latency_quantiles.h"

#include <cstdint>

namespace curranttrail::policy {

// Distinguishes a silent connection from a server that is slow on all of its connections.
class SilenceDetector {
public:
    struct Attempt {
        TimePoint sentAt;
        // Replies on other connections to the same server since the attempt was sent.
        std::uint64_t repliesElsewhere = 0;
        TimePoint lastReplyElsewhere;
    };

    // Returns the age of an attempt above which its connection may be silent.
    static Micros silenceTimeout(const LatencyQuantiles& latency);
    static bool isSilent(const Attempt& attempt, Micros silenceTimeout, TimePoint now);
    // Returns how long a cancelled attempt may hold its connection.
    static Micros cancelTimeout(const LatencyQuantiles& latency);
};

} // namespace curranttrail::policy
