#pragma once

#include "core/units.h"

#include <cstdint>
#include <vector>

namespace curranttrail::policy {

// Estimates when a server that runs a limited number of requests at the same time will have finished the next ones. Each request goes to
// the slot that becomes free first.
class SlotSchedule {
public:
    explicit SlotSchedule(std::uint32_t slots);

    void add(Micros work);
    // Returns the time until another request would be finished.
    Micros timeUntilFinished(Micros work) const;

private:
    std::vector<Micros> m_freeAfter;
};

} // namespace curranttrail::policy
