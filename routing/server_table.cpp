#include "routing/server_table.h"

#include <boost/random/uniform_real_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <map>
#include <set>
#include <utility>

namespace curranttrail::routing {

namespace {
    // A reported load is ignored after this time.
    constexpr Micros kLoadReportLifetime { 150'000 };
    // Usual time to open a connection, added for a request without an idle connection.
    constexpr double kConnectCostMicros = 6'000;
    // Traffic between data centres costs a longer round trip and is billed by the byte.
    constexpr double kCrossDataCentreCostMicros = 1'500;
    // A request leaves its data centre for a connection that others may need only if it would otherwise be expected to use up this part of
    // its slack, since the rest is for what the estimate does not foresee, and only if it gains this part of a typical duration. Estimates
    // of equal servers differ by less.
    constexpr double kSlackSpentAtHome = 0.2;
    constexpr double kLeastGain = 0.3;
    // Usual length of a server's pause.
    constexpr double kPausedServerCostMicros = 90'000;
    // Makes a suspended server the last choice.
    constexpr double kSuspendedServerCostMicros = 2e6;
    // Factor by which requests take longer on a server in its cold start.
    constexpr double kColdStartSlowdown = 1.6;
    // Time until a retired server that is still listed is used again. It exceeds the delay of the server list.
    constexpr Micros kReinstatementDelay { 3'000'000 };
    // Servers answer within this time unless they pause or are far slower than usual.
    constexpr Micros kSilenceThreshold { 180'000 };
    constexpr Micros kRecentReplyAge { 300'000 };
    // Fewer silent servers may pause or fail by coincidence.
    constexpr std::size_t kMinimumSilentServers = 3;
    // Cost of each other request that a suspect would take along if it ended the server.
    constexpr double kEndangeredRequestCostMicros = 50'000;
    // Time for which a duration counts when it is estimated how long a server needs.
    constexpr Micros kDurationWindow { 10'000'000 };
    // Random cost that spreads instances with the same view over servers of similar cost.
    constexpr double kMaximumCostJitterMicros = 800;
} // namespace

Server::Server(ServerRecord listed, TimePoint now)
    : record(std::move(listed))
    , latestRecord(record)
    , health(false, now)
{
}

void Server::retire(TimePoint now)
{
    if (std::exchange(isRetired, true))
        return;
    retiredAt = now;
}

bool Server::canOpenConnection(TimePoint now) const
{
    return acceptsWork() && connections < connectionQuota && now >= earliestConnectAt;
}

bool Server::isWithinLimit(std::uint32_t priority, TimePoint now) const
{
    if (now < restsUntil || (isReturning && outstandingAttempts() > 0))
        return false;
    return coldStart.canAcquire(priority, now) && (!rateLimit || rateLimit->canAcquire(priority, now));
}

bool Server::isSilent(TimePoint now) const
{
    return std::any_of(unanswered.begin(), unanswered.end(), [&](const auto& attempt) { return now - attempt.second >= kSilenceThreshold && lastReply < attempt.second; });
}

void Server::recordDuration(std::size_t profile, Micros duration, TimePoint now)
{
    if (longestDurations.size() <= profile)
        longestDurations.resize(profile + 1, policy::RecentMaximum { kDurationWindow });
    longestDurations[profile].add(duration, now);
}

Micros Server::longestDuration(std::size_t profile, TimePoint now) const
{
    return profile < longestDurations.size() ? longestDurations[profile].longest(now) : Micros { 0 };
}

void Server::recordLoad(const ServerLoad& reported, bool hasRun, TimePoint now)
{
    load = reported;
    reportsOtherLoadOnly = reportsOtherLoadOnly || (hasRun && load.running == 0);
    if (hasRun && !reportsOtherLoadOnly)
        --load.running;
    loadReportedAt = now;
    ownAttemptsInLoad = static_cast<std::uint32_t>(unanswered.size());
}

ServerTable::ServerTable(DataCentreName dataCentre, InstanceName self)
    : m_dataCentre(std::move(dataCentre))
    , m_self(std::move(self))
{
}

ServerTable::Changes ServerTable::apply(const ServerList& list, Micros age, TimePoint now)
{
    Changes changes;
    std::set<std::string_view> named;
    for (const ServerRecord& record : list) {
        named.insert(record.instance);
        upsert(record, age, now, changes);
    }
    for (const auto& [instance, server] : m_servers) {
        if (!named.contains(instance))
            remove(*server, changes);
    }
    return changes;
}

ServerTable::Changes ServerTable::apply(const ServerListDelta& delta, Micros age, TimePoint now)
{
    Changes changes;
    for (const ServerRecord& record : delta.listed)
        upsert(record, age, now, changes);
    for (const std::string& instance : delta.removed) {
        if (Server* server = find(instance))
            remove(*server, changes);
    }
    return changes;
}

void ServerTable::upsert(const ServerRecord& record, Micros age, TimePoint now, Changes& changes)
{
    Server* server = find(record.instance);
    if (!server) {
        std::unique_ptr<Server> created = std::make_unique<Server>(record, now);
        server = created.get();
        m_servers.emplace(record.instance, std::move(created));
        m_collections[record.collection].push_back(server);
        server->coldStart.recordRemaining(record.coldStartRemaining, age, now);
        server->isEvacuated = m_evacuations.contains(record.dataCentre);
        changes.added.push_back(server);
        if (record.leaving)
            changes.leaving.push_back(server);
        return;
    }
    const bool acceptedWork = server->acceptsWork();
    // An incarnation that is listed with another address or collection may be a different server.
    if (server->record.address != record.address || server->record.collection != record.collection)
        server->retire(now);
    server->listed = true;
    server->latestRecord = record;
    server->coldStart.recordRemaining(record.coldStartRemaining, age, now);
    server->record.leaving = record.leaving;
    server->record.slots = record.slots;
    if (acceptedWork && !server->acceptsWork())
        changes.leaving.push_back(server);
}

void ServerTable::remove(Server& server, Changes& changes)
{
    server.listed = false;
    if (!std::exchange(server.isRetired, true))
        changes.leaving.push_back(&server);
}

ServerTable::Changes ServerTable::markLeaving(const std::vector<std::string>& instances)
{
    Changes changes;
    for (const std::string& instance : instances) {
        Server* server = find(instance);
        if (!server || !server->acceptsWork())
            continue;
        server->record.leaving = true;
        changes.leaving.push_back(server);
    }
    return changes;
}

std::vector<Server*> ServerTable::applyEvacuations()
{
    std::vector<Server*> withdrawn;
    for (const auto& [instance, server] : m_servers) {
        const bool acceptedWork = server->acceptsWork();
        server->isEvacuated = m_evacuations.contains(server->record.dataCentre);
        if (acceptedWork && !server->acceptsWork())
            withdrawn.push_back(server.get());
    }
    return withdrawn;
}

Server* ServerTable::find(const std::string& instance)
{
    const auto it = m_servers.find(instance);
    return it == m_servers.end() ? nullptr : it->second.get();
}

const std::vector<Server*>& ServerTable::serversOf(const CollectionName& collection) const
{
    static const std::vector<Server*> none;
    const auto it = m_collections.find(collection);
    return it == m_collections.end() ? none : it->second;
}

// Returns the time until a connection of the server becomes free. With the few connections of a plan it is that of the requests before.
double ServerTable::connectionWaitMicros(const Server& server, double typical)
{
    return server.isPlanned && server.connections > 0 ? typical * static_cast<double>(server.waiting.size() + 1) / server.connections : typical * 2;
}

double ServerTable::cost(const Server& server, const WorkEstimate& estimate, TimePoint now) const
{
    const double typical = std::max(1.0, static_cast<double>(estimate.typical.count()));
    // Beyond this number requests wait, or take as much longer.
    const double slots = server.capacity.estimate(server.record.slots, now).usableSlots;
    double attemptsAhead = server.outstandingAttempts();
    double factor = server.coldStart.isCold(now) ? kColdStartSlowdown : 1;
    factor *= server.quality.slowness(now);
    if (server.loadReportedAt != TimePoint::min() && now - server.loadReportedAt < kLoadReportLifetime) {
        const Micros age = now - server.loadReportedAt;
        const double trust = 1 - static_cast<double>(age.count()) / static_cast<double>(kLoadReportLifetime.count());
        const double otherAttempts = static_cast<double>(server.load.running + server.load.waiting) - server.ownAttemptsInLoad;
        attemptsAhead += trust * std::max(0.0, otherAttempts);
        factor *= 1 + trust * (std::max(1.0, server.load.slowdown) - 1);
    }
    // Requests beyond the free slots wait until the slots have been served once.
    double micros = typical * factor * (1 + std::max(0.0, attemptsAhead + 1 - slots) / slots + 0.1 * attemptsAhead);
    if (!server.hasIdleConnection())
        micros += server.canOpenConnection(now) || server.opening > server.waiting.size() ? kConnectCostMicros : connectionWaitMicros(server, typical * (server.isPlanned ? factor : 1));
    // A connection that has been opening for long is likely to need as long again.
    if (server.opening > 0 && server.opening == server.connections)
        micros += std::max(0.0, static_cast<double>((now - server.openingSince).count()));
    if (!server.unanswered.empty()) {
        const TimePoint oldest = std::min_element(server.unanswered.begin(), server.unanswered.end(), [](const auto& a, const auto& b) { return a.second < b.second; })->second;
        if (now - oldest > estimate.pauseThreshold && server.lastReply < oldest + estimate.pauseThreshold)
            micros += kPausedServerCostMicros;
    }
    micros += server.quality.failureRate(now) * static_cast<double>(estimate.failureCost.count());
    if (estimate.isSuspect)
        micros += attemptsAhead * kEndangeredRequestCostMicros;
    if (server.record.dataCentre != m_dataCentre)
        micros += std::max(kCrossDataCentreCostMicros, server.isPlanned ? std::max(static_cast<double>(estimate.slack.count()) * kSlackSpentAtHome, typical * kLeastGain) : 0);
    if (server.health.isSuspended(now) || now < server.earliestConnectAt)
        micros += kSuspendedServerCostMicros;
    return micros;
}

Server* ServerTable::choose(const CollectionName& collection, const std::vector<const Server*>& avoided, const WorkEstimate& estimate, Random& random, TimePoint now) const
{
    Server* best = nullptr;
    double lowestCost = 0;
    boost::random::uniform_real_distribution<double> jitter(0, kMaximumCostJitterMicros);
    for (Server* server : serversOf(collection)) {
        if (!server->acceptsWork() || !server->isReachable() || server->connectionQuota == 0 || std::find(avoided.begin(), avoided.end(), server) != avoided.end())
            continue;
        if (server->connections == 0 && !server->canOpenConnection(now))
            continue;
        if (!server->isWithinLimit(estimate.priority, now))
            continue;
        const double micros = cost(*server, estimate, now) + jitter(random);
        if (best && micros >= lowestCost)
            continue;
        best = server;
        lowestCost = micros;
    }
    return best;
}

bool ServerTable::hasOtherAtHome(const CollectionName& collection, const std::vector<const Server*>& avoided) const
{
    const std::vector<Server*>& servers = serversOf(collection);
    return std::any_of(servers.begin(), servers.end(), [&](const Server* server) {
        return server->record.dataCentre == m_dataCentre && server->acceptsWork() && server->isReachable() && server->connectionQuota > 0 && std::find(avoided.begin(), avoided.end(), server) == avoided.end();
    });
}

std::vector<Server*> ServerTable::usableServers(const CollectionName& collection) const
{
    std::vector<Server*> usable = serversOf(collection);
    std::erase_if(usable, [](const Server* server) { return !server->acceptsWork() || !server->isReachable(); });
    return usable;
}

Availability ServerTable::availability(const CollectionName& collection, std::uint32_t priority, TimePoint now) const
{
    Availability best = Availability::NoServer;
    for (const Server* server : serversOf(collection)) {
        if (!server->acceptsWork() || !server->isReachable())
            continue;
        if (server->isWithinLimit(priority, now))
            return Availability::Available;
        best = Availability::LimitReached;
    }
    return best;
}

bool ServerTable::recordHeldBack(const CollectionName& collection, std::uint32_t priority, TimePoint now)
{
    bool isHeldBack = false;
    for (Server* server : serversOf(collection)) {
        if (!server->acceptsWork() || !server->isReachable() || server->isWithinLimit(priority, now))
            continue;
        if (server->rateLimit)
            server->rateLimit->onHeldBack(priority, now);
        server->coldStart.onHeldBack(priority, now);
        isHeldBack = true;
    }
    return isHeldBack;
}

void ServerTable::keepTokens(const CollectionName& collection, TimePoint now)
{
    for (Server* server : serversOf(collection)) {
        if (server->rateLimit)
            server->rateLimit->keepToken(now);
        server->coldStart.keepToken(now);
    }
}

Micros ServerTable::timeUntilAvailable(const CollectionName& collection, std::uint32_t priority, TimePoint now) const
{
    Micros shortest = Micros::max();
    for (const Server* server : serversOf(collection)) {
        if (!server->acceptsWork() || !server->isReachable())
            continue;
        const Micros rest = now < server->restsUntil ? std::chrono::duration_cast<Micros>(server->restsUntil - now) : Micros { 0 };
        const Micros limit = server->rateLimit ? server->rateLimit->timeUntilAvailable(priority, now) : Micros { 0 };
        shortest = std::min(shortest, std::max({ rest, limit, server->coldStart.timeUntilAvailable(priority, now) }));
    }
    return shortest;
}

std::size_t ServerTable::updateRateLimits(TimePoint now)
{
    std::size_t limited = 0;
    for (const auto& [instance, server] : m_servers) {
        if (server->rateLimit && !server->rateLimit->update(instanceCount(now), now))
            server->rateLimit.reset();
        limited += server->rateLimit ? 1 : 0;
    }
    return limited;
}

bool ServerTable::otherDataCentresAreSilent(TimePoint now) const
{
    std::map<DataCentreName, std::size_t> silent;
    std::size_t total = 0;
    for (const auto& [instance, server] : m_servers) {
        if (server->record.dataCentre == m_dataCentre || !server->acceptsWork())
            continue;
        if (server->lastReply != TimePoint::min() && now - server->lastReply < kRecentReplyAge)
            return false;
        const std::size_t count = server->isSilent(now) || !server->isReachable() ? 1 : 0;
        silent[server->record.dataCentre] += count;
        total += count;
    }
    // A data centre without a silent server may just have got no request lately.
    return total >= kMinimumSilentServers && std::all_of(silent.begin(), silent.end(), [](const auto& entry) { return entry.second > 0; });
}

ServerTable::Changes ServerTable::evictRetired(TimePoint now)
{
    ServerList reinstated;
    for (auto it = m_servers.begin(); it != m_servers.end();) {
        const Server& server = *it->second;
        const bool canReinstate = server.listed && now - server.retiredAt >= kReinstatementDelay;
        if (!server.isRetired || server.isBeingChecked || server.connections > 0 || server.outstandingAttempts() > 0 || (server.listed && !canReinstate)) {
            ++it;
            continue;
        }
        if (server.listed)
            reinstated.emplace_back(server.latestRecord).coldStartRemaining = server.coldStart.remaining(now);
        const auto collection = m_collections.find(server.record.collection);
        std::erase(collection->second, &server);
        if (collection->second.empty())
            m_collections.erase(collection);
        it = m_servers.erase(it);
    }
    Changes changes;
    for (const ServerRecord& record : reinstated)
        upsert(record, Micros { 0 }, now, changes);
    return changes;
}

} // namespace curranttrail::routing
