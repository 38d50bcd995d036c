#include "policy/slot_schedule.h"

#include <algorithm>

namespace curranttrail::policy {

SlotSchedule::SlotSchedule(std::uint32_t slots)
    : m_freeAfter(std::max(1U, slots), Micros { 0 })
{
}

void SlotSchedule::add(Micros work)
{
    *std::min_element(m_freeAfter.begin(), m_freeAfter.end()) += work;
}

Micros SlotSchedule::timeUntilFinished(Micros work) const
{
    return *std::min_element(m_freeAfter.begin(), m_freeAfter.end()) + work;
}

} // namespace curranttrail::policy
