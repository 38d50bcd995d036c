#include "policy/silence_detector.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    constexpr double kHighQuantile = 0.99;
    constexpr int kHighQuantileFactor = 3;
    // A straggler takes up to ten times the typical duration, and its connection must not be closed.
    constexpr int kMedianFactor = 20;
    constexpr Micros kMinimumSilenceTimeout { 50'000 };
    constexpr std::uint64_t kMinimumRepliesElsewhere = 2;
    constexpr Micros kMinimumCancelTimeout { 100'000 };
    constexpr Micros kMaximumCancelTimeout { 1'000'000 };
} // namespace

Micros SilenceDetector::silenceTimeout(const LatencyQuantiles& latency)
{
    return std::max({ kMinimumSilenceTimeout, kHighQuantileFactor * latency.quantile(kHighQuantile), kMedianFactor * latency.median() });
}

bool SilenceDetector::isSilent(const Attempt& attempt, Micros silenceTimeout, TimePoint now)
{
    if (now - attempt.sentAt < silenceTimeout || attempt.repliesElsewhere < kMinimumRepliesElsewhere)
        return false;
    // A server that replied early and then stalled as a whole has no recent reply.
    return attempt.lastReplyElsewhere >= attempt.sentAt + silenceTimeout / 2;
}

Micros SilenceDetector::cancelTimeout(const LatencyQuantiles& latency)
{
    return std::clamp(kMedianFactor * latency.median(), kMinimumCancelTimeout, kMaximumCancelTimeout);
}

} // namespace curranttrail::policy
