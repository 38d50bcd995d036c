#pragma once

#include "core/random.h"
#include "core/units.h"
#include "policy/token_bucket.h"

#include <cstdint>
#include <map>
#include <optional>

namespace curranttrail::policy {

// How many requests may come at once after a pause, in relation to the limit.
struct RateLimitBurst {
    // Unspent tokens of this time are kept, but at least one.
    double seconds = 0.75;
    // Mean number of instances that hold an unspent token at the same moment, for each request a second of the limit. With more
    // instances than that, tokens that are not needed are lost after a lifetime that keeps to it.
    double holdersPerRequest = 1.2;
};

// One instance's share of the requests a second that a server takes from all instances together. Each instance holds an equal share
// and keeps to it without asking others. Where there are many more instances than the server takes requests a second, an unspent token
// is lost after a short time, so that few instances hold one at the same moment and all of them together cannot save up a burst.
class ServerRateLimit {
public:
    // The share is empty at first. Instances that learn of a limit at the same moment get their first tokens at different times.
    ServerRateLimit(double requestsPerSecond, std::uint32_t instances, Random& random, TimePoint now, RateLimitBurst burst = {});

    // The server named its limit again.
    void onNamed(double requestsPerSecond, TimePoint now);
    // The server sent a reply that names no limit. The share then grows for some seconds until the limit ends. Returns false if that
    // had begun before.
    bool onUnnamed(TimePoint now);
    // Recomputes the share. Returns false once the limit has ended.
    bool update(std::uint32_t instances, TimePoint now);

    // Requests of a less urgent class get what the more urgent ones leave, but at least a part of the share. A lower priority value is
    // more urgent.
    bool canAcquire(std::uint32_t priority, TimePoint now) const;
    // Takes a token for a request that is sent to the server.
    bool tryAcquire(std::uint32_t priority, TimePoint now);
    // Returns the token of a request that was not sent.
    void release(TimePoint now) { m_bucket.add(1, now); }
    // Records a request that was not sent for want of a token.
    void onHeldBack(std::uint32_t priority, TimePoint now) { recordDemand(priority, now); }
    // Keeps an unspent token for another lifetime, because a request that needs it waits for another server.
    void keepToken(TimePoint now);
    // Returns the time until a request may be sent, or Micros::max() if that is unknown.
    Micros timeUntilAvailable(std::uint32_t priority, TimePoint now) const;

    double requestsPerSecond() const { return m_requestsPerSecond; }
    // Returns the requests a second that this instance may send.
    double share() const { return m_share; }

private:
    struct PriorityClass {
        TokenBucket bucket;
        // Weight of the recent requests, sent or held back, which decays exponentially.
        double demand = 0;
        TimePoint demandAt;
    };

    double currentLimit(TimePoint now) const;
    void expireToken(TimePoint now);
    void recordDemand(std::uint32_t priority, TimePoint now);
    // Returns the requests a second of the classes that are more urgent.
    double moreUrgentDemand(std::uint32_t priority, TimePoint now) const;

    RateLimitBurst m_burst;
    double m_requestsPerSecond = 0;
    std::uint32_t m_instances = 1;
    double m_share = 0;
    TokenBucket m_bucket;
    std::map<std::uint32_t, PriorityClass> m_classes;
    // Time since which the share has held an unspent token.
    std::optional<TimePoint> m_tokenSince;
    std::optional<TimePoint> m_endingSince;
};

} // namespace curranttrail::policy
