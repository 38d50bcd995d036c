#pragma once

#include "core/units.h"

#include <deque>

namespace curranttrail::policy {

// Longest of the durations that were observed within a time window.
class RecentMaximum {
public:
    explicit RecentMaximum(Micros window)
        : m_window(window)
    {
    }

    void add(Micros duration, TimePoint now);
    // Returns zero if nothing was observed within the window.
    Micros longest(TimePoint now) const;

private:
    struct Sample {
        TimePoint at;
        Micros duration { 0 };
    };

    Micros m_window;
    // Durations decrease from the front to the back: a sample with a longer one after it can never be the longest again.
    std::deque<Sample> m_samples;
};

} // namespace curranttrail::policy
