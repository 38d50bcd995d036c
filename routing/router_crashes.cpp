#include "routing/router.h"

#include "routing/events.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::routing {

using policy::RequestStanding;

namespace {
    // A server that ends closes all its connections at the same moment. One that is still open after this time shows that it runs.
    constexpr Micros kRemainingConnectionDelay { 3'000 };
    // Time for a connection to the server and to another one beside it to open or to fail.
    constexpr Micros kEndCheckTimeout { 150'000 };
} // namespace

// Finds out whether a server has ended whose connection was lost under an attempt. The request is not repeated before that.
void Router::checkForEnd(Server& server, LostAttempt lost)
{
    if (!server.acceptsWork()) {
        continueLostAttempt(lost, EndVerdict::Running, false);
        return;
    }
    const auto [it, isNew] = m_endChecks.try_emplace(server.record.instance);
    EndCheck& check = it->second;
    if (isNew) {
        check.server = &server;
        check.lostAt = m_now;
        server.isBeingChecked = true;
    }
    if (const auto request = m_requests.find(lost.request); request != m_requests.end() && !lost.wasAbandoned)
        ++request->second.parts[lost.part].checks;
    check.attempts.push_back(std::move(lost));
    if (server.connections == 0)
        openConnection(server);
    if (isNew && !reachesDataCentreOf(server, check.lostAt))
        check.probe = probeDataCentre(server);
}

// Opens a connection to another server of the same data centre, or of any if it has no other: a cut that resets connections looks like
// the end of all servers behind it.
std::optional<ConnectionId> Router::probeDataCentre(const Server& ended)
{
    Server* candidate = nullptr;
    for (const auto& [instance, server] : m_servers.all()) {
        if (!canProbe(*server))
            continue;
        candidate = server.get();
        if (server->record.dataCentre == ended.record.dataCentre)
            break;
    }
    return candidate ? std::optional { openConnection(*candidate) } : std::nullopt;
}

bool Router::canProbe(const Server& server) const
{
    return server.acceptsWork() && !server.isUnverified && !server.isBeingChecked && server.canOpenConnection(m_now);
}

// Returns whether an exchange that began after the given time has succeeded with another server beside the one that may have ended.
bool Router::reachesDataCentreOf(const Server& ended, TimePoint since) const
{
    const DataCentreName& own = ended.record.dataCentre;
    const bool hasNeighbour = std::any_of(m_servers.all().begin(), m_servers.all().end(), [&](const auto& entry) {
        const Server& server = *entry.second;
        return &server != &ended && server.record.dataCentre == own && server.acceptsWork() && !server.isUnverified && !server.isBeingChecked;
    });
    return std::any_of(m_reachedAt.begin(), m_reachedAt.end(), [&](const auto& entry) { return entry.second >= since && (entry.first == own || !hasNeighbour); });
}

void Router::finishEndChecks()
{
    std::vector<std::pair<Server*, EndVerdict>> finished;
    for (auto& [instance, check] : m_endChecks) {
        Server* server = check.server;
        const bool isAnyOpen = server->connections > server->opening;
        if (check.isRefused && !isAnyOpen && reachesDataCentreOf(*server, check.lostAt))
            finished.emplace_back(server, EndVerdict::Ended);
        else if (isAnyOpen && m_now >= check.lostAt + kRemainingConnectionDelay)
            finished.emplace_back(server, EndVerdict::Running);
        else if (m_now >= check.lostAt + kEndCheckTimeout)
            finished.emplace_back(server, EndVerdict::Unknown);
        else if (check.isRefused && (!check.probe || !m_connections.contains(*check.probe)))
            // The other server may have ended as well.
            check.probe = probeDataCentre(*server);
    }
    for (const auto& [server, verdict] : finished)
        finishEndCheck(*server, verdict);
}

TimePoint Router::nextEndCheck() const
{
    TimePoint next = kNever;
    for (const auto& [instance, check] : m_endChecks) {
        const TimePoint remaining = check.lostAt + kRemainingConnectionDelay;
        next = std::min(next, m_now < remaining ? remaining : check.lostAt + kEndCheckTimeout);
    }
    return next;
}

void Router::finishEndCheck(Server& server, EndVerdict verdict)
{
    const auto it = m_endChecks.find(server.record.instance);
    if (it == m_endChecks.end())
        return;
    const EndCheck check = std::move(it->second);
    m_endChecks.erase(it);
    server.isBeingChecked = false;
    std::vector<RequestFingerprint> knownSuspects;
    for (const LostAttempt& lost : check.attempts) {
        if (m_crashes.standing(lost.fingerprint) != RequestStanding::Clear)
            knownSuspects.push_back(lost.fingerprint);
    }
    if (verdict == EndVerdict::Ended) {
        ++m_counters.serversEnded;
        log(events::kServerEnded, { { "server", server.record.instance }, { "collection", server.record.collection }, { "attempts", fmt::to_string(check.attempts.size()) }, { "checked_us", fmt::to_string((m_now - check.lostAt).count()) } });
        for (const LostAttempt& lost : check.attempts)
            recordEnd(lost.fingerprint, { server.record.instance, server.record.collection, m_options.name, check.lostAt });
    }
    for (const LostAttempt& lost : check.attempts) {
        const bool isExplained = std::any_of(knownSuspects.begin(), knownSuspects.end(), [&](const RequestFingerprint& suspect) { return suspect != lost.fingerprint; });
        const auto request = m_requests.find(lost.request);
        if (request != m_requests.end() && !lost.wasAbandoned)
            --request->second.parts[lost.part].checks;
        continueLostAttempt(lost, verdict, isExplained);
    }
}

// Repeats the part of an attempt whose connection was lost, unless the request may be the reason.
void Router::continueLostAttempt(const LostAttempt& lost, EndVerdict verdict, bool isExplained)
{
    const auto it = m_requests.find(lost.request);
    if (lost.wasAbandoned || it == m_requests.end())
        return;
    Request& request = it->second;
    Part& part = request.parts[lost.part];
    if (part.state != PartState::Open || part.inFlight > 0 || part.checks > 0)
        return;
    if (verdict != EndVerdict::Ended || isExplained || m_crashes.wasAnsweredRecently(lost.fingerprint, m_now)) {
        part.mayRepeatAfterEnd = isExplained;
        repeatOrFail(lost.request, request, lost.part, lost.reason);
        return;
    }
    part.hasServerEnded = true;
    ++request.serversEnded;
    judgeEndedParts(lost.request, request);
    evaluate(lost.request);
}

// Decides on the parts whose servers ended. As long as no other part has been answered, the request may be what ended them.
void Router::judgeEndedParts(RequestKey key, Request& request)
{
    std::vector<std::size_t> ended;
    bool isAnyPending = false;
    for (std::size_t n = 0; n < request.parts.size(); ++n) {
        const Part& part = request.parts[n];
        if (part.state != PartState::Open)
            continue;
        if (part.inFlight > 0 || part.checks > 0)
            isAnyPending = true;
        else if (part.hasServerEnded)
            ended.push_back(n);
    }
    if (ended.empty() || (request.done == 0 && isAnyPending))
        return;
    for (const std::size_t n : ended) {
        Part& part = request.parts[n];
        part.hasServerEnded = false;
        part.mayRepeatAfterEnd = request.done > 0;
        if (part.mayRepeatAfterEnd && sendAdditionalAttempt(key, request, n, "the server ended"))
            continue;
        part.state = PartState::Failed;
        ++request.failed;
    }
    if (request.done == 0)
        failHeldParts(request);
}

// Lets a request to many shards that may end servers begin with one shard, if possible with one that has not lost a server under it.
void Router::holdParts(Request& request)
{
    if (!isScatter(request) || !isSuspect(request))
        return;
    std::vector<Part*> open;
    for (Part& part : request.parts) {
        if (part.state == PartState::Open)
            open.push_back(&part);
    }
    const auto intactEnd = std::partition(open.begin(), open.end(), [&](const Part* part) { return !m_crashes.isSuspectIn(request.fingerprint, part->collection); });
    const auto candidates = intactEnd == open.begin() ? open.size() : static_cast<std::size_t>(intactEnd - open.begin());
    const Part* first = open[boost::random::uniform_int_distribution<std::size_t>(0, candidates - 1)(m_random)];
    for (Part* part : open) {
        if (part != first)
            part->state = PartState::Held;
    }
}

// Sends at most the given number of the parts that are held.
void Router::sendHeldParts(RequestKey key, Request& request, std::size_t maximum)
{
    for (std::size_t n = 0; n < request.parts.size() && maximum > 0; ++n) {
        Part& part = request.parts[n];
        if (part.state != PartState::Held)
            continue;
        part.state = PartState::Open;
        if (startAttempt(key, request, n)) {
            --maximum;
            continue;
        }
        part.state = PartState::Failed;
        ++request.failed;
    }
}

void Router::failHeldParts(Request& request)
{
    for (Part& part : request.parts) {
        if (part.state != PartState::Held)
            continue;
        part.state = PartState::Failed;
        ++request.failed;
    }
}

bool Router::isSuspect(const Request& request) const
{
    return !m_crashes.empty() && m_crashes.standing(request.fingerprint) != RequestStanding::Clear;
}

// Returns whether a part that may have run on a server may be sent to another one.
bool Router::mayRunAgain(const Request& request, const Part& part) const
{
    if (part.mayHaveRun == 0 || part.mayRepeatAfterEnd || m_crashes.empty())
        return true;
    return m_crashes.standing(request.fingerprint) == RequestStanding::Clear && !m_crashes.isSuspectIn(request.fingerprint, part.collection);
}

bool Router::isEndPossible(const Request& request) const
{
    return std::any_of(request.parts.begin(), request.parts.end(), [](const Part& part) { return part.checks > 0 || part.hasServerEnded; });
}

// Returns the time until this instance may send a request under which several servers ended to one more server.
Micros Router::trialDelay(const RequestFingerprint& fingerprint)
{
    if (!m_crashes.needsTrial(fingerprint) || m_crashes.wasAnsweredRecently(fingerprint, m_now))
        return Micros { 0 };
    const Micros delay = m_trialTurns.timeUntilTurn(fingerprint, m_crashes.find(fingerprint)->ends.back().at, m_now);
    if (delay.count() > 0)
        return delay;
    const bool isInFlight = std::any_of(m_requests.begin(), m_requests.end(), [&](const auto& entry) { return entry.second.fingerprint == fingerprint; });
    return isInFlight ? randomRetryAfter() : Micros { 0 };
}

void Router::recordEnd(const RequestFingerprint& fingerprint, const policy::ServerEnd& end)
{
    if (fingerprint == RequestFingerprint {})
        return;
    const RequestStanding before = m_crashes.standing(fingerprint);
    m_crashes.recordEnd(fingerprint, end);
    logStanding(fingerprint, before);
}

void Router::recordAnswer(const RequestFingerprint& fingerprint, const CollectionName& collection)
{
    if (fingerprint == RequestFingerprint {})
        return;
    const RequestStanding before = m_crashes.standing(fingerprint);
    m_crashes.recordAnswer(fingerprint, collection, m_now);
    logStanding(fingerprint, before);
}

void Router::on(const CrashRecordsReceived& event)
{
    for (const policy::CrashRecord& record : event.records) {
        const RequestStanding before = m_crashes.standing(record.request);
        if (m_crashes.merge(record, m_now))
            logStanding(record.request, before);
    }
}

// Logs that a request became suspect, was blocked or was cleared.
void Router::logStanding(const RequestFingerprint& fingerprint, RequestStanding before)
{
    const RequestStanding standing = m_crashes.standing(fingerprint);
    if (standing == before)
        return;
    std::string servers;
    std::string reporters;
    for (const policy::ServerEnd& end : m_crashes.find(fingerprint)->ends) {
        servers += (servers.empty() ? "" : ",") + end.server;
        reporters += (reporters.empty() ? "" : ",") + end.reporter;
    }
    const EventDescription* description = &events::kRequestCleared;
    if (standing == RequestStanding::Suspect)
        description = &events::kRequestSuspected;
    else if (standing == RequestStanding::Blocked)
        description = &events::kRequestBlocked;
    log(*description, { { "fingerprint", fingerprint.text() }, { "servers", servers }, { "reporters", reporters } });
}

} // namespace curranttrail::routing
