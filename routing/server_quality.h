#pragma once

#include "core/units.h"

namespace curranttrail::routing {

// How a server's recent replies compare with what is usual for their kind of work. Without news both figures return to the
// usual ones within seconds, so that a server which recovered gets work again.
class ServerQuality {
public:
    // The ratio of a duration to the typical duration of its kind.
    void onDuration(double ratio, TimePoint now);
    // An attempt was given up after this many typical durations; its reply would have taken longer.
    void onUnanswered(double ratio, TimePoint now);
    void onOutcome(bool good, TimePoint now);

    // 1 is usual, 3 is three times as slow.
    double slowness(TimePoint now) const;
    // The share of recent attempts that failed or were rejected.
    double failureRate(TimePoint now) const;

private:
    double m_slowness = 1;
    double m_failures = 0;
    TimePoint m_slownessAt;
    TimePoint m_failuresAt;
};

} // namespace curranttrail::routing
