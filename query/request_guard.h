#pragma once

#include "policy/crash_table.h"
#include "policy/trial_turns.h"
#include "query/query_state.h"
#include "query/reducer_context.h"

#include <vector>

namespace curranttrail::query {

// Knows which queries end the servers that run them, and decides whether a query may be sent and repeated. Queries of one owner and class
// with the same body are repetitions of one another, whatever their request ids.
class RequestGuard {
public:
    explicit RequestGuard(ReducerContext& context);

    void setInstances(const EntryInstancesChanged& change) { m_turns.setInstances(change.self, change.instances); }
    RequestFingerprint fingerprintOf(const QueryArrived& query) const;
    // Returns whether the query is refused because servers ended under it. Counts as a further arrival.
    bool refuses(const RequestFingerprint& request);
    // Returns whether several servers ended at once under the query, so that the instances take turns with it.
    bool needsTrial(const RequestFingerprint& request) const;
    Micros timeUntilTurn(const RequestFingerprint& request) const;
    bool isSuspect(const RequestFingerprint& request) const;
    bool wasAnsweredRecently(const RequestFingerprint& request) const;

    void recordEnd(const RequestFingerprint& request, const ListedServer& server, TimePoint at);
    void recordAnswer(const RequestFingerprint& request, const CollectionName& collection);
    void merge(const CrashRecordsReceived& event);
    void expire() { m_crashes.expire(m_context.now); }
    const policy::CrashTable& crashes() const { return m_crashes; }

private:
    void logStanding(const RequestFingerprint& request, policy::RequestStanding before);

    ReducerContext& m_context;
    RequestHasher m_hasher;
    policy::CrashTable m_crashes;
    policy::TrialTurns m_turns;
};

} // namespace curranttrail::query
