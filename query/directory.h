#pragma once

#include "core/class_target.h"
#include "policy/admission.h"
#include "policy/hedge_budget.h"
#include "policy/latency_quantiles.h"
#include "query/reducer_context.h"
#include "query/server.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <memory>
#include <vector>

namespace curranttrail::query {

// A shard of one snapshot and the servers that hold it.
struct PlannedShard {
    ShardRange shard;
    std::vector<ServerId> holders;
};

// How one snapshot of a collection is spread over servers. The shards are disjoint.
struct SnapshotPlan {
    SnapshotVersion version;
    std::vector<PlannedShard> shards;
    // Key ranges that no usable server holds.
    std::vector<KeyRange> gaps;
    double fraction = 0;
};

// The servers of a collection and what has been observed of them together.
struct Collection {
    CollectionName name;
    std::vector<ServerId> servers;
    policy::LatencyQuantiles latency;
    policy::HedgeBudget hedges;
    policy::Admission admission;
    // Subqueries that wait in this instance.
    std::size_t waiting = 0;

    // Plans by version, rebuilt when holdings or usable servers have changed.
    std::map<SnapshotVersion, std::shared_ptr<const SnapshotPlan>> plans;
    std::shared_ptr<const SnapshotPlan> best;
    bool isStale = true;
};

// Backend servers and their collections, from the platform's list and the servers' reports.
class Directory {
public:
    explicit Directory(ReducerContext& context);

    // Takes the platform's list. Returns the servers that stopped being usable.
    std::vector<ServerId> applyList(const ServerListChanged& list);
    // Takes a report that a server made on request. Returns whether the server stopped being usable.
    bool applyReport(const ServerReport& report);
    // Takes the load and drain headers of a reply. Returns whether the server stopped being usable.
    bool applyReplyReport(const ServerReport& report);
    bool applyPeerReport(ServerId server);
    // Records that a server does not hold a snapshot that it reported earlier.
    void dropSnapshot(ServerId server, SnapshotVersion snapshot);
    // Forgets servers that left the list long ago and have no connection.
    void evictUnlisted();

    bool hasList() const { return m_hasList; }
    Server* find(ServerId id);
    const Server* find(ServerId id) const;
    Collection& collection(const CollectionName& name);
    Collection* findCollection(const CollectionName& name);
    const std::map<CollectionName, Collection>& collections() const { return m_collections; }
    // Returns the known servers in order of their ids.
    const std::vector<ServerId>& serverIds() const { return m_ids; }

    // Returns the newest snapshot that usable servers hold whole, else the one with the largest coverage, else nothing.
    std::shared_ptr<const SnapshotPlan> bestPlan(Collection& collection);
    // Returns the current plan of a snapshot, or nothing if no usable server holds it.
    std::shared_ptr<const SnapshotPlan> plan(Collection& collection, SnapshotVersion version);

private:
    bool markDraining(Server& server, const char* source, bool isFirstHand);
    void rebuild(Collection& collection);
    Micros expectedRoundTrip(const DataCentreName& dataCentre) const;
    Server& addServer(const ListedServer& listed);

    ReducerContext& m_context;
    bool m_hasList = false;
    boost::unordered_flat_map<ServerId, std::unique_ptr<Server>, std::hash<ServerId>> m_servers;
    std::vector<ServerId> m_ids;
    std::map<CollectionName, Collection> m_collections;
};

} // namespace curranttrail::query
