#include "routing/router.h"

#include "core/not_run_status.h"
#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <iterator>
#include <utility>

namespace curranttrail::routing {

namespace {
    // Bounds of the hedge delay and its value before observations, as fractions of the latency objective. Below the minimum,
    // attempts of usual duration would be hedged; above the maximum, a hedge comes too late to meet the objective.
    struct HedgeBounds {
        double minimum = 0;
        double maximum = 0;
        double initial = 0;
    };
    constexpr HedgeBounds kScatterHedge { 0.08, 0.4, 0.3 };
    constexpr HedgeBounds kSingleHedge { 0.25, 0.55, 0.5 };
    // A hedge that leaves the data centre waits for this part of the time that remains until it must be sent to be in time.
    constexpr double kWaitBeforeLeaving = 0.5;
    // Usual time to open a connection.
    constexpr Micros kConnectTime { 6'000 };
    // Range of the randomised Retry-After, so that refused callers do not all retry at once.
    constexpr Micros kMinimumRetryAfter { 50'000 };
    constexpr Micros kMaximumRetryAfter { 250'000 };
    // The same for a request under which several servers ended at once: the other instances hear of it within this time.
    constexpr Micros kMinimumRetryAfterEnds { 400'000 };
    constexpr Micros kMaximumRetryAfterEnds { 700'000 };

    Micros shareOf(Micros span, double share)
    {
        return Micros { static_cast<Micros::rep>(static_cast<double>(span.count()) * share) };
    }

    Micros hedgeDelay(const Route& route, Micros observed)
    {
        const HedgeBounds& bounds = std::holds_alternative<ScatterTarget>(route.target) ? kScatterHedge : kSingleHedge;
        if (observed.count() == 0)
            return shareOf(route.latencyObjective, bounds.initial);
        return std::clamp(observed, shareOf(route.latencyObjective, bounds.minimum), shareOf(route.latencyObjective, bounds.maximum));
    }
} // namespace

bool Router::coversEnough(const Request& request, std::size_t parts) const
{
    const ScatterTarget* scatter = std::get_if<ScatterTarget>(&request.route->target);
    if (!scatter)
        return parts == request.parts.size();
    return parts > 0 && static_cast<double>(parts) >= scatter->minimumCoverage * static_cast<double>(request.parts.size()) - 1e-9;
}

// Returns whether the caller may get a server's error reply. The status of one that has run, and must not run again, may not promise
// otherwise.
bool Router::mayPassOn(const Request& request, const ServerReply& failure) const
{
    return !isScatter(request) && (request.route->repeatable || !promisesNotRun(failure.status));
}

// Sets the time at which unanswered parts are hedged. Requests that must run at most once, and those that may end servers, are never
// hedged.
void Router::scheduleHedge(Request& request)
{
    request.hedgeAt = request.route->repeatable && !isSuspect(request) ? request.arrivedAt + hedgeDelay(*request.route, request.profile->hedgeDelay) : kNever;
}

// Answers or refuses the request if that is due, else hedges late parts and schedules the next evaluation.
void Router::evaluate(RequestKey key)
{
    const auto it = m_requests.find(key);
    if (it == m_requests.end())
        return;
    Request& request = it->second;
    const std::size_t openParts = request.parts.size() - request.done - request.failed;
    const bool hasSufficientCoverage = isScatter(request) && coversEnough(request, request.done);
    if (hasSufficientCoverage && (openParts == 0 || m_now >= request.softDeadline)) {
        answerMerged(key, request);
        return;
    }
    if (!coversEnough(request, request.done + openParts)) {
        if (request.failure && mayPassOn(request, *request.failure))
            answerReply(key, request, std::move(*request.failure));
        else
            refuse(key, RefusalReason::AttemptsFailed);
        return;
    }
    if (m_now >= request.hardDeadline) {
        refuse(key, request.endsWithProcess ? RefusalReason::Stopping : RefusalReason::TimedOut);
        return;
    }
    if (m_now >= request.hedgeAt) {
        if (isEndPossible(request))
            request.hedgeAt = m_now + hedgeDelay(*request.route, request.profile->hedgeDelay);
        else
            hedge(key, request);
    }
    const TimePoint next = nextEvaluation(request);
    if (request.evaluateAt > m_now && request.evaluateAt <= next)
        return;
    request.evaluateAt = next;
    m_scheduledEvaluations.push({ next, key });
}

// Returns when an attempt is hedged. A part that had to wait for a connection gets the hedge delay from the time at which it was sent. A
// hedge that must leave the data centre for a connection that others may need is sent later if it can still be answered in time: most
// attempts that are a little late need none.
TimePoint Router::hedgeDueAt(const Request& request, const Attempt& attempt, Micros delay) const
{
    const TimePoint due = (attempt.connection ? attempt.sentAt : request.arrivedAt) + delay;
    const Part& part = request.parts[attempt.part];
    if (!attempt.server->isPlanned || m_servers.hasOtherAtHome(part.collection, part.tried))
        return due;
    const Micros untilLatest = std::chrono::duration_cast<Micros>(request.softDeadline - delay - kConnectTime - due);
    return due + shareOf(std::max(Micros { 0 }, untilLatest), kWaitBeforeLeaving);
}

// Sends the parts that are late to another server.
void Router::hedge(RequestKey key, Request& request)
{
    const Micros delay = hedgeDelay(*request.route, request.profile->hedgeDelay);
    request.hedgeAt = kNever;
    for (const AttemptId id : liveAttempts(request)) {
        const Attempt& attempt = m_attempts.at(id);
        const std::size_t index = attempt.part;
        const Part& part = request.parts[index];
        if (part.state != PartState::Open || part.inFlight != 1 || part.tried.size() != 1)
            continue;
        const TimePoint due = hedgeDueAt(request, attempt, delay);
        if (m_now < due)
            request.hedgeAt = std::min(request.hedgeAt, due);
        else if (part.sent == 0)
            reassignWaiting(key, request, index);
        else
            sendAdditionalAttempt(key, request, index, "late");
    }
}

TimePoint Router::nextEvaluation(const Request& request) const
{
    TimePoint next = request.hardDeadline;
    if (isScatter(request) && request.softDeadline > m_now)
        next = std::min(next, request.softDeadline);
    return std::min(next, request.hedgeAt);
}

// Counts an answer and returns the time since the request arrived.
Micros Router::recordAnswer(const Request& request)
{
    const Micros elapsed = std::chrono::duration_cast<Micros>(m_now - request.arrivedAt);
    ++m_counters.answered;
    recordAdmittedEnd(request);
    m_counters.late += elapsed > request.route->latencyObjective ? 1 : 0;
    return elapsed;
}

void Router::answerMerged(RequestKey key, Request& request)
{
    AnswerMerged answer;
    answer.request = key;
    answer.missing = request.parts.size() - request.done;
    for (Part& part : request.parts) {
        if (part.state == PartState::Done)
            answer.stamps.push_back(std::move(part.stamp));
    }
    answer.body = request.merge->takeRecords();
    const Micros elapsed = recordAnswer(request);
    m_counters.partial += answer.missing > 0 ? 1 : 0;
    log(events::kRequestAnswered, { { "request", request.id }, { "route", request.route->name }, { "version", fmt::to_string(request.table->document().version) }, { "parts", fmt::to_string(request.done) }, { "missing", fmt::to_string(answer.missing) }, { "limited", fmt::to_string(request.limited) }, { "repeats", fmt::to_string(request.additionalAttempts) }, { "elapsed_us", fmt::to_string(elapsed.count()) } });
    m_effects.emplace_back(std::move(answer));
    end(key, false);
}

void Router::answerReply(RequestKey key, Request& request, ServerReply reply)
{
    const Micros elapsed = recordAnswer(request);
    log(events::kRequestAnswered, { { "request", request.id }, { "route", request.route->name }, { "version", fmt::to_string(request.table->document().version) }, { "status", fmt::to_string(reply.status) }, { "repeats", fmt::to_string(request.additionalAttempts) }, { "elapsed_us", fmt::to_string(elapsed.count()) } });
    m_effects.emplace_back(AnswerReply { key, std::move(reply) });
    end(key, false);
}

// Returns the attempts of a request that wait or are unanswered and have not been abandoned.
std::vector<AttemptId> Router::liveAttempts(const Request& request) const
{
    std::vector<AttemptId> live;
    std::copy_if(request.attempts.begin(), request.attempts.end(), std::back_inserter(live), [this](AttemptId id) {
        const auto it = m_attempts.find(id);
        return it != m_attempts.end() && !it->second.isAbandoned;
    });
    return live;
}

AttemptProgress Router::progressOf(const Attempt& attempt)
{
    return attempt.connection ? AttemptProgress::BytesSent : AttemptProgress::NotSent;
}

Verdict Router::verdictOf(const Request& request) const
{
    std::vector<AttemptProgress> progress = request.progress;
    for (const AttemptId id : liveAttempts(request))
        progress.push_back(progressOf(m_attempts.at(id)));
    return curranttrail::verdictOf(progress);
}

Micros Router::randomRetryAfter()
{
    return randomDelay(kMinimumRetryAfter, kMaximumRetryAfter);
}

Micros Router::retryAfter(const Request& request, RefusalReason reason)
{
    const auto isHeldBack = [&](const Part& part) { return m_servers.availability(part.collection, request.priority, m_now) == Availability::LimitReached; };
    if (reason == RefusalReason::ServerLimit || (reason == RefusalReason::AttemptsFailed && std::any_of(request.parts.begin(), request.parts.end(), isHeldBack)))
        return std::max(retryAfterLimit(request), randomRetryAfter());
    return reason == RefusalReason::Stopping ? retryAfterStop() : randomRetryAfter();
}

// Lists the servers of the live attempts with the time since each was sent.
std::string Router::describeLiveAttempts(const Request& request) const
{
    constexpr std::size_t kMaximumAttemptsLogged = 4;
    std::string text;
    std::size_t named = 0;
    for (const AttemptId id : liveAttempts(request)) {
        if (named++ == kMaximumAttemptsLogged)
            break;
        const Attempt& attempt = m_attempts.at(id);
        const std::string age = attempt.connection ? fmt::format("{}us", (m_now - attempt.sentAt).count()) : "unsent";
        text += fmt::format("{}{}:{}", text.empty() ? "" : ",", attempt.server->record.instance, age);
    }
    return text;
}

void Router::refuse(RequestKey key, RefusalReason reason)
{
    const Request& request = m_requests.at(key);
    if (!m_crashes.empty() && m_crashes.standing(request.fingerprint) == policy::RequestStanding::Blocked)
        reason = RefusalReason::RequestBlocked;
    if (request.isOutOfTime && (reason == RefusalReason::NoServer || reason == RefusalReason::AttemptsFailed))
        reason = RefusalReason::Stopping;
    RefuseRequest refusal;
    refusal.request = key;
    refusal.reason = reason;
    refusal.notRun = verdictOf(request) == Verdict::NotRun;
    const std::vector<AttemptId> live = liveAttempts(request);
    refusal.unanswered = static_cast<std::size_t>(std::count_if(live.begin(), live.end(), [this](AttemptId id) { return m_attempts.at(id).connection.has_value(); }));
    if (request.failure && !isScatter(request) && !mayPassOn(request, *request.failure))
        refusal.withheldStatus = request.failure->status;
    if (reason == RefusalReason::ServerLimit)
        recordHeldBack(request);
    if (refusal.notRun && reason != RefusalReason::RequestBlocked)
        refusal.retryAfter = retryAfter(request, reason);
    else if (reason != RefusalReason::RequestBlocked && request.serversEnded >= policy::CrashTable::kBlockingEnds)
        refusal.retryAfter = randomDelay(kMinimumRetryAfterEnds, kMaximumRetryAfterEnds);
    giveBackQuota(request);
    ++m_counters.refused[static_cast<std::size_t>(reason)];
    std::vector<EventField> fields { { "request", request.id }, { "fingerprint", request.fingerprint.text() }, { "route", request.route->name }, { "version", fmt::to_string(request.table->document().version) }, { "reason", std::string { nameOf(kRefusalReasonNames, reason) } }, { "not_run", refusal.notRun ? "true" : "false" }, { "parts", fmt::to_string(request.done) }, { "failed", fmt::to_string(request.failed) }, { "limited", fmt::to_string(request.limited) }, { "open", describeLiveAttempts(request) }, { "repeatable", request.route->repeatable ? "true" : "false" }, { "attempt_limit", fmt::to_string(request.route->maximumAttempts) }, { "repeats", fmt::to_string(request.additionalAttempts) }, { "elapsed_us", fmt::to_string((m_now - request.arrivedAt).count()) } };
    if (refusal.withheldStatus)
        fields.push_back({ "withheld_status", fmt::to_string(*refusal.withheldStatus) });
    if (isStopping())
        fields.push_back({ "ends_in_us", fmt::to_string((m_endsAt - m_now).count()) });
    appendControlState(fields);
    log(events::kRequestRefused, std::move(fields));
    m_effects.emplace_back(refusal);
    end(key, false);
}

void Router::refuseUnrouted(const RequestArrived& event, RefusalReason reason, std::optional<Micros> retryAfter, std::string_view account)
{
    ++m_counters.refused[static_cast<std::size_t>(reason)];
    std::vector<EventField> fields { { "request", event.requestId }, { "fingerprint", event.fingerprint.text() }, { "host", event.host }, { "path", event.path }, { "reason", std::string { nameOf(kRefusalReasonNames, reason) } }, { "not_run", "true" } };
    if (!account.empty())
        fields.push_back({ "account", std::string { account } });
    appendControlState(fields);
    log(events::kRequestRefused, std::move(fields));
    m_effects.emplace_back(RefuseRequest { event.key, reason, true, retryAfter });
}

void Router::end(RequestKey key, bool closeAtOnce)
{
    const auto it = m_requests.find(key);
    const std::vector<AttemptId> live = liveAttempts(it->second);
    m_requests.erase(it);
    for (const AttemptId id : live)
        abandonAttempt(id, closeAtOnce);
}

} // namespace curranttrail::routing
