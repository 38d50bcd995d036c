#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"
#include "policy/connection_shares.h"
#include "policy/server_health.h"
#include "routing/messages.h"
#include "routing/server_quality.h"

#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <utility>
#include <vector>

namespace curranttrail::routing {

// A backend server as this instance sees it.
struct Server {
    Server(ServerRecord listed, TimePoint now);

    ServerRecord record;
    // What the newest list says of it; its address may differ from that of the connections.
    ServerRecord latestRecord;
    policy::ServerHealth health;
    ServerQuality quality;
    // Set once the list no longer names it, or another incarnation answered at its address.
    bool isRetired = false;
    // When another incarnation answered or the address changed.
    TimePoint retiredAt;
    // Whether the newest list names it.
    bool listed = true;
    TimePoint coldUntil;
    std::vector<ConnectionId> idle;
    std::uint32_t connections = 0;
    std::uint32_t opening = 0;
    // Attempts sent and not answered, with the time of sending; given-up ones stay until their reply or their end.
    std::map<AttemptId, TimePoint> unanswered;
    // Attempts that wait for a connection.
    std::vector<AttemptId> waiting;
    ServerLoad load;
    TimePoint loadReportedAt = TimePoint::min();
    // The attempts of this instance that the reported load included.
    std::uint32_t ownAttemptsInLoad = 0;
    TimePoint lastReply = TimePoint::min();
    // After a connection could not be opened, no other is tried before this.
    TimePoint earliestConnectAt = TimePoint::min();
    // The connections that this instance may hold.
    std::uint32_t connectionQuota = 1;
    // Whether a connection is kept open ahead of need.
    bool keepsWarmConnection = false;

    void retire(TimePoint now);
    bool acceptsWork() const { return !isRetired && !record.leaving; }
    bool hasIdleConnection() const { return !idle.empty(); }
    bool canOpenConnection(TimePoint now) const;
    std::uint32_t outstandingAttempts() const { return static_cast<std::uint32_t>(unanswered.size() + waiting.size()); }
};

// What decides how long work on a server is expected to take.
struct WorkEstimate {
    // The typical duration of the work when nothing waits.
    Micros typical { 0 };
    // An unanswered attempt older than this marks its server as paused.
    Micros pauseThreshold { 0 };
    // What a failed attempt costs: the time until its repeat, and a part of the budget of repeats.
    Micros failureCost { 0 };
};

// The servers of all collections, with what this instance observed of each.
class ServerTable {
public:
    ServerTable(DataCentreName dataCentre, InstanceName self);

    // Takes over a complete list. Returns the servers that appeared and those that may get no new work any more.
    struct Changes {
        std::vector<Server*> appeared;
        std::vector<Server*> leaving;
    };
    Changes apply(const ServerList& list, Micros age, TimePoint now);
    // Takes over what changed since the last list.
    Changes apply(const ServerListDelta& news, Micros age, TimePoint now);
    // Returns whether the set of instances changed.
    bool setInstances(std::vector<InstanceName> instances, TimePoint now);
    // Computes anew how many connections to each server this instance may hold.
    void updateConnectionQuotas(const std::map<CollectionName, CollectionSpec>& specs, TimePoint now);
    // Returns whether shares must be computed anew because time has passed.
    bool expireShares(TimePoint now) { return m_shares.expire(now); }
    // The most instances of the last seconds, so that a view that is incomplete for a moment does not widen any share.
    std::uint32_t instanceCount(TimePoint now) const { return m_shares.largestInstanceCount(now); }

    Server* find(const std::string& instance);
    const std::vector<Server*>& serversOf(const CollectionName& collection) const;
    // Returns the usable server with the least expected time, none if there is none. The avoided ones are left out.
    Server* choose(const CollectionName& collection, const std::vector<const Server*>& avoided, const WorkEstimate& estimate, Random& random, TimePoint now) const;
    // Returns whether any server of the collection takes work.
    bool hasUsable(const CollectionName& collection) const;
    // Drops servers that are gone and have no connection left. Those that the list still names appear anew after a while.
    Changes evictRetired(TimePoint now);

    const std::unordered_map<std::string, std::unique_ptr<Server>>& all() const { return m_servers; }

private:
    void upsert(const ServerRecord& record, Micros age, TimePoint now, Changes& changes);
    static void remove(Server& server, Changes& changes);
    // The order in which this instance prefers servers of which it may use a few only. Instances need not rank alike.
    std::pair<bool, std::size_t> preferenceRank(const Server& server) const;
    double cost(const Server& server, const WorkEstimate& estimate, TimePoint now) const;
    void updateConnectionQuota(const CollectionSpec& spec, const std::vector<Server*>& servers, TimePoint now);

    const DataCentreName m_dataCentre;
    const InstanceName m_self;
    policy::ConnectionShares m_shares;
    std::unordered_map<std::string, std::unique_ptr<Server>> m_servers;
    std::map<CollectionName, std::vector<Server*>> m_collections;
};

} // namespace curranttrail::routing
