#include "control/server_list_schedule.h"

#include <algorithm>
#include <utility>

namespace curranttrail::control {

namespace {
    constexpr Micros kFetchInterval { 1'000'000 };
    // Longer than an election usually takes, and short enough for servers that leave to be named in time.
    constexpr Micros kFetchDelayWithoutLeader { 1'500'000 };
}

std::optional<ServerListSchedule::Fetch> ServerListSchedule::next(const ReplicaStatus& status, std::size_t sharers, TimePoint now)
{
    const bool leads = status.role == Role::Leader && status.leaseValid;
    if (!leads && status.timeWithoutLeader < kFetchDelayWithoutLeader)
        return std::nullopt;
    // A list that was fetched without a leader may not be published by one.
    const bool wasWithoutLeader = std::exchange(m_withoutLeader, !leads);
    if (m_lastFetch && now - *m_lastFetch < kFetchInterval && !(leads && wasWithoutLeader))
        return std::nullopt;
    m_lastFetch = now;
    return leads ? Fetch {} : Fetch { 1 / static_cast<double>(std::max<std::size_t>(1, sharers)), true };
}

} // namespace curranttrail::control
