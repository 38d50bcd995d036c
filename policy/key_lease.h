#pragma once

#include "core/units.h"

namespace curranttrail::policy {

// Decides whether an instance may still admit requests by their keys, so that a withdrawn key is admitted nowhere after a given time, not
// even where the withdrawal does not arrive. All times are of a clock that counts the time in which the machine was suspended.
class KeyLease {
public:
    // Takes the time after the acknowledgement of a withdrawal from which the key must not be admitted.
    explicit KeyLease(Micros revocationLimit);

    // Records that the held document is in force, by the reply of a control leader to a request that was sent at the given time.
    void confirm(TimePoint requestSentAt);
    bool isValid(TimePoint now) const;
    // Returns the time since the latest confirmed request was sent, or the largest one if there was none.
    Micros age(TimePoint now) const;

private:
    const Micros m_duration;
    TimePoint m_confirmedAt = TimePoint::min();
};

} // namespace curranttrail::policy
