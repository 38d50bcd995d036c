#pragma once

#include "core/units.h"

#include <optional>

namespace curranttrail::policy {

// One look at two clocks: the first stops while the machine is suspended, the second does not. The first is read before and after.
struct ClockReadings {
    TimePoint before;
    TimePoint bootTime;
    TimePoint after;
};

// Finds out for how long the machine was suspended.
class SuspensionDetector {
public:
    // Returns how long the machine was suspended since the previous look; zero for the first one. Returns nothing if the process was
    // interrupted between the readings, which then tell nothing.
    std::optional<Micros> observe(const ClockReadings& readings);
    // Converts a time of the second clock to the first clock plus all suspensions since the first look.
    TimePoint unsuspended(TimePoint bootTime) const { return bootTime - m_firstDifference; }

private:
    bool m_hasLooked = false;
    Micros m_firstDifference { 0 };
    Micros m_difference { 0 };
};

} // namespace curranttrail::policy
