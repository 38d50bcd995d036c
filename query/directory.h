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

// A shard of one snapshot with the servers that hold it.
struct PlannedShard {
    ShardRange shard;
    std::vector<ServerId> holders;
};

// Placement of one snapshot of a collection on servers. The shards are disjoint.
struct SnapshotPlan {
    SnapshotVersion version;
    std::vector<PlannedShard> shards;
    // Key ranges that no usable server holds.
    std::vector<KeyRange> gaps;
    // Fraction of the key space that the shards cover, from 0 to 1.
    double fraction = 0;
};

// The servers of a collection and the statistics observed for the collection as a whole.
struct Collection {
    CollectionName name;
    std::vector<ServerId> servers;
    policy::LatencyQuantiles latency;
    policy::HedgeBudget hedges;
    policy::Admission admission;
    // Number of subqueries queued in this instance.
    std::size_t waiting = 0;

    // Plans by snapshot version. Rebuilt when held shards or usable servers have changed.
    std::map<SnapshotVersion, std::shared_ptr<const SnapshotPlan>> plans;
    std::shared_ptr<const SnapshotPlan> best;
    // True if the plans must be rebuilt.
    bool isStale = true;
};

// Backend servers and their collections, kept from the platform's list and the servers' reports.
class Directory {
public:
    explicit Directory(ReducerContext& context);

    // Applies the platform's list. Returns the servers that stopped being usable.
    std::vector<ServerId> applyList(const ServerListChanged& list);
    // Applies a polled server report. Returns whether the server stopped being usable.
    bool applyReport(const ServerReport& report);
    // Applies the load and drain headers of a reply. Returns whether the server stopped being usable.
    bool applyReplyReport(const ServerReport& report);
    // Applies another instance's report that a server is leaving. Returns whether the server stopped being usable.
    bool applyPeerReport(ServerId server);
    // Records that a server no longer holds a snapshot that it reported earlier.
    void dropSnapshot(ServerId server, SnapshotVersion snapshot);
    // Evicts servers without connections that left the list longer ago than the retention period.
    void evictUnlisted();

    bool hasList() const { return m_hasList; }
    Server* find(ServerId id);
    const Server* find(ServerId id) const;
    Collection& collection(const CollectionName& name);
    Collection* findCollection(const CollectionName& name);
    const std::map<CollectionName, Collection>& collections() const { return m_collections; }
    // Returns the known servers in order of their ids.
    const std::vector<ServerId>& serverIds() const { return m_ids; }

    // Returns the newest snapshot that usable servers hold completely, else the one with the highest coverage, or null.
    std::shared_ptr<const SnapshotPlan> bestPlan(Collection& collection);
    // Returns the current plan of a snapshot, or null if no usable server holds any of it.
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
