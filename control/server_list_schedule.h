#pragma once

#include "control/messages.h"
#include "core/units.h"

#include <cstddef>
#include <optional>

namespace curranttrail::control {

// Decides when a control instance fetches the platform's server list. The leader fetches it all the time. While an instance knows no leader it
// fetches the list as well, because entry instances have to learn which servers leave whether or not the group can elect a leader.
class ServerListSchedule {
public:
    struct Fetch {
        // Part of the permitted call rate, between 0 and 1, that the fetch may use.
        double rateShare = 1;
        bool withoutLeader = false;
    };

    // Returns the fetch to start now, if one is due. The instances that may fetch the list at the same time share the call rate.
    std::optional<Fetch> next(const ReplicaStatus& status, std::size_t sharers, TimePoint now);
    // Lets the next fetch start without waiting for the interval.
    void fetchAtOnce() { m_lastFetch.reset(); }

private:
    std::optional<TimePoint> m_lastFetch;
    // True if the last fetch was started without a leader.
    bool m_withoutLeader = false;
};

} // namespace curranttrail::control
