#include "query/claims.h"

#include "query/events.h"

namespace curranttrail::query {

namespace {
    // Retention period of claims in the control group. The claim of an older id may have been dropped.
    constexpr UnixMillis kClaimRetentionMillis = 600'000;
} // namespace

Claims::Claims(ReducerContext& context, QueryTable& queries, FanOut& fanOut)
    : m_context(context)
    , m_queries(queries)
    , m_fanOut(fanOut)
{
}

std::optional<RefusalReason> Claims::validate(const QueryArrived& request)
{
    if (!request.requestId || request.requestId->empty() || !request.issuedAt)
        return RefusalReason::MissingRequestId;
    // An id issued in the future could outlive its claim just like one that is too old.
    const UnixMillis age = request.wallClock - *request.issuedAt;
    if (age > kClaimRetentionMillis || age < -kClaimRetentionMillis)
        return RefusalReason::RequestIdExpired;
    return std::nullopt;
}

void Claims::request(QueryState& query)
{
    query.claim = ClaimState::Pending;
    m_queries.setTimer(query, query.deadline);
    m_context.emit(RequestClaim {
        query.request.query, query.target().owner, *query.request.requestId, *query.request.issuedAt, query.deadline - m_context.now });
}

void Claims::settleNotRun(const OwnerName& owner, const std::string& requestId, QueryId query)
{
    m_context.emit(SettleClaim { owner, requestId, verdictOf({}), query });
}

void Claims::orphan(const QueryState& query)
{
    if (query.claim == ClaimState::Pending)
        m_orphaned.emplace(query.request.query, OrphanedClaim { query.target().owner, *query.request.requestId });
}

void Claims::onOrphanedResolved(const ClaimResolved& resolved)
{
    const std::map<QueryId, OrphanedClaim>::iterator it = m_orphaned.find(resolved.query);
    if (it == m_orphaned.end())
        return;
    if (resolved.outcome == ClaimOutcome::Granted || resolved.outcome == ClaimOutcome::Unavailable) {
        m_context.log(events::kClaimAfterEnd, { { "query", std::to_string(resolved.query.value) } });
        settleNotRun(it->second.owner, it->second.requestId, resolved.query);
    }
    m_orphaned.erase(it);
}

void Claims::onResolved(const ClaimResolved& resolved)
{
    QueryState* query = m_queries.find(resolved.query);
    if (!query || query->claim != ClaimState::Pending) {
        onOrphanedResolved(resolved);
        return;
    }
    if (resolved.outcome == ClaimOutcome::Granted && m_context.now < query->deadline) {
        query->claim = ClaimState::Granted;
        m_fanOut.begin(*query);
        return;
    }
    query->claim = ClaimState::NotNeeded;
    const OwnerName owner = query->target().owner;
    const std::string requestId = *query->request.requestId;
    switch (resolved.outcome) {
    case ClaimOutcome::Granted:
        settleNotRun(owner, requestId, resolved.query);
        m_fanOut.refuse(*query, RefusalReason::DeadlineReached, "the claim was granted after the deadline of the request");
        return;
    case ClaimOutcome::Unavailable:
        settleNotRun(owner, requestId, resolved.query);
        m_fanOut.refuse(*query, RefusalReason::ClaimUnavailable, "no quorum of the owner's control instances answered the claim");
        return;
    case ClaimOutcome::Duplicate:
        m_fanOut.refuseWithVerdict(*query, RefusalReason::DuplicateRequest, resolved.earlier, "the request id was already used");
        return;
    case ClaimOutcome::Expired:
        m_fanOut.refuseWithVerdict(*query, RefusalReason::RequestIdExpired, Verdict::MayHaveRun, "the request id is older than the retention period of claims");
        return;
    }
}

} // namespace curranttrail::query
