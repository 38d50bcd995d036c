#pragma once

#include "core/units.h"

namespace curranttrail::routing {

// Tracks how a server's recent durations and failures compare with the usual ones for the same kind of request. Without new
// observations both estimates return to normal within seconds, so that a recovered server gets work again.
class ServerQuality {
public:
    // Records a duration as a ratio to the typical duration of its kind.
    void onDuration(double ratio, TimePoint now);
    // Records an attempt that was abandoned after this many typical durations, as a lower bound of its duration.
    void onUnanswered(double ratio, TimePoint now);
    void onOutcome(bool good, TimePoint now);

    // Returns the recent duration ratio: 1 is usual, 3 is three times as slow.
    double slowness(TimePoint now) const;
    // Returns the fraction of recent attempts that failed or were rejected.
    double failureRate(TimePoint now) const;

private:
    double m_slowness = 1;
    double m_failures = 0;
    TimePoint m_slownessAt;
    TimePoint m_failuresAt;
};

} // namespace curranttrail::routing
