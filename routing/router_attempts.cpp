#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::routing {

namespace {
    // Assumed duration as a part of the latency objective until enough durations have been observed.
    constexpr int kInitialDurationDivisor = 8;
    // Cost of a failed attempt as a part of the latency objective.
    constexpr int kFailureCostDivisor = 2;
    // Maximum number of attempts waiting for one server, per connection of the quota.
    constexpr std::size_t kMaximumWaitingPerConnection = 4;
    // The hedge delay is recomputed after this many replies.
    constexpr std::uint32_t kSamplesPerRefresh = 64;
    constexpr double kMinimumSamples = 50;
    // Attempts that exceed this quantile of the observed durations are hedged.
    constexpr double kHedgeQuantile = 0.95;
    // With less time than this left, an attempt at another server cannot succeed.
    constexpr Micros kMinimumRemaining { 8'000 };
} // namespace

policy::AdditionalAttemptBudget& Router::budgetOf(const CollectionName& collection)
{
    return m_budgets.try_emplace(collection, m_options.additionalAttempts, m_servers.instanceCount(m_now), m_now).first->second;
}

bool Router::startAttempt(RequestKey key, Request& request, std::size_t index)
{
    Part& part = request.parts[index];
    WorkEstimate estimate;
    estimate.typical = request.profile->durations.weight() >= kMinimumSamples ? request.profile->durations.median() : request.route->latencyObjective / kInitialDurationDivisor;
    estimate.failureCost = request.route->latencyObjective / kFailureCostDivisor;
    estimate.pauseThreshold = request.profile->hedgeDelay.count() > 0 ? request.profile->hedgeDelay : request.route->latencyObjective / 3;
    estimate.priority = request.priority;
    estimate.isSuspect = isSuspect(request);
    estimate.slack = std::max(Micros { 0 }, std::chrono::duration_cast<Micros>(request.softDeadline - m_now) - std::max(estimate.typical, estimate.pauseThreshold));
    Server* server = m_servers.choose(part.collection, part.tried, estimate, m_random, m_now);
    if (server && endsBeforeAnswer(*server, *request.profile)) {
        std::vector<const Server*> avoided = part.tried;
        do {
            avoided.push_back(server);
            server = m_servers.choose(part.collection, avoided, estimate, m_random, m_now);
        } while (server && endsBeforeAnswer(*server, *request.profile));
        request.isOutOfTime = request.isOutOfTime || !server;
    }
    if ((m_counters.limitedServers > 0 || m_counters.coldServers > 0) && m_servers.recordHeldBack(part.collection, request.priority, m_now))
        ++m_counters.heldBack;
    if (!server || server->waiting.size() >= kMaximumWaitingPerConnection * std::max(1U, server->connectionQuota))
        return false;
    const AttemptId id { ++m_lastAttempt };
    Attempt& attempt = m_attempts[id];
    attempt.request = key;
    attempt.fingerprint = request.fingerprint;
    attempt.part = index;
    attempt.server = server;
    attempt.priority = request.priority;
    attempt.holdsToken = server->rateLimit && server->rateLimit->tryAcquire(attempt.priority, m_now);
    attempt.holdsColdToken = server->coldStart.tryAcquire(attempt.priority, m_now);
    attempt.profile = request.profile;
    if (part.sent > 0)
        attempt.reason = part.inFlight > 0 ? AttemptReason::Hedge : AttemptReason::Retry;
    part.tried.push_back(server);
    ++part.inFlight;
    request.attempts.push_back(id);
    server->waiting.push_back(id);
    dispatchWaiting(*server);
    return true;
}

// Assigns idle connections to the waiting attempts, the most urgent first, and opens another if attempts still wait.
void Router::dispatchWaiting(Server& server)
{
    while (!server.waiting.empty() && !server.idle.empty() && maySendNext(server)) {
        const auto next = std::min_element(server.waiting.begin(), server.waiting.end(),
            [this](AttemptId a, AttemptId b) { return m_attempts.at(a).priority < m_attempts.at(b).priority; });
        const AttemptId id = *next;
        if (isTooLateToSend(server, m_attempts.at(id)))
            return;
        server.waiting.erase(next);
        const ConnectionId connection = server.idle.back();
        server.idle.pop_back();
        send(id, m_attempts.at(id), connection);
    }
    if (server.waiting.size() > server.opening && server.idle.empty() && server.canOpenConnection(m_now))
        openConnection(server);
}

void Router::send(AttemptId id, Attempt& attempt, ConnectionId connection)
{
    Request& request = m_requests.at(attempt.request);
    Part& part = request.parts[attempt.part];
    attempt.connection = connection;
    attempt.sentAt = m_now;
    Connection& busyConnection = m_connections.at(connection);
    busyConnection.attempt = id;
    busyConnection.wasUsed = true;
    attempt.server->unanswered.emplace(id, m_now);
    attempt.inFlight = static_cast<std::uint32_t>(attempt.server->unanswered.size());
    ++m_counters.attempts;
    const bool isAtHome = attempt.server->record.dataCentre == m_options.dataCentre;
    ++(isAtHome ? m_counters.attemptsAtHome : m_counters.attemptsElsewhere)[static_cast<std::size_t>(attempt.reason)];
    if (++part.sent == 1)
        budgetOf(part.collection).onFirstAttempt(m_now);
    ++part.mayHaveRun;
    m_effects.emplace_back(SendAttempt { id, connection, attempt.request, std::max(Micros { 1'000 }, std::chrono::duration_cast<Micros>(request.hardDeadline - m_now)), attempt.server->record.instance, request.account ? request.account->name : std::string {} });
}

void Router::recordServerFailure(Server& server, std::string_view reason)
{
    const bool suspended = server.health.isSuspended(m_now);
    server.health.onFailure(m_random, m_now);
    if (!suspended && server.health.isSuspended(m_now))
        log(events::kServerSuspended, { { "server", server.record.instance }, { "collection", server.record.collection }, { "reason", std::string { reason } } });
}

// Abandons an attempt. Its connection stays reserved until the reply arrives or the connection is closed.
void Router::abandonAttempt(AttemptId id, bool closeAtOnce)
{
    const auto it = m_attempts.find(id);
    if (it == m_attempts.end())
        return;
    Attempt& attempt = it->second;
    if (!attempt.connection) {
        releaseToken(attempt);
        std::erase(attempt.server->waiting, id);
        m_attempts.erase(it);
        return;
    }
    attempt.isAbandoned = true;
    if (closeAtOnce)
        closeConnection(*attempt.connection);
    else
        m_abandonedAttempts.push_back({ m_now, id });
}

void Router::recordDuration(const Attempt& attempt, bool hasReportedLoad)
{
    LatencyProfile& profile = *attempt.profile;
    Server& server = *attempt.server;
    const Micros duration = std::chrono::duration_cast<Micros>(m_now - attempt.sentAt);
    server.recordDuration(profile.index, duration, m_now);
    if (profile.durations.weight() >= kMinimumSamples) {
        const double ratio = static_cast<double>(duration.count()) / static_cast<double>(std::max<Micros::rep>(1, profile.durations.median().count()));
        server.quality.onDuration(ratio, m_now);
        recordCapacity(attempt, hasReportedLoad, ratio);
    }
    profile.durations.add(duration);
    if (profile.samplesUntilRefresh > 0) {
        --profile.samplesUntilRefresh;
        return;
    }
    if (profile.durations.weight() < kMinimumSamples)
        return;
    profile.hedgeDelay = profile.durations.quantile(kHedgeQuantile);
    profile.samplesUntilRefresh = kSamplesPerRefresh;
}

// The age of an abandoned attempt is a lower bound of its duration.
void Router::recordAbandonedAttempt(const Attempt& attempt)
{
    if (!attempt.connection || !attempt.profile || attempt.profile->durations.weight() < kMinimumSamples)
        return;
    const double elapsed = static_cast<double>((m_now - attempt.sentAt).count());
    attempt.server->quality.onUnanswered(elapsed / static_cast<double>(std::max<Micros::rep>(1, attempt.profile->durations.median().count())), m_now);
}

void Router::on(const AttemptReplied& event)
{
    const auto it = m_attempts.find(event.attempt);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    Server& server = *attempt.server;
    const ConnectionId connection = *attempt.connection;
    server.unanswered.erase(event.attempt);
    m_connections.at(connection).attempt.reset();
    m_connections.at(connection).stateChangedAt = m_now;
    const InstanceName relay = m_connections.at(connection).relay;
    const bool isRelayOutOfUse = !relay.empty() && (!isRelaying() || hasRelayLeft(m_connections.at(connection)));
    m_attempts.erase(it);
    const ReplyKind kind = event.reply.kind;
    // Other replies may be of another server or to another request.
    const bool isOfServer = kind == ReplyKind::Success || kind == ReplyKind::Failure || kind == ReplyKind::NotExecuted;
    const bool beginsToLeave = isOfServer && event.reply.isLeaving && !std::exchange(server.saysLeaving, true);
    if (event.reply.connectionClosed)
        dropConnection(connection);
    else if (!server.acceptsWork() || isRelayOutOfUse)
        closeConnection(connection);
    else
        server.idle.push_back(connection);
    server.lastReply = m_now;
    TimePoint& reachedAt = m_reachedAt[server.record.dataCentre];
    reachedAt = std::max(reachedAt, attempt.sentAt);
    setUnverified(server, false, "a reply arrived");
    if (relay.empty())
        recordReached(false);
    else
        m_relays.recordSuccess(relay, m_now);
    if (event.reply.load) {
        server.recordLoad(*event.reply.load, kind == ReplyKind::Success || kind == ReplyKind::Failure, m_now);
        recordLoad(server);
    }
    if (isOfServer)
        updateLimit(server, attempt, event.reply.limit);
    // A rejection in one of several forms may name the rest.
    if (isOfServer || event.reply.rest)
        updateRest(server, event.reply.rest);
    if (isOfServer && event.reply.coldRemaining.count() > 0)
        recordColdTime(server, event.reply.coldRemaining);
    const bool isWrongInstance = kind == ReplyKind::WrongInstance || kind == ReplyKind::PossiblyWrongInstance;
    if (isWrongInstance && !server.isRetired) {
        server.retire(m_now);
        log(events::kServerReplaced, { { "server", server.record.instance }, { "address", server.record.address } });
        failWaiting(server);
        if (m_connections.contains(connection))
            closeConnection(connection);
    } else if (kind == ReplyKind::Success) {
        server.health.onReply(m_now);
    } else if (kind != ReplyKind::NotExecuted) {
        recordServerFailure(server, nameOf(kReplyKindNames, kind));
    }

    server.quality.onOutcome(kind == ReplyKind::Success, m_now);
    if (kind == ReplyKind::Success || kind == ReplyKind::Failure)
        recordAnswer(attempt.fingerprint, server.record.collection);
    if (kind == ReplyKind::Success)
        recordDuration(attempt, event.reply.load.has_value());
    if (beginsToLeave) {
        log(events::kServerSaysLeaving, { { "server", server.record.instance }, { "collection", server.record.collection }, { "listed", server.listed ? "true" : "false" }, { "list", fmt::to_string(m_serverListRevision) } });
        withdraw(server);
        updateQuotasAndBudgets();
    }
    dispatchWaiting(server);
    const auto found = m_requests.find(attempt.request);
    if (attempt.isAbandoned || found == m_requests.end())
        return;
    Request& request = found->second;
    Part& part = request.parts[attempt.part];
    if (kind == ReplyKind::Success) {
        request.progress.push_back(AttemptProgress::Replied);
        --part.inFlight;
        if (part.state == PartState::Open)
            acceptPart(attempt.request, request, part, event.reply);
        return;
    }
    const bool notRun = kind == ReplyKind::NotExecuted || kind == ReplyKind::WrongInstance;
    if (kind == ReplyKind::Failure)
        request.failure = event.reply;
    // Most likely another instance has answered. Where a repetition does no harm, the attempt does not count.
    if (kind == ReplyKind::PossiblyWrongInstance && request.route->repeatable)
        --part.mayHaveRun;
    const std::string reason = fmt::format("{} (status {})", nameOf(kReplyKindNames, kind), event.reply.status);
    attemptFailed(attempt.request, attempt.part, &server, notRun ? AttemptProgress::RefusedBeforeWork : AttemptProgress::Replied, reason);
}

void Router::on(const AttemptConnectionLost& event)
{
    const auto it = m_attempts.find(event.attempt);
    if (it == m_attempts.end())
        return;
    const Attempt attempt = it->second;
    Server& server = *attempt.server;
    noteRejection(attempt);
    if (m_connections.at(*attempt.connection).relay.empty())
        m_reach.recordUnreached(server.record.instance);
    dropConnection(*attempt.connection);
    recordServerFailure(server, event.reason);
    server.quality.onOutcome(false, m_now);
    dispatchWaiting(server);
    const auto request = m_requests.find(attempt.request);
    if (!attempt.isAbandoned && request != m_requests.end())
        recordFailedAttempt(request->second, attempt.part, &server, AttemptProgress::Unknown, event.reason);
    checkForEnd(server, { attempt.request, attempt.part, attempt.fingerprint, attempt.isAbandoned, event.reason });
}

void Router::acceptPart(RequestKey key, Request& request, Part& part, ServerReply reply)
{
    part.state = PartState::Done;
    ++request.done;
    if (!isScatter(request)) {
        answerReply(key, request, std::move(reply));
        return;
    }
    part.stamp = reply.stamp;
    request.merge->add(reply.body);
    // The other attempts of a completed part are abandoned at once, so that their connections become free in time.
    if (part.inFlight > 0) {
        for (const AttemptId id : liveAttempts(request)) {
            const Attempt& duplicate = m_attempts.at(id);
            if (&request.parts[duplicate.part] != &part)
                continue;
            --part.inFlight;
            request.progress.push_back(progressOf(duplicate));
            abandonAttempt(id, false);
        }
    }
    if (isEndPossible(request))
        judgeEndedParts(key, request);
    sendHeldParts(key, request, request.parts.size());
    evaluate(key);
}

void Router::attemptFailed(RequestKey key, std::size_t index, const Server* server, AttemptProgress progress, std::string_view reason)
{
    const auto it = m_requests.find(key);
    if (it == m_requests.end())
        return;
    Request& request = it->second;
    recordFailedAttempt(request, index, server, progress, reason);
    const Part& part = request.parts[index];
    if (part.state == PartState::Open && part.inFlight == 0 && part.checks == 0)
        repeatOrFail(key, request, index, reason);
}

void Router::recordFailedAttempt(Request& request, std::size_t index, const Server* server, AttemptProgress progress, std::string_view reason)
{
    Part& part = request.parts[index];
    --part.inFlight;
    if (progress == AttemptProgress::RefusedBeforeWork)
        --part.mayHaveRun;
    request.progress.push_back(progress);
    ++m_counters.attemptsFailed;
    log(events::kAttemptFailed, { { "request", request.id }, { "fingerprint", request.fingerprint.text() }, { "server", server->record.instance }, { "collection", part.collection }, { "progress", std::string { nameOf(kAttemptProgressNames, progress) } }, { "reason", std::string { reason } }, { "list", fmt::to_string(m_serverListRevision) }, { "elapsed_us", fmt::to_string((m_now - request.arrivedAt).count()) } });
}

void Router::repeatOrFail(RequestKey key, Request& request, std::size_t index, std::string_view reason)
{
    if (sendAdditionalAttempt(key, request, index, reason))
        return;
    request.parts[index].state = PartState::Failed;
    ++request.failed;
    sendHeldParts(key, request, 1);
    if (isEndPossible(request))
        judgeEndedParts(key, request);
    evaluate(key);
}

// Moves a part that still waits for a connection to another server. The waiting attempt is abandoned, because sending it too
// would be an additional attempt that the budget has not counted.
void Router::reassignWaiting(RequestKey key, Request& request, std::size_t index)
{
    Part& part = request.parts[index];
    const std::vector<AttemptId> live = liveAttempts(request);
    const auto waiting = std::find_if(live.begin(), live.end(), [&](AttemptId id) { return m_attempts.at(id).part == index; });
    if (waiting == live.end())
        return;
    const AttemptId first = *waiting;
    if (!startAttempt(key, request, index))
        return;
    --part.inFlight;
    abandonAttempt(first, false);
    log(events::kAttemptRepeated, { { "request", request.id }, { "server", part.tried.back()->record.instance }, { "collection", part.collection }, { "reason", "no connection before the hedge delay" }, { "list", fmt::to_string(m_serverListRevision) }, { "elapsed_us", fmt::to_string((m_now - request.arrivedAt).count()) } });
}

// Sends a part to another server, as a hedge or a retry, if the route, the deadline and the shared budget allow it.
bool Router::sendAdditionalAttempt(RequestKey key, Request& request, std::size_t index, std::string_view reason)
{
    Part& part = request.parts[index];
    const Route& route = *request.route;
    if (part.mayHaveRun >= route.maximumAttempts || (part.mayHaveRun > 0 && !route.repeatable))
        return false;
    if (m_now + kMinimumRemaining >= request.hardDeadline || !mayRunAgain(request, part))
        return false;
    policy::AdditionalAttemptBudget& budget = budgetOf(part.collection);
    const bool usesBudget = part.sent > 0;
    if (usesBudget && !budget.canAcquire(m_now)) {
        ++m_counters.additionalAttemptsDenied;
        if (!std::exchange(request.denialLogged, true))
            log(events::kRepeatDenied, { { "request", request.id }, { "collection", part.collection }, { "reason", std::string { reason } } });
        return false;
    }
    if (!startAttempt(key, request, index))
        return false;
    if (usesBudget)
        budget.tryAcquire(m_now);
    ++request.additionalAttempts;
    ++m_counters.additionalAttempts;
    log(events::kAttemptRepeated, { { "request", request.id }, { "server", part.tried.back()->record.instance }, { "collection", part.collection }, { "reason", std::string { reason } }, { "list", fmt::to_string(m_serverListRevision) }, { "elapsed_us", fmt::to_string((m_now - request.arrivedAt).count()) } });
    return true;
}

} // namespace curranttrail::routing
