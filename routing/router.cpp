#include "routing/router.h"

#include "routing/events.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace curranttrail::routing {

namespace {
    // Time to send an answer once it is decided, in addition to the observed lag of this process.
    constexpr Micros kProcessingMargin { 3'000 };
    // At least this part of the latency objective is reserved for queueing in this process that does not show up as lag.
    constexpr int kObjectiveMarginDivisor = 9;
    // Margin before the caller's timeout: an answer past the latency objective is still useful, one past the timeout is not.
    constexpr Micros kDeadlineMargin { 8'000 };
    // An observation below the current lag lowers it by this fraction. Deadlines reserve a multiple of the lag, because a
    // request is delayed both on arrival and when its answer is decided.
    constexpr int kLagDecayDivisor = 16;
    constexpr int kLagMultiple = 2;
    // Longer delays are stalls of the process and do not predict the delay of the next request.
    constexpr Micros kMaximumLag { 25'000 };
    // Bounds the memory of requests in flight; more of them could not meet their latency objectives.
    constexpr std::size_t kMaximumRequests = 800;
    // Range of the Retry-After of requests that arrive before the first route document. After a restart of all instances the control
    // group needs about this long to elect a leader, and most callers return only once.
    constexpr Micros kMinimumRetryAfterWhenNotReady { 400'000 };
    constexpr Micros kMaximumRetryAfterWhenNotReady { 600'000 };
    // A control leader replies several times within this time. Without a reply, a route may have been added meanwhile.
    constexpr Micros kDocumentConfirmationLifetime { 1'000'000 };
    constexpr Micros kSweepInterval { 100'000 };
    // Time that an abandoned attempt may hold its connection for the reply before the connection is closed.
    constexpr Micros kAbandonedReplyTimeout { 250'000 };
    // Above this number the new servers of a list are only counted: hundreds of log lines would delay the first requests.
    constexpr std::size_t kMaximumServersLogged = 20;
} // namespace

Router::Router(RouterOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_servers(m_options.dataCentre, m_options.name)
    , m_quotas(m_options.seed)
    , m_relays(m_options.name, m_options.dataCentre)
{
    if (m_options.keyRevocationLimit)
        m_keyLease.emplace(*m_options.keyRevocationLimit);
}

std::vector<Effect> Router::handle(const Event& event, TimePoint now)
{
    m_now = std::max(m_now, now);
    std::visit([this](const auto& content) { on(content); }, event);
    runTimers();
    if (isStopping())
        failLateWaiting();
    return std::exchange(m_effects, {});
}

TimePoint Router::nextWakeup() const
{
    TimePoint wakeup = m_nextSweep;
    if (!m_connectionsOnProbation.empty())
        wakeup = std::min(wakeup, m_connectionsOnProbation.front().until);
    if (!m_scheduledEvaluations.empty())
        wakeup = std::min(wakeup, m_scheduledEvaluations.top().at);
    if (!m_endChecks.empty())
        wakeup = std::min(wakeup, nextEndCheck());
    return std::min(wakeup, m_quotas.nextReportAt());
}

Micros Router::retryAfterControl()
{
    return randomDelay(kMinimumRetryAfterWhenNotReady, kMaximumRetryAfterWhenNotReady);
}

Micros Router::randomDelay(Micros minimum, Micros maximum)
{
    boost::random::uniform_int_distribution<Micros::rep> delay(minimum.count(), maximum.count());
    return Micros { delay(m_random) };
}

void Router::log(const EventDescription& description, std::vector<EventField> fields)
{
    m_effects.emplace_back(LogEvent { &description, std::move(fields) });
}

// Appends which document and server list are held, and in microseconds the time since the document was applied and since control
// last replied.
void Router::appendControlState(std::vector<EventField>& fields) const
{
    const auto since = [this](const std::optional<TimePoint>& time) { return time ? fmt::to_string((m_now - *time).count()) : std::string { "never" }; };
    fields.push_back({ "held", fmt::to_string(documentVersion()) });
    fields.push_back({ "held_for_us", since(m_documentAppliedAt) });
    fields.push_back({ "control_age_us", since(m_controlContactAt) });
    fields.push_back({ "list", fmt::to_string(m_serverListRevision) });
}

void Router::on(const RequestArrived& event)
{
    ++m_counters.arrived;
    if (!m_table) {
        refuseUnrouted(event, RefusalReason::NotReady, retryAfterControl());
        return;
    }
    const Route* route = m_table->find(event.host, event.path);
    if (!route) {
        if (isDocumentConfirmed())
            refuseUnrouted(event, RefusalReason::NoRoute, std::nullopt);
        else
            refuseUnrouted(event, RefusalReason::DocumentUnconfirmed, retryAfterControl());
        return;
    }
    const Identification caller = identify(event, *route);
    if (caller.refusal) {
        refuseUnidentified(event, *caller.refusal);
        return;
    }
    if (!m_crashes.empty() && m_crashes.standing(event.fingerprint) == policy::RequestStanding::Blocked) {
        m_crashes.recordArrival(event.fingerprint, m_now);
        refuseUnrouted(event, RefusalReason::RequestBlocked, std::nullopt);
        return;
    }
    if (const Micros delay = trialDelay(event.fingerprint); delay.count() > 0) {
        refuseUnrouted(event, RefusalReason::AwaitingTrial, delay);
        return;
    }
    if (m_requests.size() >= kMaximumRequests) {
        refuseUnrouted(event, RefusalReason::Overloaded, randomRetryAfter());
        return;
    }
    std::optional<policy::QuotaHold> quota;
    if (!admitByQuota(event, caller.account, quota))
        return;
    if (const std::optional<Micros> delay = delayOverShare(*route, caller.account)) {
        if (quota)
            m_quotas.giveBack(*quota, m_now);
        refuseUnrouted(event, RefusalReason::AccountOverShare, delay);
        return;
    }
    Request& request = m_requests[event.key];
    request.id = event.requestId;
    request.fingerprint = event.fingerprint;
    request.table = m_table;
    request.route = route;
    request.account = caller.account;
    request.priority = priorityOf(*route, caller.account);
    request.quota = quota;
    request.profile = &latencyProfileOf(*route);
    request.arrivedAt = m_now;
    // The caller's time includes the network round trip, and another one if it opened the connection for this request.
    const Micros networkTime = event.roundTrip * (event.isNewConnection ? 2 : 1);
    const Micros processing = processingTime();
    const Micros callerTimeout = event.callerTimeout.value_or(route->timeout) - networkTime - kDeadlineMargin;
    request.hardDeadline = m_now + std::min(route->timeout, callerTimeout) - processing;
    request.softDeadline = m_now + route->latencyObjective - networkTime - std::max(processing, std::chrono::duration_cast<Micros>(route->latencyObjective / kObjectiveMarginDivisor));
    limitToStop(request);
    scheduleHedge(request);
    if (const ScatterTarget* scatter = std::get_if<ScatterTarget>(&route->target))
        request.merge.emplace(scatter->recordLimit);
    for (CollectionName& collection : collectionsOf(*route)) {
        Part& part = request.parts.emplace_back();
        part.collection = std::move(collection);
        const Availability availability = m_servers.availability(part.collection, request.priority, m_now);
        const bool isOutOfTime = endsBeforeAnswer(part.collection, *request.profile);
        if (availability == Availability::Available && !isOutOfTime)
            continue;
        request.isOutOfTime = request.isOutOfTime || isOutOfTime;
        part.state = PartState::Failed;
        ++request.failed;
        request.limited += availability == Availability::LimitReached ? 1 : 0;
    }
    // Nothing is sent if the required coverage cannot be reached.
    const std::size_t open = request.parts.size() - request.failed;
    if (!coversEnough(request, open)) {
        refuse(event.key, coversEnough(request, open + request.limited) ? RefusalReason::ServerLimit : RefusalReason::NoServer);
        return;
    }
    holdParts(request);
    for (std::size_t n = 0; n < request.parts.size(); ++n) {
        Part& part = request.parts[n];
        if (part.state != PartState::Open || startAttempt(event.key, request, n))
            continue;
        part.state = PartState::Failed;
        ++request.failed;
    }
    if (request.attempts.empty())
        sendHeldParts(event.key, request, 1);
    evaluate(event.key);
}

bool Router::isDocumentConfirmed() const
{
    return m_controlContactAt && m_now - *m_controlContactAt < kDocumentConfirmationLifetime;
}

void Router::on(const ControlContacted& event)
{
    m_controlContactAt = m_now - event.age;
    if (!m_keyLease)
        return;
    m_keyLease->confirm(event.requestSentAt);
    if (m_refusesKeys && areKeysConfirmed())
        logKeyLease(events::kKeysConfirmed);
}

void Router::on(const CallerDisconnected& event)
{
    const auto it = m_requests.find(event.key);
    if (it == m_requests.end())
        return;
    ++m_counters.abandoned;
    log(events::kRequestAbandoned, { { "request", it->second.id }, { "elapsed_us", fmt::to_string((m_now - it->second.arrivedAt).count()) } });
    giveBackQuota(it->second);
    end(event.key, true);
}

std::vector<CollectionName> Router::collectionsOf(const Route& route)
{
    if (const ScatterTarget* scatter = std::get_if<ScatterTarget>(&route.target))
        return scatter->shards;
    if (const SplitTarget* split = std::get_if<SplitTarget>(&route.target))
        return { chooseSplitCollection(route, *split) };
    return { std::get<SingleTarget>(route.target).collection };
}

// Smooth weighted round-robin: credits each collection with its weight and chooses the one with the most credit.
const CollectionName& Router::chooseSplitCollection(const Route& route, const SplitTarget& split)
{
    std::vector<double>& credit = m_splitCredit[fmt::format("{}/{}", m_table->document().version, route.name)];
    credit.resize(split.parts.size());
    double sum = 0;
    for (std::size_t n = 0; n < split.parts.size(); ++n) {
        credit[n] += split.parts[n].weight;
        sum += split.parts[n].weight;
    }
    const std::size_t chosen = static_cast<std::size_t>(std::max_element(credit.begin(), credit.end()) - credit.begin());
    credit[chosen] -= sum;
    return split.parts[chosen].collection;
}

Router::LatencyProfile& Router::latencyProfileOf(const Route& route)
{
    const auto [it, isNew] = m_latencyProfiles.try_emplace({ route.latencyObjective.count(), route.target.index() });
    if (isNew) {
        it->second.index = m_latencyProfiles.size() - 1;
        it->second.latencyObjective = route.latencyObjective;
    }
    return it->second;
}

void Router::on(const RouteDocumentUpdated& event)
{
    if (m_table && event.document->version <= m_table->document().version)
        return;
    m_table = std::make_shared<const RouteTable>(event.document);
    m_documentAppliedAt = m_now;
    m_splitCredit.clear();
    m_quotas.configure(quotasOf(*event.document));
    log(events::kDocumentApplied, { { "version", fmt::to_string(event.document->version) }, { "routes", fmt::to_string(event.document->routes.size()) } });
    updateAdmissions();
    updateQuotasAndBudgets();
    updateColdStarts();
    warmConnections();
}

void Router::on(const ServerListReceived& event)
{
    m_serverListRevision = event.revision;
    applyServerChanges(m_servers.apply(event.servers, event.age, m_now), event.age);
}

void Router::on(const ServerListDeltaReceived& event)
{
    m_serverListRevision = event.revision;
    applyServerChanges(m_servers.apply(event.changes, event.age, m_now), event.age);
}

void Router::on(const ServersLeaving& event)
{
    applyServerChanges(m_servers.markLeaving(event.instances), event.age);
}

void Router::applyServerChanges(const ServerTable::Changes& changes, Micros age)
{
    logNewServers(changes, age);
    updateColdStarts();
    for (Server* server : changes.leaving) {
        log(events::kServerLeaving, { { "server", server->record.instance }, { "collection", server->record.collection }, { "listed", server->isRetired ? "false" : "true" }, { "age_us", fmt::to_string(age.count()) }, { "list", fmt::to_string(m_serverListRevision) } });
        withdraw(*server);
    }
    const ServerTable::Changes reinstated = m_servers.evictRetired(m_now);
    logNewServers(reinstated, age);
    if (!reinstated.added.empty())
        updateColdStarts();
    updateQuotasAndBudgets();
    warmConnections();
}

void Router::withdraw(Server& server)
{
    failWaiting(server);
    for (const ConnectionId connection : std::vector<ConnectionId>(server.idle))
        closeConnection(connection);
}

void Router::logNewServers(const ServerTable::Changes& changes, Micros age)
{
    if (changes.added.size() > kMaximumServersLogged) {
        log(events::kServersListed, { { "servers", fmt::to_string(changes.added.size()) }, { "age_us", fmt::to_string(age.count()) } });
        return;
    }
    for (const Server* server : changes.added)
        log(events::kServerAppeared, { { "server", server->record.instance }, { "collection", server->record.collection }, { "address", server->record.address } });
}

void Router::on(const EntryInstancesChanged& event)
{
    m_trialTurns.setInstances(m_options.name, event.instances);
    if (!m_servers.setInstances(event.instances, event.dataCentres, m_now))
        return;
    log(events::kInstancesChanged, { { "instances", fmt::to_string(m_servers.instanceCount(m_now)) } });
    updateQuotasAndBudgets();
}

void Router::updateQuotasAndBudgets()
{
    if (!m_table)
        return;
    m_servers.updateConnectionQuotas(m_table->document().collections, m_now);
    m_quotas.setInstances(m_servers.instanceCount(m_now));
    for (auto& [collection, budget] : m_budgets)
        budget.configure(m_options.additionalAttempts, m_servers.instanceCount(m_now), m_now);
}

void Router::runTimers()
{
    while (!m_scheduledEvaluations.empty() && m_scheduledEvaluations.top().at <= m_now) {
        const RequestKey key = m_scheduledEvaluations.top().request;
        recordLag(std::chrono::duration_cast<Micros>(m_now - m_scheduledEvaluations.top().at));
        m_scheduledEvaluations.pop();
        evaluate(key);
    }
    endProbations();
    if (!m_endChecks.empty())
        finishEndChecks();
    if (m_now >= m_nextSweep)
        sweep();
    reportQuotas();
}

Micros Router::processingTime() const
{
    return kProcessingMargin + m_lag * kLagMultiple;
}

void Router::recordLag(Micros lag)
{
    lag = std::min(lag, kMaximumLag);
    m_lag = lag > m_lag ? (lag + m_lag) / 2 : m_lag - m_lag / kLagDecayDivisor;
}

void Router::sweep()
{
    // While there are no requests, only the sweep shows that the lag has decreased.
    const Micros sweepDelay = m_nextSweep == TimePoint {} ? Micros { 0 } : std::chrono::duration_cast<Micros>(m_now - m_nextSweep);
    recordLag(sweepDelay);
    m_nextSweep = m_now + kSweepInterval;
    closeLateConnections();
    // After a stall of this process the replies of the stalled time are still to be read.
    const bool wasStalled = sweepDelay >= kAbandonedReplyTimeout;
    while (!wasStalled && !m_abandonedAttempts.empty() && m_now - m_abandonedAttempts.front().at >= kAbandonedReplyTimeout) {
        const auto it = m_attempts.find(m_abandonedAttempts.front().attempt);
        m_abandonedAttempts.pop_front();
        if (it != m_attempts.end())
            closeSilentConnection(it->second);
    }
    closeSharedIdleConnections();
    closeConnectionsBeyondPlan();
    m_crashes.expire(m_now);
    m_quotas.update(m_now);
    checkReach();
    if (!m_servers.evacuations().isEmpty())
        endEvacuations();
    const ServerTable::Changes changes = m_servers.evictRetired(m_now);
    logNewServers(changes, Micros { 0 });
    if (m_servers.expireShares(m_now) || !changes.added.empty())
        updateQuotasAndBudgets();
    if (m_counters.limitedServers > 0)
        m_counters.limitedServers = m_servers.updateRateLimits(m_now);
    if (m_counters.coldServers > 0 || !changes.added.empty())
        updateColdStarts();
    if (m_now >= m_nextCapacityReview)
        reviewCapacities();
    warmConnections();
}

} // namespace curranttrail::routing
