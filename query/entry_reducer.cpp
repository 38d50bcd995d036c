#include "query/entry_reducer.h"

#include "query/events.h"

#include <algorithm>

namespace curranttrail::query {

namespace {
    // Short enough to detect silent connections and to open connections ahead of need.
    constexpr Micros kMaintenanceInterval { 20'000 };
    // Fraction of the timeout and of the target latency that is reserved for sending the answer.
    constexpr int kMarginDivisor = 50;
    constexpr Micros kMaximumMargin { 2'000 };
    // The replicas of a group are polled in turn, so its leader answers at least once in this time.
    constexpr Micros kConfigurationConfirmationLifetime { 3'000'000 };
    // Time after which a query that is in flight to find out whether it ends a server has usually been answered.
    constexpr Micros kTrialTime { 250'000 };

    Micros withoutMargin(Micros duration)
    {
        return duration - std::min(duration / kMarginDivisor, kMaximumMargin);
    }
} // namespace

EntryReducer::EntryReducer(EntryOptions options)
    : m_context { std::move(options), Random {}, {}, {} }
    , m_directory(m_context)
    , m_pool(m_context, m_directory)
    , m_guard(m_context)
    , m_ends(m_context, m_directory, m_pool)
    , m_dispatcher(m_context, m_directory, m_pool, m_queries, m_guard)
    , m_fanOut(m_context, m_directory, m_pool, m_queries, m_dispatcher, m_guard)
    , m_replies(m_context, m_directory, m_pool, m_queries, m_fanOut, m_guard, m_ends)
    , m_claims(m_context, m_queries, m_fanOut)
{
    m_context.random.seed(m_context.options.seed);
}

std::vector<Effect> EntryReducer::handle(const Event& event, TimePoint now)
{
    m_context.now = std::max(m_context.now, now);
    m_context.effects.clear();
    std::visit([this](const auto& alternative) { on(alternative); }, event);
    runTimers();
    finishDrain();
    return std::move(m_context.effects);
}

TimePoint EntryReducer::nextWakeup() const
{
    return std::min({ m_queries.nextTimer(), m_ends.nextWakeup(), m_directory.hasList() ? m_maintainAt : kNever });
}

void EntryReducer::runTimers()
{
    m_replies.finishEndChecks();
    while (QueryState* query = m_queries.due(m_context.now)) {
        // A claim that is resolved later is settled as not run.
        if (query->claim == ClaimState::Pending)
            m_claims.orphan(*query);
        m_fanOut.onTimer(*query);
    }
    if (m_directory.hasList() && m_context.now >= m_maintainAt)
        maintain();
}

void EntryReducer::maintain()
{
    m_maintainAt = m_context.now + kMaintenanceInterval;
    m_replies.checkConnections();
    m_guard.expire();
    m_pool.maintain();
    m_directory.evictUnlisted();
    for (ServerId id : m_directory.serverIds()) {
        Server* server = m_directory.find(id);
        if (server->waiting.empty())
            continue;
        if (server->isLeaving() || !server->isReachable())
            m_fanOut.reassignQueued(*server);
        else
            m_fanOut.dispatchQueued(*server);
    }
}

const ClassTarget* EntryReducer::findClass(const OwnerName& owner, const ClassName& name) const
{
    const ClassTable::const_iterator configuration = m_classes.find(owner);
    if (configuration == m_classes.end())
        return nullptr;
    const std::map<ClassName, ClassTarget>::const_iterator target = configuration->second.classes.find(name);
    return target == configuration->second.classes.end() ? nullptr : &target->second;
}

bool EntryReducer::isConfigurationConfirmed(const OwnerName& owner) const
{
    const auto it = m_confirmedAt.find(owner);
    return it != m_confirmedAt.end() && m_context.now - it->second < kConfigurationConfirmationLifetime;
}

RefusalReason EntryReducer::unknownClassReason(const QueryArrived& event) const
{
    const bool belongsToOtherOwner = std::any_of(m_classes.begin(), m_classes.end(),
        [&](const ClassTable::value_type& configuration) { return configuration.second.classes.contains(event.className); });
    return belongsToOtherOwner ? RefusalReason::WrongOwner : RefusalReason::UnknownClass;
}

void EntryReducer::refuseImmediately(const QueryArrived& event, RefusalReason reason, Verdict verdict, std::string message)
{
    m_context.emit(SendRefusal { event.query, reason, verdict, std::move(message), std::nullopt });
}

Micros EntryReducer::trialDelay(const RequestFingerprint& fingerprint) const
{
    if (!m_guard.needsTrial(fingerprint))
        return Micros { 0 };
    const Micros delay = m_guard.timeUntilTurn(fingerprint);
    return delay.count() == 0 && m_queries.isInFlight(fingerprint) ? kTrialTime : delay;
}

bool EntryReducer::refuseSuspect(const QueryArrived& event, const RequestFingerprint& fingerprint)
{
    const bool isBlocked = m_guard.refuses(fingerprint);
    const Micros delay = isBlocked ? Micros { 0 } : trialDelay(fingerprint);
    if (!isBlocked && delay.count() == 0)
        return false;
    const RefusalReason reason = isBlocked ? RefusalReason::QueryBlocked : RefusalReason::AwaitingTrial;
    m_context.log(events::kSuspectRefused, { { "class", event.className }, { "fingerprint", fingerprint.text() }, { "reason", std::string { nameOf(kRefusalReasonNames, reason) } } });
    SendRefusal refusal { event.query, reason, verdictOf({}), isBlocked ? "backend servers end when they run this query" : "backend servers ended under this query; whether it ends others is being tried", std::nullopt, std::nullopt };
    if (!isBlocked)
        refusal.retryAfter = delay;
    m_context.emit(std::move(refusal));
    return true;
}

bool EntryReducer::admit(const QueryArrived& event, const ClassTarget& target, Micros timeout)
{
    const std::uint32_t maximum = m_context.options.maximumQueries;
    if (m_queries.size() >= maximum || m_queries.sizeOf(event.caller) >= maximum / 4 * 3)
        return false;
    Collection& collection = m_directory.collection(target.collection);
    const std::shared_ptr<const SnapshotPlan> plan = m_directory.bestPlan(collection);
    policy::Admission::Demand demand { &target, timeout, Micros { 0 }, collection.latency.median() };
    if (plan) {
        demand.predictedWait = m_dispatcher.predictedWait(collection, *plan);
        if (!collection.admission.hasObservations())
            collection.admission.setInitialLimit(m_dispatcher.fewestShardSlots(*plan) * 2.0 / m_pool.instanceCount() + 2);
    }
    return collection.admission.tryAdmit(demand, m_context.now);
}

void EntryReducer::on(const QueryArrived& event)
{
    if (m_isDraining) {
        refuseImmediately(event, RefusalReason::Draining, verdictOf({}), "the instance is draining before it stops");
        return;
    }
    if (!isReady()) {
        refuseImmediately(event, RefusalReason::NotReady, verdictOf({}), "no configuration or no server list has been received yet");
        return;
    }
    if (m_queries.find(event.query)) {
        m_context.log(events::kDuplicateQueryId, { { "query", std::to_string(event.query.value) } });
        return;
    }
    const ClassTarget* target = findClass(event.caller, event.className);
    if (!target && !isConfigurationConfirmed(event.caller)) {
        refuseImmediately(event, RefusalReason::NotReady, verdictOf({}), "no control leader has confirmed the configuration lately, so the class may exist by now");
        return;
    }
    if (!target) {
        refuseImmediately(event, unknownClassReason(event), verdictOf({}), "the caller's owner has no class of this name");
        return;
    }
    ClassCounters& counters = m_queries.counters(target->owner, target->name);
    ++counters.arrived;
    if (event.timeout <= Micros { 0 }) {
        refuseImmediately(event, RefusalReason::DeadlinePast, verdictOf({}), "no time is left before the caller's deadline");
        return;
    }
    if (!target->repeatable) {
        if (const std::optional<RefusalReason> reason = Claims::validate(event)) {
            // An expired id may belong to a request that ran and whose claim has been dropped.
            const Verdict verdict = *reason == RefusalReason::RequestIdExpired ? Verdict::MayHaveRun : verdictOf({});
            refuseImmediately(event, *reason, verdict, "requests of this class require a recent request id and its time of issue");
            return;
        }
    }
    const RequestFingerprint fingerprint = m_guard.fingerprintOf(event);
    if (refuseSuspect(event, fingerprint)) {
        ++counters.refused;
        return;
    }
    const Micros timeout = withoutMargin(std::min(event.timeout, m_context.options.maximumTimeout));
    if (!admit(event, *target, timeout)) {
        ++counters.overloaded;
        refuseImmediately(event, RefusalReason::Overloaded, verdictOf({}), "the class's target cannot be met under the current load");
        return;
    }
    std::unique_ptr<QueryState> created = std::make_unique<QueryState>();
    created->request = event;
    created->request.body.clear();
    created->fingerprint = fingerprint;
    created->classTarget = std::make_shared<const ClassTarget>(*target);
    created->counters = &counters;
    created->body = std::make_shared<const std::string>(event.body);
    created->collection = &m_directory.collection(target->collection);
    created->arrivedAt = m_context.now;
    created->targetAt = m_context.now + std::min(withoutMargin(target->latency), timeout);
    created->deadline = m_context.now + timeout;
    QueryState& query = m_queries.add(std::move(created));
    m_queries.setTimer(query, query.deadline);
    if (query.isRepeatable())
        m_fanOut.begin(query);
    else
        m_claims.request(query);
}

void EntryReducer::on(const CallerDisconnected& event)
{
    QueryState* query = m_queries.find(event.query);
    if (!query)
        return;
    if (query->claim == ClaimState::Pending)
        m_claims.orphan(*query);
    m_fanOut.onCallerDisconnected(*query);
}

void EntryReducer::on(const ClaimResolved& event)
{
    m_claims.onResolved(event);
}

void EntryReducer::on(const ServerReport& event)
{
    if (m_directory.applyReport(event))
        m_replies.stopUsing(event.server);
}

void EntryReducer::on(const ServerListChanged& event)
{
    const std::vector<ServerId> stopped = m_directory.applyList(event);
    m_pool.onLimitsChanged();
    for (ServerId server : stopped)
        m_replies.stopUsing(server);
    reportReadiness();
}

void EntryReducer::on(const PeerReportedLeaving& event)
{
    if (m_directory.applyPeerReport(event.server))
        m_replies.stopUsing(event.server);
}

void EntryReducer::on(const EntryInstancesChanged& event)
{
    m_pool.setInstances(event);
    m_guard.setInstances(event);
}

void EntryReducer::on(const ConfigurationChanged& event)
{
    if (!event.classes)
        return;
    for (const auto& [owner, configuration] : *event.classes) {
        const ClassTable::iterator current = m_classes.find(owner);
        if (current != m_classes.end() && configuration.version <= current->second.version)
            continue;
        m_classes.insert_or_assign(owner, configuration);
        m_context.log(events::kConfigurationApplied, { { "owner", owner }, { "version", std::to_string(configuration.version.value) } });
    }
    reportReadiness();
}

void EntryReducer::on(const ConnectionOpened& event)
{
    if (Server* server = m_pool.onOpened(event.connection))
        m_fanOut.dispatchQueued(*server);
}

void EntryReducer::on(const ConnectionLost& event)
{
    m_replies.onConnectionLost(event.connection);
}

void EntryReducer::on(const SubqueryReplied& event)
{
    m_replies.onReplied(event);
}

void EntryReducer::on(const SubqueryEnded& event)
{
    m_replies.onEnded(event);
}

void EntryReducer::on(const DrainRequested&)
{
    if (m_isDraining)
        return;
    m_isDraining = true;
    m_queries.limitDeadlines(m_context.now + m_context.options.drainTimeout);
    m_context.log(events::kDrainStarted);
}

void EntryReducer::on(const Tick&)
{
}

void EntryReducer::reportReadiness()
{
    if (m_wasReady || !isReady())
        return;
    m_wasReady = true;
    m_context.log(events::kReady);
}

void EntryReducer::finishDrain()
{
    if (!m_isDraining || m_hasDrained || m_queries.size() > 0 || m_claims.orphanedCount() > 0)
        return;
    m_hasDrained = true;
    m_context.log(events::kDrainFinished);
    m_context.emit(DrainComplete {});
}

ConfigurationVersion EntryReducer::configurationVersion(const OwnerName& owner) const
{
    const ClassTable::const_iterator it = m_classes.find(owner);
    return it == m_classes.end() ? ConfigurationVersion {} : it->second.version;
}

EntryMetrics EntryReducer::metrics() const
{
    EntryMetrics metrics { m_queries.size(), m_queries.attempts(), m_pool.size(), 0, 0, m_claims.orphanedCount(), m_replies.serversEnded(), m_guard.crashes().size() };
    for (ServerId id : m_directory.serverIds()) {
        ++metrics.servers;
        metrics.leavingServers += m_directory.find(id)->isLeaving() ? 1 : 0;
    }
    return metrics;
}

std::vector<CollectionMetrics> EntryReducer::collectionMetrics()
{
    std::vector<CollectionMetrics> all;
    for (const auto& [name, state] : m_directory.collections()) {
        Collection& collection = m_directory.collection(name);
        const std::shared_ptr<const SnapshotPlan> plan = m_directory.bestPlan(collection);
        all.push_back({ name, collection.waiting, collection.admission.inFlight(), collection.admission.limit(),
            collection.latency.median(), collection.latency.quantile(0.99), collection.hedges.allowedHedgeShare(),
            plan ? plan->version : SnapshotVersion {}, plan ? plan->fraction : 0 });
    }
    return all;
}

std::vector<PoolMetrics> EntryReducer::poolMetrics() const
{
    std::vector<PoolMetrics> all;
    for (ServerId id : m_directory.serverIds()) {
        const Server& server = *m_directory.find(id);
        all.push_back({ id, server.share, server.connections(), server.busy, server.opening, server.isLeaving() });
    }
    return all;
}

} // namespace curranttrail::query
