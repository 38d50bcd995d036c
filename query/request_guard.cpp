#include "query/request_guard.h"

#include "query/events.h"

#include <string>

namespace curranttrail::query {

using policy::RequestStanding;

RequestGuard::RequestGuard(ReducerContext& context)
    : m_context(context)
    , m_hasher(context.options.fingerprintKey)
{
}

RequestFingerprint RequestGuard::fingerprintOf(const QueryArrived& query) const
{
    return m_hasher.fingerprint({ query.caller, query.className, query.body });
}

bool RequestGuard::refuses(const RequestFingerprint& request)
{
    if (m_crashes.empty() || m_crashes.standing(request) != RequestStanding::Blocked)
        return false;
    m_crashes.recordArrival(request, m_context.now);
    return true;
}

bool RequestGuard::needsTrial(const RequestFingerprint& request) const
{
    return m_crashes.needsTrial(request) && !wasAnsweredRecently(request);
}

Micros RequestGuard::timeUntilTurn(const RequestFingerprint& request) const
{
    return m_turns.timeUntilTurn(request, m_crashes.find(request)->ends.back().at, m_context.now);
}

bool RequestGuard::isSuspect(const RequestFingerprint& request) const
{
    return !m_crashes.empty() && m_crashes.standing(request) != RequestStanding::Clear;
}

bool RequestGuard::wasAnsweredRecently(const RequestFingerprint& request) const
{
    return m_crashes.wasAnsweredRecently(request, m_context.now);
}

void RequestGuard::recordEnd(const RequestFingerprint& request, const ListedServer& server, TimePoint at)
{
    const RequestStanding before = m_crashes.standing(request);
    m_crashes.recordEnd(request, { server.name, server.collection, m_context.options.name, at });
    logStanding(request, before);
}

void RequestGuard::recordAnswer(const RequestFingerprint& request, const CollectionName& collection)
{
    const RequestStanding before = m_crashes.standing(request);
    m_crashes.recordAnswer(request, collection, m_context.now);
    logStanding(request, before);
}

void RequestGuard::merge(const CrashRecordsReceived& event)
{
    for (const policy::CrashRecord& record : event.records) {
        const RequestStanding before = m_crashes.standing(record.request);
        if (m_crashes.merge(record, m_context.now))
            logStanding(record.request, before);
    }
}

// Logs that a query became suspect, was blocked or was cleared.
void RequestGuard::logStanding(const RequestFingerprint& request, RequestStanding before)
{
    const RequestStanding standing = m_crashes.standing(request);
    if (standing == before)
        return;
    std::string servers;
    std::string reporters;
    for (const policy::ServerEnd& end : m_crashes.find(request)->ends) {
        servers += (servers.empty() ? "" : ",") + end.server;
        reporters += (reporters.empty() ? "" : ",") + end.reporter;
    }
    const EventDescription* description = &events::kQueryCleared;
    if (standing == RequestStanding::Suspect)
        description = &events::kQuerySuspected;
    else if (standing == RequestStanding::Blocked)
        description = &events::kQueryBlocked;
    m_context.log(*description, { { "fingerprint", request.text() }, { "servers", servers }, { "reporters", reporters } });
}

} // namespace curranttrail::query
