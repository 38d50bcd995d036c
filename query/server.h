#pragma once

#include "policy/concurrency_limit.h"
#include "policy/server_estimate.h"
#include "policy/server_health.h"
#include "query/messages.h"

#include <optional>
#include <set>
#include <tuple>
#include <vector>

namespace curranttrail::query {

// A shard queued until a server has capacity. Ordered by the time at which its class's target latency ends.
struct WaitingShard {
    TimePoint due;
    QueryId query;
    std::size_t shard = 0;
    bool operator<(const WaitingShard& other) const { return std::tie(due, query, shard) < std::tie(other.due, other.query, other.shard); }
};

// State that this instance keeps of one backend server.
struct Server {
    Server(const ListedServer& listed, Micros expectedRoundTrip, bool startsCold, TimePoint now)
        : listing(listed)
        , estimate(expectedRoundTrip)
        , health(startsCold, now)
        , limit(listed.slots)
    {
    }

    ListedServer listing;
    bool isListed = true;
    TimePoint unlistedAt;
    // Time of the latest drain signal from the server itself or from another instance.
    std::optional<TimePoint> lastDrainSignalAt;
    std::vector<HeldShard> held;

    policy::ServerEstimate estimate;
    policy::ServerHealth health;
    policy::ConcurrencyLimit limit;

    // Connections by state. Busy ones include those of abandoned attempts that have not ended.
    std::vector<ConnectionId> idle;
    std::uint32_t busy = 0;
    std::uint32_t opening = 0;
    std::uint32_t share = 0;
    std::uint64_t shareGeneration = 0;
    // Decaying maximum of busy connections. It determines how many connections are opened ahead of need.
    double busyPeak = 0;
    std::uint32_t openFailures = 0;
    TimePoint earliestOpenAt = TimePoint::min();
    TimePoint openFailedAt = TimePoint::min();
    // Latest time at which a connection was opened, or an attempt was sent that got a reply.
    TimePoint reachedAt = TimePoint::min();

    // Start of the current period in which the server is busy and has not replied.
    TimePoint noReplySince;
    std::uint64_t replies = 0;
    TimePoint repliedAt = TimePoint::min();
    std::set<WaitingShard> waiting;

    std::uint32_t connections() const { return static_cast<std::uint32_t>(idle.size()) + busy + opening; }
    bool isLeaving() const { return !isListed || listing.leaving || lastDrainSignalAt.has_value(); }
    // Returns whether a connection is open or can be expected to open soon.
    bool isReachable() const { return !idle.empty() || busy > 0 || (share > 0 && openFailures == 0); }
};

} // namespace curranttrail::query
