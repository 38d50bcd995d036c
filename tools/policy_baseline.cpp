#include "tools/policy_baseline.h"

#include <algorithm>

#include <boost/random/uniform_int_distribution.hpp>

namespace curranttrail::tools {

namespace {

    constexpr Micros kTimeout { 250'000 };
    constexpr Micros kConnectionCheckInterval { 100'000 };
    constexpr Micros kClaimTimeout { 200'000 };

} // namespace

BaselineClient::BaselineClient(std::uint64_t seed)
    : m_random(seed)
{
}

std::vector<query::Effect> BaselineClient::handle(const query::Event& event, TimePoint now)
{
    m_now = now;
    m_effects.clear();
    std::visit([this](const auto& typed) { apply(typed); }, event);
    return std::move(m_effects);
}

TimePoint BaselineClient::nextWakeup() const
{
    if (m_expiries.empty())
        return m_nextConnectionCheck;
    return std::min(m_nextConnectionCheck, m_expiries.begin()->first);
}

void BaselineClient::apply(const query::QueryArrived& arrival)
{
    PendingQuery pending;
    pending.arrival = arrival;
    for (const auto& [owner, configuration] : *m_classes) {
        const auto it = configuration.classes.find(arrival.className);
        if (it != configuration.classes.end())
            pending.target = it->second;
    }
    pending.expires = m_now + std::min(kTimeout, arrival.timeout);
    pending.body = std::make_shared<const std::string>(arrival.body);
    m_expiries.emplace(pending.expires, arrival.query);
    PendingQuery& stored = m_queries.emplace(arrival.query.value, std::move(pending)).first->second;
    if (stored.target.repeatable) {
        fanOut(stored);
        return;
    }
    m_effects.emplace_back(query::RequestClaim { arrival.query, stored.target.owner, *arrival.requestId, *arrival.issuedAt, kClaimTimeout });
}

void BaselineClient::apply(const query::CallerDisconnected& event)
{
    m_queries.erase(event.query.value);
}

void BaselineClient::apply(const query::ClaimResolved& resolved)
{
    const auto it = m_queries.find(resolved.query.value);
    if (it == m_queries.end()) {
        return;
    }
    if (resolved.outcome == query::ClaimOutcome::Granted) {
        fanOut(it->second);
        return;
    }
    query::SendRefusal refusal;
    refusal.query = resolved.query;
    refusal.reason = query::RefusalReason::ClaimUnavailable;
    if (resolved.outcome == query::ClaimOutcome::Duplicate) {
        refusal.reason = query::RefusalReason::DuplicateRequest;
        refusal.verdict = resolved.earlier;
    } else {
        m_effects.emplace_back(query::SettleClaim { it->second.target.owner, *it->second.arrival.requestId, Verdict::NotRun });
    }
    m_effects.emplace_back(std::move(refusal));
    m_queries.erase(it);
}

void BaselineClient::apply(const query::ServerReport& report)
{
    const auto it = m_servers.find(report.server.value);
    if (it == m_servers.end())
        return;
    if (!report.held.empty())
        it->second.held = report.held;
    if (report.draining)
        it->second.listed.leaving = true;
}

void BaselineClient::apply(const query::ServerListChanged& changed)
{
    for (const query::ListedServer& listed : changed.servers)
        m_servers[listed.server.value].listed = listed;
    openMissingConnections();
}

void BaselineClient::apply(const query::EntryInstancesChanged& changed)
{
    m_instances = std::max<std::size_t>(1, changed.instances.size());
}

void BaselineClient::apply(const query::ConfigurationChanged& changed)
{
    m_classes = changed.classes;
}

void BaselineClient::apply(const query::ConnectionOpened& opened)
{
    releaseConnection(opened.connection);
}

void BaselineClient::apply(const query::ConnectionLost& lost)
{
    const auto it = m_connections.find(lost.connection.value);
    if (it == m_connections.end())
        return;
    Server& server = m_servers[it->second.value];
    --server.connections;
    std::erase(server.idle, lost.connection);
    m_connections.erase(it);
}

void BaselineClient::apply(const query::SubqueryReplied& reply)
{
    const auto it = m_attempts.find(reply.attempt.value);
    const bool merge = it != m_attempts.end() && reply.status == query::ReplyStatus::Ok;
    const AttemptProgress progress = reply.status == query::ReplyStatus::Ok || reply.status == query::ReplyStatus::Failed
        ? AttemptProgress::Replied
        : AttemptProgress::RefusedBeforeWork;
    endAttempt(reply.attempt, progress, merge ? &reply.payload : nullptr);
    if (reply.report)
        apply(*reply.report);
    releaseConnection(reply.connection);
}

void BaselineClient::apply(const query::SubqueryEnded& ended)
{
    endAttempt(ended.attempt, ended.progress, nullptr);
}

void BaselineClient::apply(const query::Tick&)
{
    if (m_now >= m_nextConnectionCheck)
        openMissingConnections();
    while (!m_expiries.empty() && m_expiries.begin()->first <= m_now) {
        const QueryId query = m_expiries.begin()->second;
        m_expiries.erase(m_expiries.begin());
        if (m_queries.contains(query.value))
            finish(query);
    }
}

SnapshotVersion BaselineClient::newestSnapshot(const CollectionName& collection) const
{
    std::map<SnapshotVersion, std::map<std::uint64_t, std::uint64_t>> ranges;
    for (const auto& [id, server] : m_servers) {
        if (server.listed.collection != collection)
            continue;
        for (const query::HeldShard& held : server.held)
            ranges[held.snapshot][held.shard.range.begin] = held.shard.range.end;
    }
    SnapshotVersion best;
    for (const auto& [version, byBegin] : ranges) {
        std::uint64_t reached = 0;
        for (const auto& [begin, end] : byBegin)
            reached = begin == reached ? end : reached;
        if (reached == kWholeKeySpace.end || best.value == 0)
            best = version;
    }
    return best;
}

std::vector<query::ShardRange> BaselineClient::shardsOf(const CollectionName& collection, SnapshotVersion version) const
{
    std::map<std::uint64_t, query::ShardRange> shards;
    for (const auto& [id, server] : m_servers) {
        if (server.listed.collection != collection)
            continue;
        for (const query::HeldShard& held : server.held) {
            if (held.snapshot == version)
                shards[held.shard.range.begin] = held.shard;
        }
    }
    std::vector<query::ShardRange> list;
    list.reserve(shards.size());
    for (const auto& [begin, shard] : shards)
        list.push_back(shard);
    return list;
}

void BaselineClient::fanOut(PendingQuery& pending)
{
    pending.started = true;
    pending.snapshot = newestSnapshot(pending.target.collection);
    pending.shards = shardsOf(pending.target.collection, pending.snapshot);
    pending.payloads.resize(pending.shards.size());
    pending.open = pending.shards.size();
    const QueryId query = pending.arrival.query;
    for (std::size_t shard = 0; shard < pending.shards.size(); ++shard) {
        std::vector<Server*> replicas;
        for (auto& [id, server] : m_servers) {
            if (server.listed.collection != pending.target.collection || server.listed.leaving)
                continue;
            const bool holds = std::any_of(server.held.begin(), server.held.end(), [&](const query::HeldShard& held) {
                return held.snapshot == pending.snapshot && held.shard.range == pending.shards[shard].range;
            });
            if (holds)
                replicas.push_back(&server);
        }
        if (replicas.empty()) {
            --pending.open;
            continue;
        }
        Server& server = *replicas[boost::random::uniform_int_distribution<std::size_t>(0, replicas.size() - 1)(m_random)];
        const AttemptId attempt { m_nextAttempt++ };
        m_attempts.emplace(attempt.value, Attempt { query, shard });
        if (server.idle.empty()) {
            server.waiting.push_back(attempt);
            continue;
        }
        const ConnectionId connection = server.idle.back();
        server.idle.pop_back();
        send(attempt, connection);
    }
    if (pending.open == 0)
        finish(query);
}

void BaselineClient::send(AttemptId attempt, ConnectionId connection)
{
    const Attempt& stored = m_attempts.at(attempt.value);
    const PendingQuery& pending = m_queries.at(stored.query.value);
    query::SendSubquery subquery;
    subquery.attempt = attempt;
    subquery.connection = connection;
    subquery.server = m_connections.at(connection.value);
    subquery.snapshot = pending.snapshot;
    subquery.shard = pending.shards[stored.shard];
    subquery.timeout = std::chrono::duration_cast<Micros>(pending.expires - m_now);
    subquery.requestId = pending.arrival.requestId;
    subquery.body = pending.body;
    m_effects.emplace_back(std::move(subquery));
}

void BaselineClient::endAttempt(AttemptId attempt, AttemptProgress progress, const std::string* payload)
{
    const auto it = m_attempts.find(attempt.value);
    if (it == m_attempts.end())
        return;
    const Attempt stored = it->second;
    m_attempts.erase(it);
    const auto found = m_queries.find(stored.query.value);
    if (found == m_queries.end())
        return;
    PendingQuery& pending = found->second;
    pending.progress.push_back(progress);
    if (payload)
        pending.payloads[stored.shard] = *payload;
    if (--pending.open == 0)
        finish(stored.query);
}

void BaselineClient::finish(QueryId query)
{
    const auto it = m_queries.find(query.value);
    const PendingQuery pending = std::move(it->second);
    m_queries.erase(it);
    query::SendAnswer answer;
    answer.query = query;
    answer.collection = pending.target.collection;
    answer.snapshot = pending.snapshot;
    std::vector<AttemptProgress> progress = pending.progress;
    for (std::size_t shard = 0; shard < pending.shards.size(); ++shard) {
        if (pending.payloads[shard]) {
            answer.coverage.covered.push_back(pending.shards[shard]);
            answer.coverage.fraction += static_cast<double>(pending.shards[shard].range.size()) / static_cast<double>(kWholeKeySpace.size());
            answer.results.push_back({ pending.shards[shard], *pending.payloads[shard] });
        } else {
            answer.coverage.missing.push_back({ pending.shards[shard], query::MissingShardReason::TimedOut });
        }
    }
    if (pending.open > 0)
        progress.push_back(AttemptProgress::Unknown);
    const Verdict verdict = verdictOf(progress);
    if (!pending.target.repeatable)
        m_effects.emplace_back(query::SettleClaim { pending.target.owner, *pending.arrival.requestId, verdict });
    if (answer.results.empty()) {
        query::SendRefusal refusal;
        refusal.query = query;
        refusal.reason = query::RefusalReason::DeadlineReached;
        refusal.verdict = verdict;
        m_effects.emplace_back(std::move(refusal));
        return;
    }
    m_effects.emplace_back(std::move(answer));
}

void BaselineClient::releaseConnection(ConnectionId connection)
{
    const auto it = m_connections.find(connection.value);
    if (it == m_connections.end())
        return;
    Server& server = m_servers[it->second.value];
    while (!server.waiting.empty()) {
        const AttemptId attempt = server.waiting.front();
        server.waiting.pop_front();
        const auto stored = m_attempts.find(attempt.value);
        if (stored == m_attempts.end())
            continue;
        if (!m_queries.contains(stored->second.query.value)) {
            m_attempts.erase(stored);
            continue;
        }
        send(attempt, connection);
        return;
    }
    server.idle.push_back(connection);
}

void BaselineClient::openMissingConnections()
{
    m_nextConnectionCheck = m_now + kConnectionCheckInterval;
    for (auto& [id, server] : m_servers) {
        const std::size_t share = std::max<std::size_t>(1, server.listed.connectionLimit / m_instances);
        for (; server.connections < share && !server.listed.leaving; ++server.connections) {
            const ConnectionId connection { m_nextConnection++ };
            m_connections.emplace(connection.value, ServerId { id });
            m_effects.emplace_back(query::OpenConnection { connection, { id } });
        }
    }
}

} // namespace curranttrail::tools
