#include "tools/policy_simulation.h"

#include <algorithm>
#include <cmath>

#include <boost/random/exponential_distribution.hpp>
#include <boost/random/lognormal_distribution.hpp>
#include <fmt/format.h>

// Simulation of the backend servers, links and faults of PolicySimulation.
namespace curranttrail::tools {

namespace {

    constexpr Micros kLocalDelay { 100 };
    constexpr Micros kServerListLag { 5'000'000 };
    // Both service time distributions have a mean of 4 ms.
    constexpr double kMedianServiceMicros = 3'615;
    constexpr double kServiceSpread = 0.45;
    constexpr double kMinimumServiceMicros = 3'000;
    constexpr double kMeanExtraMicros = 1'000;
    // Time after the start of a drain in which a server may still receive subqueries.
    constexpr Micros kDrainGrace { 3'000'000 };
    constexpr Micros kColdStartTime { 3'000'000 };
    constexpr Micros kSnapshotOverlap { 300'000 };
    constexpr Micros kConnectTimeout { 1'000'000 };
    constexpr std::size_t kQueueLimitPerSlot = 8;

} // namespace

Micros PolicySimulation::oneWayDelay(std::size_t entry, const Server& server) const
{
    return m_entries[entry].dataCentre == server.dataCentre ? kLocalDelay : m_deployment.interCentreDelay;
}

bool PolicySimulation::isPartitioned(std::size_t entry, const Server& server) const
{
    return m_partitionedDataCentre && (m_entries[entry].dataCentre == *m_partitionedDataCentre) != (server.dataCentre == *m_partitionedDataCentre);
}

void PolicySimulation::perform(std::size_t n, const query::OpenConnection& open)
{
    Server& server = m_servers[open.server.value - 1];
    m_entries[n].links.emplace(open.connection.value, Link { open.server, server.incarnation, false, false, std::nullopt });
    const bool partitioned = isPartitioned(n, server);
    const Micros delay = partitioned ? kConnectTimeout : server.connectionSetup + oneWayDelay(n, server) * 2;
    after(delay, [this, n, partitioned, open] {
        const auto it = m_entries[n].links.find(open.connection.value);
        if (it == m_entries[n].links.end())
            return;
        Server& target = m_servers[open.server.value - 1];
        const bool full = target.connections >= target.listed.connectionLimit;
        if (full && target.up && !partitioned)
            ++m_figures.violations.connectionsAboveLimit;
        if (partitioned || !target.up || full) {
            m_entries[n].links.erase(it);
            deliver(n, query::ConnectionLost { open.connection });
            return;
        }
        ++target.connections;
        it->second.open = true;
        it->second.incarnation = target.incarnation;
        deliver(n, query::ConnectionOpened { open.connection });
    });
}

void PolicySimulation::perform(std::size_t n, const query::CloseConnection& close)
{
    const auto it = m_entries[n].links.find(close.connection.value);
    if (it == m_entries[n].links.end())
        return;
    const Link link = it->second;
    m_entries[n].links.erase(it);
    Server& server = m_servers[link.server.value - 1];
    if (link.open && link.incarnation == server.incarnation)
        --server.connections;
    if (!link.job)
        return;
    cancelJob(*link.job);
    const AttemptId attempt = m_jobs[*link.job].request.attempt;
    after(Micros(1), [this, n, attempt, connection = close.connection] { deliver(n, query::SubqueryEnded { attempt, connection, AttemptProgress::Unknown }); });
}

void PolicySimulation::perform(std::size_t n, const query::SendSubquery& request)
{
    const auto it = m_entries[n].links.find(request.connection.value);
    if (it == m_entries[n].links.end() || !it->second.open || it->second.job) {
        after(Micros(1), [this, n, request] { deliver(n, query::SubqueryEnded { request.attempt, request.connection, AttemptProgress::NotSent }); });
        return;
    }
    const std::size_t index = m_jobs.size();
    Job job;
    job.entry = n;
    job.request = request;
    job.queryNumber = std::stoull(*request.body);
    job.expires = m_now + request.timeout;
    m_jobs.push_back(std::move(job));
    it->second.job = index;
    Server& server = m_servers[request.server.value - 1];
    if (it->second.silent || isPartitioned(n, server))
        return;
    after(oneWayDelay(n, server), [this, index] { receiveSubquery(index); });
}

void PolicySimulation::perform(std::size_t n, const query::CancelSubquery& cancel)
{
    const auto it = m_entries[n].links.find(cancel.connection.value);
    if (it == m_entries[n].links.end() || !it->second.job || m_jobs[*it->second.job].request.attempt != cancel.attempt)
        return;
    Server& server = m_servers[cancel.server.value - 1];
    if (it->second.silent || isPartitioned(n, server))
        return;
    after(oneWayDelay(n, server), [this, index = *it->second.job] {
        const bool queued = m_jobs[index].queued;
        if (!queued && !m_jobs[index].running)
            return;
        cancelJob(index);
        reply(index, queued ? query::ReplyStatus::Shed : query::ReplyStatus::Failed);
    });
}

void PolicySimulation::receiveSubquery(std::size_t index)
{
    Job& job = m_jobs[index];
    Server& server = m_servers[job.request.server.value - 1];
    if (!server.up || job.cancelled)
        return;
    if (server.draining && m_now > server.drainingSince + kDrainGrace)
        ++m_figures.violations.workForLeavingServer;
    if (server.queue.size() >= kQueueLimitPerSlot * server.listed.slots || server.draining) {
        reply(index, query::ReplyStatus::Shed);
        return;
    }
    job.queued = true;
    server.queue.push_back(index);
    startQueuedJobs(server);
}

void PolicySimulation::startQueuedJobs(Server& server)
{
    while (server.up && server.running < server.listed.slots && !server.queue.empty()) {
        const std::size_t index = server.queue.front();
        server.queue.pop_front();
        Job& job = m_jobs[index];
        if (!job.queued)
            continue;
        job.queued = false;
        const bool holds = std::any_of(server.held.begin(), server.held.end(), [&](const query::HeldShard& held) {
            return held.snapshot == job.request.snapshot && held.shard.range == job.request.shard.range;
        });
        if (!holds || m_now > job.expires) {
            reply(index, holds ? query::ReplyStatus::Shed : query::ReplyStatus::SnapshotGone);
            continue;
        }
        job.running = true;
        job.serviceTime = drawServiceTime(server);
        ++server.running;
        Query& query = m_queries.at(job.queryNumber);
        query.started = true;
        if (query.measured)
            ++query.figures->started;
        if (job.request.requestId && ++m_runs[*job.request.requestId] > 1)
            ++query.figures->duplicateRuns;
        after(job.serviceTime, [this, index, incarnation = server.incarnation] { finishJob(index, incarnation); });
    }
}

void PolicySimulation::finishJob(std::size_t index, std::uint64_t incarnation)
{
    Job& job = m_jobs[index];
    Server& server = m_servers[job.request.server.value - 1];
    if (!job.running || server.incarnation != incarnation)
        return;
    job.running = false;
    --server.running;
    reply(index, query::ReplyStatus::Ok);
    startQueuedJobs(server);
}

void PolicySimulation::cancelJob(std::size_t index)
{
    Job& job = m_jobs[index];
    job.cancelled = true;
    job.queued = false;
    if (!job.running)
        return;
    job.running = false;
    Server& server = m_servers[job.request.server.value - 1];
    --server.running;
    after(Micros(0), [this, id = job.request.server] { startQueuedJobs(m_servers[id.value - 1]); });
}

void PolicySimulation::reply(std::size_t index, query::ReplyStatus status)
{
    const Job& job = m_jobs[index];
    const Server& server = m_servers[job.request.server.value - 1];
    const auto it = m_entries[job.entry].links.find(job.request.connection.value);
    if (it == m_entries[job.entry].links.end() || it->second.silent || isPartitioned(job.entry, server))
        return;
    query::SubqueryReplied replied;
    replied.attempt = job.request.attempt;
    replied.connection = job.request.connection;
    replied.status = status;
    replied.snapshot = job.request.snapshot;
    replied.shard = job.request.shard;
    replied.payload = std::to_string(index);
    replied.serverMicros = static_cast<std::uint64_t>(job.serviceTime.count());
    replied.report = reportOf(server);
    replied.report->held.clear();
    after(oneWayDelay(job.entry, server), [this, index, replied = std::move(replied)] {
        const std::size_t entry = m_jobs[index].entry;
        const auto link = m_entries[entry].links.find(replied.connection.value);
        if (link == m_entries[entry].links.end() || link->second.job != index)
            return;
        link->second.job.reset();
        deliver(entry, replied);
    });
}

Micros PolicySimulation::drawServiceTime(const Server& server)
{
    double micros = m_scenario.serviceTime == ServiceTime::Lognormal
        ? boost::random::lognormal_distribution<double>(std::log(kMedianServiceMicros), kServiceSpread)(m_random)
        : kMinimumServiceMicros + boost::random::exponential_distribution<double>(1.0 / kMeanExtraMicros)(m_random);
    micros *= server.serviceTimeFactor;
    if (uniform() < m_stragglerShare)
        micros *= m_stragglerFactor;
    if (m_now < server.coldUntil)
        micros *= 1.0 + 3.0 * static_cast<double>((server.coldUntil - m_now).count()) / static_cast<double>(kColdStartTime.count());
    return Micros(static_cast<std::int64_t>(micros));
}

query::ServerReport PolicySimulation::reportOf(const Server& server) const
{
    query::ServerReport report;
    report.server = server.listed.server;
    report.load = server.reportsZeroLoad ? 0.0 : static_cast<double>(server.running + server.queue.size()) / server.listed.slots;
    report.draining = server.draining;
    report.held = server.held;
    return report;
}

void PolicySimulation::sendReport(std::size_t n, const Server& server)
{
    if (!server.up || isPartitioned(n, server))
        return;
    after(m_reportLag + oneWayDelay(n, server), [this, n, report = reportOf(server)] { deliver(n, report); });
}

void PolicySimulation::sendServerList(Micros delay)
{
    query::ServerListChanged changed;
    for (const Server& server : m_servers) {
        if (!server.up)
            continue;
        changed.servers.push_back(server.listed);
        changed.servers.back().leaving = server.draining;
    }
    after(delay, [this, changed] {
        for (std::size_t n = 0; n < m_entries.size(); ++n)
            deliver(n, changed);
    });
}

void PolicySimulation::resetConnections(ServerId id)
{
    const Server& server = m_servers[id.value - 1];
    for (std::size_t n = 0; n < m_entries.size(); ++n) {
        std::vector<std::pair<ConnectionId, Link>> lost;
        for (const auto& [connection, link] : m_entries[n].links) {
            if (link.server == id && link.open)
                lost.emplace_back(ConnectionId { connection }, link);
        }
        std::sort(lost.begin(), lost.end(), [](const auto& a, const auto& b) { return a.first < b.first; });
        for (const auto& [connection, link] : lost) {
            m_entries[n].links.erase(connection.value);
            if (link.job)
                cancelJob(*link.job);
            const std::optional<AttemptId> attempt = link.job ? std::optional(m_jobs[*link.job].request.attempt) : std::nullopt;
            after(oneWayDelay(n, server), [this, n, connection = connection, attempt] {
                if (attempt)
                    deliver(n, query::SubqueryEnded { *attempt, connection, AttemptProgress::BytesSent });
                deliver(n, query::ConnectionLost { connection });
            });
        }
    }
}

void PolicySimulation::apply(const Fault& fault)
{
    const std::size_t mainServers = m_deployment.mainCollection.shards * m_deployment.mainCollection.replicas;
    switch (fault.kind) {
    case FaultKind::Stragglers:
        m_stragglerShare = fault.share;
        m_stragglerFactor = fault.factor;
        break;
    case FaultKind::Slow:
        for (std::size_t s = 0; s < fault.count; ++s)
            m_servers[s * 3].serviceTimeFactor = fault.factor;
        break;
    case FaultKind::Kill:
        for (std::size_t s = 0; s < fault.count; ++s) {
            Server& server = m_servers[s * 3 + 1];
            server.up = false;
            resetConnections(server.listed.server);
            server.queue.clear();
            server.running = 0;
            server.connections = 0;
            ++server.incarnation;
        }
        sendServerList(kServerListLag);
        break;
    case FaultKind::ColdRestart:
        restart(fault);
        break;
    case FaultKind::ReportLag:
        m_reportLag = fault.duration;
        break;
    case FaultKind::FalseLoadReports:
        for (std::size_t s = 0; s < mainServers; s += static_cast<std::size_t>(1.0 / fault.share)) {
            m_servers[s].reportsZeroLoad = true;
            m_servers[s].serviceTimeFactor = fault.factor;
        }
        break;
    case FaultKind::UrgentLoad:
        m_urgentFactor = fault.factor;
        break;
    case FaultKind::IndexSwitch:
        switchSnapshot(fault, false);
        break;
    case FaultKind::Repartition:
        switchSnapshot(fault, true);
        break;
    case FaultKind::DataCentrePartition:
        m_partitionedDataCentre = 0;
        after(fault.duration, [this] { m_partitionedDataCentre.reset(); });
        break;
    case FaultKind::SilentConnections:
        for (Entry& entry : m_entries) {
            std::vector<std::uint64_t> ids;
            for (const auto& [id, link] : entry.links)
                ids.push_back(id);
            std::sort(ids.begin(), ids.end());
            for (std::uint64_t id : ids) {
                Link& link = entry.links.at(id);
                link.silent = link.silent || (link.open && uniform() < fault.share);
            }
        }
        break;
    case FaultKind::Drain:
        for (std::size_t s = 0; s < fault.count; ++s) {
            m_servers[s * 3].draining = true;
            m_servers[s * 3].drainingSince = m_now;
        }
        sendServerList(kServerListLag);
        break;
    }
}

void PolicySimulation::switchSnapshot(const Fault& fault, bool repartition)
{
    const std::size_t shards = m_deployment.mainCollection.shards;
    const std::size_t replicas = m_deployment.mainCollection.replicas;
    const double half = static_cast<double>(fault.duration.count()) / 2;
    for (std::size_t s = 0; s < shards * replicas; ++s) {
        const std::size_t service = s / replicas;
        const Micros load { static_cast<std::int64_t>(uniform() * half) };
        const Micros unload { static_cast<std::int64_t>(half + uniform() * half) };
        after(load, [this, s, service, shards, repartition] {
            query::HeldShard next = m_servers[s].held.front();
            next.snapshot = { 2 };
            if (repartition)
                next.shard = shardAfterRepartition(service, shards);
            m_servers[s].held.push_back(next);
        });
        after(unload + kSnapshotOverlap, [this, s] { m_servers[s].held.erase(m_servers[s].held.begin()); });
    }
}

void PolicySimulation::restart(const Fault& fault)
{
    const std::size_t replicas = m_deployment.mainCollection.replicas;
    for (std::size_t s = 0; s < fault.count * replicas; ++s) {
        Server& server = m_servers[s];
        server.up = false;
        resetConnections(server.listed.server);
        server.queue.clear();
        server.running = 0;
        server.connections = 0;
        ++server.incarnation;
        after(fault.duration, [this, s] {
            m_servers[s].up = true;
            m_servers[s].coldUntil = m_now + kColdStartTime;
        });
    }
}

} // namespace curranttrail::tools
