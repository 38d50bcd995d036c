#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"
#include "policy/connection_plan.h"
#include "policy/connection_shares.h"
#include "policy/recent_maximum.h"
#include "policy/server_capacity.h"
#include "policy/server_health.h"
#include "policy/server_rate_limit.h"
#include "routing/cold_start.h"
#include "routing/evacuation_set.h"
#include "routing/messages.h"
#include "routing/server_quality.h"

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace curranttrail::routing {

// State that this instance keeps of one backend server.
struct Server {
    Server(ServerRecord listed, TimePoint now);

    ServerRecord record;
    // Entry of the latest server list. Its address may differ from that of the open connections.
    ServerRecord latestRecord;
    policy::ServerHealth health;
    ServerQuality quality;
    // What the server takes well, as far as this instance's attempts have shown.
    policy::ServerCapacity capacity;
    // The estimate that was last logged, and when.
    policy::CapacityEstimate loggedCapacity;
    TimePoint capacityLoggedAt = TimePoint::min();
    // Set once a reply of the server has stated that it leaves. A list that still names it as good is older, or made without asking it, so
    // that this holds as long as the list names this incarnation.
    bool saysLeaving = false;
    // True while the server's data centre is evacuated.
    bool isEvacuated = false;
    // Set once the server left the list or another incarnation answered at its address.
    bool isRetired = false;
    // Time at which another incarnation answered or the listed address changed.
    TimePoint retiredAt;
    // True if the latest server list contains the server.
    bool listed = true;
    ColdStart coldStart;
    std::vector<ConnectionId> idle;
    // Number of connections, including those that are opening.
    std::uint32_t connections = 0;
    std::uint32_t opening = 0;
    // Send times of unanswered attempts. Abandoned ones remain until their reply or the end of their connection.
    std::map<AttemptId, TimePoint> unanswered;
    // Attempts that wait for a connection.
    std::vector<AttemptId> waiting;
    // The latest reported load, without the request that the report came with.
    ServerLoad load;
    // True once the server has replied that nothing runs: then it does not count the request that it replies to.
    bool reportsOtherLoadOnly = false;
    TimePoint loadReportedAt = TimePoint::min();
    // Number of this instance's attempts that the reported load included.
    std::uint32_t ownAttemptsInLoad = 0;
    TimePoint lastReply = TimePoint::min();
    // Longest recent duration of attempts, by the index of their latency profile.
    std::vector<policy::RecentMaximum> longestDurations;
    // This instance's share of the requests a second that the server says it takes from all instances together.
    std::optional<policy::ServerRateLimit> rateLimit;
    // Times at which the server last named its limit and at which that was last logged.
    TimePoint limitNamedAt = TimePoint::min();
    TimePoint limitLoggedAt = TimePoint::min();
    TimePoint restLoggedAt = TimePoint::min();
    // Time until which the server gets no requests because it asked for a rest.
    TimePoint restsUntil = TimePoint::min();
    // True from such a rest until a reply that asks for none: the server gets one request at a time.
    bool isReturning = false;
    // True after the server was silent or a connection to it failed, until a connection opens or a reply arrives. Without an open
    // connection such a server gets no requests.
    bool isUnverified = false;
    // True while it is checked whether the server has ended. It is not evicted meanwhile.
    bool isBeingChecked = false;
    // Time since which the oldest connection that is still opening has been requested.
    TimePoint openingSince = kNever;
    // Time at which the server last reset a new connection.
    TimePoint lastRejectionAt = TimePoint::min();
    // Time before which no connection is opened, set after a failed or rejected one.
    TimePoint earliestConnectAt = TimePoint::min();
    // Maximum number of connections that this instance may hold to the server.
    std::uint32_t connectionQuota = 1;
    // True if connections are planned by data centre. Those beyond the planned number are borrowed: they are closed soon after the request.
    bool isPlanned = false;
    std::uint32_t plannedQuota = 0;
    // True if one connection is kept open ahead of need.
    bool keepsWarmConnection = false;
    // Set if this instance may not keep a connection to the server because all instances share its limit. Connections are then opened
    // for a request and closed after a short idle time, so that few are open at the same moment. The value is the number of idle
    // connections that may stay longer, over all servers of the collection for which it is set.
    std::optional<std::size_t> idleConnectionLimit;

    void retire(TimePoint now);
    bool acceptsWork() const { return !isRetired && !record.leaving && !saysLeaving && !isEvacuated; }
    // Returns whether the server has sent nothing since an attempt that was sent some time ago.
    bool isSilent(TimePoint now) const;
    void recordDuration(std::size_t profile, Micros duration, TimePoint now);
    // Returns the longest recent duration of attempts with this profile, or zero if there were none.
    Micros longestDuration(std::size_t profile, TimePoint now) const;
    // Takes over the load that a reply reports; hasRun is true if the server has run the request.
    void recordLoad(const ServerLoad& reported, bool hasRun, TimePoint now);
    bool isReachable() const { return !isUnverified || connections > opening; }
    // Returns whether a request of this priority may be sent as far as the limit and the rest that the server names are concerned.
    bool isWithinLimit(std::uint32_t priority, TimePoint now) const;
    bool hasIdleConnection() const { return !idle.empty(); }
    bool canOpenConnection(TimePoint now) const;
    std::uint32_t outstandingAttempts() const { return static_cast<std::uint32_t>(unanswered.size() + waiting.size()); }
};

// Inputs to the expected cost of sending a request to a server.
struct WorkEstimate {
    // Typical duration of the request without queueing.
    Micros typical { 0 };
    // Age of an unanswered attempt above which its server counts as paused.
    Micros pauseThreshold { 0 };
    // Priority of the request. A lower value is more urgent.
    std::uint32_t priority = 0;
    // True for a request that may end the server: it goes where the fewest others would be lost.
    bool isSuspect = false;
    // Cost of a failed attempt: the delay of its retry and the use of the budget of additional attempts.
    Micros failureCost { 0 };
    // Time by which the request may take longer than usual and still meet its latency objective.
    Micros slack { 0 };
};

// Whether a request can be sent to some server of a collection now.
enum class Availability {
    // No server accepts work and can be reached.
    NoServer,
    // The limits that the servers name leave this instance no request at present.
    LimitReached,
    Available,
};

// The servers of all collections, with this instance's observations of each.
class ServerTable {
public:
    ServerTable(DataCentreName dataCentre, InstanceName self);

    // Servers that were added and servers that no longer accept new work.
    struct Changes {
        std::vector<Server*> added;
        std::vector<Server*> leaving;
    };
    // Applies a complete list.
    Changes apply(const ServerList& list, Micros age, TimePoint now);
    // Applies the changes since the last list.
    Changes apply(const ServerListDelta& delta, Micros age, TimePoint now);
    // Withdraws the servers that leave, until a list names them otherwise.
    Changes markLeaving(const std::vector<std::string>& instances);
    // The evacuated data centres. A change is followed by applyEvacuations(), which returns the servers that no longer accept new work.
    EvacuationSet& evacuations() { return m_evacuations; }
    const EvacuationSet& evacuations() const { return m_evacuations; }
    std::vector<Server*> applyEvacuations();
    // Sets the known entry instances and, as far as known, their data centres. Returns whether their number changed.
    bool setInstances(std::vector<InstanceName> instances, std::map<InstanceName, DataCentreName> dataCentres, TimePoint now);
    // Recomputes how many connections this instance may hold to each server.
    void updateConnectionQuotas(const std::map<CollectionName, CollectionSpec>& specs, TimePoint now);
    // Drops expired views of the instances. Returns whether the quotas must be recomputed.
    bool expireShares(TimePoint now);
    // Returns the highest number of instances in recent views, so that a briefly incomplete view does not raise any quota.
    std::uint32_t instanceCount(TimePoint now) const { return m_shares.maximumInstanceCount(now); }

    Server* find(const std::string& instance);
    const std::vector<Server*>& serversOf(const CollectionName& collection) const;
    // Returns the usable server with the lowest expected cost, excluding the avoided ones, or null if there is none.
    Server* choose(const CollectionName& collection, const std::vector<const Server*>& avoided, const WorkEstimate& estimate, Random& random, TimePoint now) const;
    // Returns whether another server of this data centre can take a request.
    bool hasOtherAtHome(const CollectionName& collection, const std::vector<const Server*>& avoided) const;
    Availability availability(const CollectionName& collection, std::uint32_t priority, TimePoint now) const;
    // Records a request at the servers of the collection that may get none at present. Returns whether there are such servers.
    bool recordHeldBack(const CollectionName& collection, std::uint32_t priority, TimePoint now);
    // Keeps the unspent tokens of the collection's servers for a request that is refused because of other servers.
    void keepTokens(const CollectionName& collection, TimePoint now);
    // Returns the servers that accept work and can be reached.
    std::vector<Server*> usableServers(const CollectionName& collection) const;
    // Returns the time until a server of the collection may get a request of this priority, or Micros::max() if that is unknown.
    Micros timeUntilAvailable(const CollectionName& collection, std::uint32_t priority, TimePoint now) const;
    // Recomputes the shares of the limits that servers name and forgets the limits that have ended. Returns the number of the others.
    std::size_t updateRateLimits(TimePoint now);
    // Returns whether several servers leave attempts unanswered, at least one in each other data centre, and no server of another
    // data centre replied recently.
    bool otherDataCentresAreSilent(TimePoint now) const;
    // Evicts retired servers without connections. Those that are still listed are added again after a delay.
    Changes evictRetired(TimePoint now);

    const std::unordered_map<std::string, std::unique_ptr<Server>>& all() const { return m_servers; }

private:
    void upsert(const ServerRecord& record, Micros age, TimePoint now, Changes& changes);
    static void remove(Server& server, Changes& changes);
    // Returns the sort key for choosing a subset of the servers. The order may differ between instances.
    std::pair<bool, std::size_t> preferenceRank(const Server& server) const;
    static double connectionWaitMicros(const Server& server, double typical);
    double cost(const Server& server, const WorkEstimate& estimate, TimePoint now) const;
    void updateConnectionQuota(const CollectionSpec& spec, const std::vector<Server*>& servers, TimePoint now);
    bool planConnections(const std::vector<Server*>& usable, std::uint32_t limit, bool isEnoughForAll, TimePoint now);

    const DataCentreName m_dataCentre;
    const InstanceName m_self;
    policy::ConnectionShares m_shares;
    policy::ConnectionPlan m_plan;
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    std::map<CollectionName, std::vector<Server*>> m_collections;
    EvacuationSet m_evacuations;
};

} // namespace curranttrail::routing
