#include "routing/server_table.h"

#include <algorithm>
#include <utility>

// How many connections this instance may hold to each server, and which it keeps open.

namespace curranttrail::routing {

namespace {
    // With more connections, requests would only queue at the server instead of here.
    constexpr std::uint32_t kMaximumConnectionsPerServer = 6;
    // A smaller subset of connected servers leaves no second choice while one of them is slow.
    constexpr std::size_t kMinimumKeptServers = 2;
    // Idle connections that are kept anyway may take this part of the usable limit. Instances choose their servers independently, so
    // some servers get more than the mean, and requests need connections as well.
    constexpr double kIdleShareOfLimit = 0.7;
    constexpr std::size_t kRoundingSteps = 1'000;
    // Connections of one instance to a server whose limit all instances share. Overlapping requests need a second one.
    constexpr std::uint32_t kMaximumSharedConnections = 2;
    // With fewer connections of each instance to a server, the data centres matter.
    constexpr double kMinimumUnplannedQuota = 2;
    // Connections beyond the plan to the server at home, while those of the plan are busy, and to servers for which the plan gives none. They
    // are closed soon after the request.
    constexpr std::uint32_t kBorrowedConnections = 1;
    // The rest of a server's connection limit is left for instances that are not known yet and for its other clients.
    constexpr double kUsableLimitShare = 0.85;
} // namespace

bool ServerTable::setInstances(std::vector<InstanceName> instances, std::map<InstanceName, DataCentreName> dataCentres, TimePoint now)
{
    if (!dataCentres.empty()) {
        dataCentres[m_self] = m_dataCentre;
        m_plan.setInstances(m_self, std::move(dataCentres), now);
    }
    const std::uint32_t before = m_shares.instanceCount();
    m_shares.setInstances(m_self, std::move(instances), now);
    return m_shares.instanceCount() != before;
}

bool ServerTable::expireShares(TimePoint now)
{
    const bool hasPlanGrown = m_plan.expire(now);
    return m_shares.expire(now) || hasPlanGrown;
}

void ServerTable::updateConnectionQuotas(const std::map<CollectionName, CollectionSpec>& specs, TimePoint now)
{
    // Servers of a collection that is not in the route document yet, as after a repartitioning of the index, are connected in
    // advance. Until its connection limit is known, the lowest limit of the known collections applies.
    CollectionSpec fallback;
    for (const auto& [name, spec] : specs)
        fallback.connectionLimit = fallback.connectionLimit == 0 ? spec.connectionLimit : std::min(fallback.connectionLimit, spec.connectionLimit);
    for (const auto& [name, servers] : m_collections) {
        const auto spec = specs.find(name);
        updateConnectionQuota(spec == specs.end() ? fallback : spec->second, servers, now);
    }
}

// If each instance may hold at least one connection to every server, connections are kept open. If it is hardly one, or less, they are
// planned by data centre. Where that is not possible, an instance keeps them to a subset of the servers, of its own data centre first, if
// that leaves a second choice, and opens others when needed. With still more instances each sends so few requests that the servers would
// close its idle connections: all are opened when needed.
void ServerTable::updateConnectionQuota(const CollectionSpec& spec, const std::vector<Server*>& servers, TimePoint now)
{
    const double limit = spec.connectionLimit * kUsableLimitShare;
    const double instances = m_shares.maximumInstanceCount(now);
    std::vector<Server*> usable;
    for (Server* server : servers) {
        server->connectionQuota = 0;
        server->keepsWarmConnection = false;
        server->idleConnectionLimit.reset();
        server->isPlanned = false;
        if (server->acceptsWork())
            usable.push_back(server);
    }
    if (limit < instances * kMinimumUnplannedQuota && planConnections(usable, static_cast<std::uint32_t>(limit), limit >= instances, now))
        return;
    if (limit >= instances) {
        for (Server* server : usable) {
            server->connectionQuota = std::min(static_cast<std::uint32_t>(limit / instances), kMaximumConnectionsPerServer);
            server->keepsWarmConnection = true;
        }
        return;
    }
    const std::size_t share = std::min(static_cast<std::size_t>(limit * static_cast<double>(usable.size()) / instances), usable.size());
    const std::size_t kept = share >= kMinimumKeptServers ? share : 0;
    // The fraction of the idle share is rounded up by as many of the instances.
    const double exactIdleShare = limit * kIdleShareOfLimit * static_cast<double>(usable.size()) / instances;
    const double rounding = static_cast<double>(std::hash<std::string> {}(m_self + '/' + spec.name) % kRoundingSteps) / kRoundingSteps;
    const std::size_t idleShare = static_cast<std::size_t>(exactIdleShare + rounding);
    std::partial_sort(usable.begin(), usable.begin() + static_cast<std::ptrdiff_t>(kept), usable.end(),
        [this](const Server* a, const Server* b) { return preferenceRank(*a) < preferenceRank(*b); });
    for (std::size_t n = 0; n < usable.size(); ++n) {
        usable[n]->connectionQuota = kept > 0 ? 1 : kMaximumSharedConnections;
        usable[n]->keepsWarmConnection = n == 0 && kept > 0;
        if (n >= kept)
            usable[n]->idleConnectionLimit = kept > 0 ? 0 : idleShare;
    }
}

// Sets the quotas by the plan. Returns false if there is none.
bool ServerTable::planConnections(const std::vector<Server*>& usable, std::uint32_t limit, bool isEnoughForAll, TimePoint now)
{
    if (usable.empty() || m_shares.isFirstView())
        return false;
    std::vector<policy::ConnectionPlan::Server> servers;
    servers.reserve(usable.size());
    for (const Server* server : usable)
        servers.push_back({ server->record.instance, server->record.dataCentre });
    const std::optional<std::vector<policy::ConnectionPlan::Allotment>> allotments = m_plan.allot(usable.front()->record.collection, limit, servers, now);
    if (!allotments)
        return false;
    for (std::size_t n = 0; n < usable.size(); ++n) {
        const policy::ConnectionPlan::Allotment& allotment = (*allotments)[n];
        usable[n]->isPlanned = true;
        usable[n]->plannedQuota = allotment.quota;
        usable[n]->connectionQuota = allotment.quota + (allotment.isHome || allotment.quota == 0 ? kBorrowedConnections : 0);
        usable[n]->keepsWarmConnection = allotment.isHome || (isEnoughForAll && allotment.quota > 0);
        if (allotment.quota == 0)
            usable[n]->idleConnectionLimit = 0;
    }
    return true;
}

std::pair<bool, std::size_t> ServerTable::preferenceRank(const Server& server) const
{
    return { server.record.dataCentre != m_dataCentre, std::hash<std::string> {}(m_self + '/' + server.record.instance) };
}

} // namespace curranttrail::routing
