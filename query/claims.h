#pragma once

#include "query/fan_out.h"

#include <map>

namespace curranttrail::query {

// Claims of request ids, which let a request that must not be repeated run at most once.
class Claims {
public:
    Claims(ReducerContext& context, QueryTable& queries, FanOut& fanOut);

    // Returns why the request's id cannot be claimed, or nothing.
    static std::optional<RefusalReason> validate(const QueryArrived& request);
    void request(QueryState& query);
    void onResolved(const ClaimResolved& resolved);
    // The query ends before its claim was resolved.
    void orphan(const QueryState& query);
    // Returns the number of claims that are awaited although their query has ended.
    std::size_t orphanedCount() const { return m_orphaned.size(); }

private:
    struct OrphanedClaim {
        OwnerName owner;
        std::string requestId;
    };

    void settleNotRun(const OwnerName& owner, const std::string& requestId, QueryId query);
    void onOrphanedResolved(const ClaimResolved& resolved);

    ReducerContext& m_context;
    QueryTable& m_queries;
    FanOut& m_fanOut;
    std::map<QueryId, OrphanedClaim> m_orphaned;
};

} // namespace curranttrail::query
