#include "policy/suspension_detector.h"

#include <utility>

namespace curranttrail::policy {

namespace {
    // The clocks are read within this time unless the process is interrupted.
    constexpr Micros kMaximumReadingTime { 1'000 };
    // Smaller differences come from the readings.
    constexpr Micros kMinimumSuspension { 5'000 };
} // namespace

std::optional<Micros> SuspensionDetector::observe(const ClockReadings& readings)
{
    if (readings.after - readings.before > kMaximumReadingTime)
        return std::nullopt;
    const Micros difference = std::chrono::duration_cast<Micros>(readings.bootTime - readings.after);
    if (!std::exchange(m_hasLooked, true)) {
        m_firstDifference = difference;
        m_difference = difference;
    }
    if (difference - m_difference < kMinimumSuspension)
        return Micros { 0 };
    return difference - std::exchange(m_difference, difference);
}

} // namespace curranttrail::policy
