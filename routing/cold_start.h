#pragma once

#include "core/random.h"
#include "core/units.h"
#include "policy/server_rate_limit.h"

#include <chrono>
#include <cstdint>
#include <optional>

namespace curranttrail::routing {

// The cold time of one server, and this instance's share of the requests a second that it takes meanwhile from all instances together.
class ColdStart {
public:
    enum class Change {
        None,
        Began,
        Ended,
    };

    // Takes over how long the server stays cold according to news of the given age. An earlier end than known is ignored.
    void recordRemaining(Micros remaining, Micros age, TimePoint now);
    bool isCold(TimePoint now) const { return now < m_until; }
    Micros remaining(TimePoint now) const { return isCold(now) ? std::chrono::duration_cast<Micros>(m_until - now) : Micros { 0 }; }
    // Recomputes the share. A limit of 0 is none. Returns whether requests to the server are limited from now on, or no more.
    Change update(double requestsPerSecond, std::uint32_t instances, Random& random, TimePoint now);
    bool isLimited() const { return m_limit.has_value(); }
    // Returns the requests a second that this instance may send, or zero without a limit.
    double share() const { return m_limit ? m_limit->share() : 0; }

    bool canAcquire(std::uint32_t priority, TimePoint now) const { return !m_limit || m_limit->canAcquire(priority, now); }
    // Takes a token for a request. Returns false if there is none, or no limit.
    bool tryAcquire(std::uint32_t priority, TimePoint now) { return m_limit && m_limit->tryAcquire(priority, now); }
    void release(TimePoint now);
    void onHeldBack(std::uint32_t priority, TimePoint now);
    void keepToken(TimePoint now);
    Micros timeUntilAvailable(std::uint32_t priority, TimePoint now) const;

private:
    TimePoint m_until = TimePoint::min();
    std::optional<policy::ServerRateLimit> m_limit;
};

} // namespace curranttrail::routing
