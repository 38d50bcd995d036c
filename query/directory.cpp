#include "query/directory.h"

#include "policy/key_coverage.h"
#include "query/events.h"

#include <algorithm>
#include <tuple>

namespace curranttrail::query {

namespace {
    // A report sent just before the server began to drain may arrive after the drain signal from another connection.
    constexpr Micros kStaleReportWindow { 200'000 };
    // Retention of unlisted servers, so that a server missing from the list for a short time keeps its drain signal.
    constexpr Micros kUnlistedRetention { 600'000'000 };
    constexpr Micros kDefaultRoundTrip { 1'000 };

    bool sameHoldings(const std::vector<HeldShard>& a, const std::vector<HeldShard>& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](const HeldShard& x, const HeldShard& y) {
            return x.snapshot == y.snapshot && x.shard.range == y.shard.range && x.shard.shard == y.shard.shard;
        });
    }
} // namespace

Directory::Directory(ReducerContext& context)
    : m_context(context)
{
}

Server* Directory::find(ServerId id)
{
    const decltype(m_servers)::iterator it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : it->second.get();
}

const Server* Directory::find(ServerId id) const
{
    const decltype(m_servers)::const_iterator it = m_servers.find(id);
    return it == m_servers.end() ? nullptr : it->second.get();
}

Collection& Directory::collection(const CollectionName& name)
{
    Collection& collection = m_collections[name];
    if (collection.name.empty())
        collection.name = name;
    return collection;
}

Collection* Directory::findCollection(const CollectionName& name)
{
    const std::map<CollectionName, Collection>::iterator it = m_collections.find(name);
    return it == m_collections.end() ? nullptr : &it->second;
}

Micros Directory::expectedRoundTrip(const DataCentreName& dataCentre) const
{
    if (dataCentre == m_context.options.dataCentre)
        return Micros { 0 };
    const std::map<DataCentreName, Micros>::const_iterator it = m_context.options.distances.find(dataCentre);
    return it == m_context.options.distances.end() ? kDefaultRoundTrip : it->second;
}

Server& Directory::addServer(const ListedServer& listed)
{
    std::unique_ptr<Server>& server = m_servers[listed.server];
    m_ids.insert(std::lower_bound(m_ids.begin(), m_ids.end(), listed.server), listed.server);
    server = std::make_unique<Server>(listed, expectedRoundTrip(listed.dataCentre), m_hasList, m_context.now);
    collection(listed.collection).servers.push_back(listed.server);
    return *server;
}

std::vector<ServerId> Directory::applyList(const ServerListChanged& list)
{
    std::vector<ServerId> wereUsable;
    for (const auto& [id, server] : m_servers) {
        if (!server->isLeaving())
            wereUsable.push_back(id);
        if (server->isListed)
            server->unlistedAt = m_context.now;
        server->isListed = false;
    }
    std::sort(wereUsable.begin(), wereUsable.end());
    for (const ListedServer& listed : list.servers) {
        Server* server = find(listed.server);
        if (server && server->listing.collection != listed.collection) {
            std::erase(collection(server->listing.collection).servers, listed.server);
            collection(server->listing.collection).isStale = true;
            collection(listed.collection).servers.push_back(listed.server);
        }
        if (!server)
            server = &addServer(listed);
        else if (server->unlistedAt != m_context.now && !server->isListed)
            server->health.beginSlowStart(m_context.now);
        // A list that still reports the server as live does not cancel its drain signal, which is stored separately.
        server->listing = listed;
        server->isListed = true;
        server->limit.setSlots(listed.slots);
    }
    m_hasList = true;
    for (auto& [name, collection] : m_collections)
        collection.isStale = true;

    std::vector<ServerId> unusableServers;
    for (ServerId id : wereUsable) {
        const Server& server = *find(id);
        if (!server.isLeaving())
            continue;
        unusableServers.push_back(id);
        m_context.log(events::kServerLeaving, { { "server", server.listing.name }, { "source", "platform_list" } });
    }
    return unusableServers;
}

bool Directory::markDraining(Server& server, const char* source, bool isFirstHand)
{
    const bool first = !server.isLeaving();
    server.lastDrainSignalAt = m_context.now;
    if (!first)
        return false;
    collection(server.listing.collection).isStale = true;
    m_context.log(events::kServerLeaving, { { "server", server.listing.name }, { "source", source } });
    if (isFirstHand)
        m_context.emit(AnnounceLeaving { server.listing.server });
    return true;
}

bool Directory::applyReport(const ServerReport& report)
{
    Server* server = find(report.server);
    if (!server)
        return false;
    server->estimate.onReport(report.load, m_context.now);
    if (!sameHoldings(server->held, report.held)) {
        server->held = report.held;
        collection(server->listing.collection).isStale = true;
    }
    if (report.draining)
        return markDraining(*server, "server_report", true);
    if (!server->lastDrainSignalAt || m_context.now - *server->lastDrainSignalAt < kStaleReportWindow)
        return false;
    server->lastDrainSignalAt.reset();
    server->health.beginSlowStart(m_context.now);
    collection(server->listing.collection).isStale = true;
    m_context.log(events::kServerReturned, { { "server", server->listing.name } });
    return false;
}

bool Directory::applyReplyReport(const ServerReport& report)
{
    Server* server = find(report.server);
    if (!server)
        return false;
    server->estimate.onReport(report.load, m_context.now);
    // A reply may have been written before the drain began, so it never cancels a drain signal.
    return report.draining && markDraining(*server, "reply", true);
}

bool Directory::applyPeerReport(ServerId id)
{
    Server* server = find(id);
    return server && markDraining(*server, "peer", false);
}

void Directory::dropSnapshot(ServerId id, SnapshotVersion snapshot)
{
    Server* server = find(id);
    if (!server)
        return;
    const std::size_t dropped = std::erase_if(server->held, [&](const HeldShard& held) { return held.snapshot == snapshot; });
    if (dropped > 0)
        collection(server->listing.collection).isStale = true;
}

void Directory::evictUnlisted()
{
    std::vector<ServerId> evicted;
    for (ServerId id : m_ids) {
        const Server& server = *find(id);
        if (server.isListed || m_context.now - server.unlistedAt < kUnlistedRetention || server.connections() > 0 || !server.waiting.empty())
            continue;
        Collection& affected = collection(server.listing.collection);
        std::erase(affected.servers, id);
        affected.isStale = true;
        evicted.push_back(id);
    }
    for (ServerId id : evicted) {
        m_servers.erase(id);
        std::erase(m_ids, id);
    }
}

void Directory::rebuild(Collection& collection)
{
    using ShardKey = std::tuple<std::uint64_t, std::uint64_t, std::string>;
    std::map<SnapshotVersion, std::map<ShardKey, std::vector<ServerId>>> holdings;
    for (ServerId id : collection.servers) {
        const Server* server = find(id);
        if (!server || server->isLeaving())
            continue;
        for (const HeldShard& held : server->held) {
            std::vector<ServerId>& holders = holdings[held.snapshot][{ held.shard.range.begin, held.shard.range.end, held.shard.shard }];
            if (holders.empty() || holders.back() != id)
                holders.push_back(id);
        }
    }
    collection.plans.clear();
    collection.best.reset();
    collection.isStale = false;
    for (const auto& [version, shards] : holdings) {
        std::vector<KeyRange> ranges;
        std::vector<const std::pair<const ShardKey, std::vector<ServerId>>*> entries;
        for (const std::pair<const ShardKey, std::vector<ServerId>>& entry : shards) {
            ranges.push_back({ std::get<0>(entry.first), std::get<1>(entry.first) });
            entries.push_back(&entry);
        }
        std::shared_ptr<SnapshotPlan> plan = std::make_shared<SnapshotPlan>();
        plan->version = version;
        policy::KeyCoverage coverage;
        for (const policy::RangePart& part : policy::KeyCoverage::partition(ranges)) {
            plan->shards.push_back({ { std::get<2>(entries[part.index]->first), part.range }, entries[part.index]->second });
            coverage.add(part.range);
        }
        plan->gaps = coverage.gaps();
        plan->fraction = coverage.fraction();
        // Versions are in ascending order, so the newer one is chosen at equal coverage.
        if (!collection.best || plan->fraction >= collection.best->fraction)
            collection.best = plan;
        collection.plans.emplace(version, std::move(plan));
    }
}

std::shared_ptr<const SnapshotPlan> Directory::bestPlan(Collection& collection)
{
    if (collection.isStale)
        rebuild(collection);
    return collection.best && collection.best->fraction > 0 ? collection.best : nullptr;
}

std::shared_ptr<const SnapshotPlan> Directory::plan(Collection& collection, SnapshotVersion version)
{
    if (collection.isStale)
        rebuild(collection);
    const std::map<SnapshotVersion, std::shared_ptr<const SnapshotPlan>>::const_iterator it = collection.plans.find(version);
    return it == collection.plans.end() ? nullptr : it->second;
}

} // namespace curranttrail::query
