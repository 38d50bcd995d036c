#pragma once

#include "query/fan_out.h"

#include <map>

namespace curranttrail::query {

// Claims request ids in the control group, so that a request that must not be repeated runs at most once.
class Claims {
public:
    Claims(ReducerContext& context, QueryTable& queries, FanOut& fanOut);

    // Returns the reason why the request's id cannot be claimed, or nothing if it can.
    static std::optional<RefusalReason> validate(const QueryArrived& request);
    void request(QueryState& query);
    void onResolved(const ClaimResolved& resolved);
    // Keeps the pending claim of a query that ends, so that the claim is settled once it is resolved.
    void orphan(const QueryState& query);
    // Returns the number of unresolved claims whose query has ended.
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
