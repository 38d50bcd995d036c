#pragma once

#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Adaptive limit of this instance's subqueries in flight on one server. Queueing at the server decreases the limit, because other
// instances use the server too.
class ConcurrencyLimit {
public:
    explicit ConcurrencyLimit(std::uint32_t slots);

    void setSlots(std::uint32_t slots);
    void onReply(Micros queueDelay, Micros service, std::uint32_t inFlight, TimePoint now);
    void onShed(TimePoint now);
    std::uint32_t limit() const { return static_cast<std::uint32_t>(m_limit); }

private:
    void decreaseLimit(double factor, Micros holdTime, TimePoint now);

    double m_maximumLimit = 1;
    double m_limit = 1;
    double m_queueDelay = 0;
    double m_service = 0;
    TimePoint m_holdUntil = TimePoint::min();
};

} // namespace curranttrail::policy
