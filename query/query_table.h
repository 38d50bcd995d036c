#pragma once

#include "query/query_state.h"

#include <boost/unordered/unordered_flat_map.hpp>

#include <map>
#include <memory>
#include <set>
#include <utility>
#include <vector>

namespace curranttrail::query {

// Queries and attempts in flight, and the queries' timers.
class QueryTable {
public:
    QueryState* find(QueryId id);
    QueryState& add(std::unique_ptr<QueryState> query);
    void remove(QueryId id);
    std::size_t size() const { return m_queries.size(); }
    // Returns the number of queries in flight of one caller.
    std::uint32_t sizeOf(const OwnerName& owner) const;

    void setTimer(QueryState& query, TimePoint at);
    // Ends the time of all queries at the latest at the given time.
    void limitDeadlines(TimePoint latest);
    // Returns the query with the earliest due timer, or null if none is due.
    QueryState* due(TimePoint now);
    TimePoint nextTimer() const { return m_timers.empty() ? kNever : m_timers.begin()->first; }

    AttemptId nextAttempt() { return AttemptId { ++m_lastAttempt }; }
    AttemptState* findAttempt(AttemptId id);
    void addAttempt(AttemptId id, AttemptState attempt) { m_attempts.emplace(id, std::move(attempt)); }
    void removeAttempt(AttemptId id) { m_attempts.erase(id); }
    std::vector<AttemptId> attemptIds() const;
    // Returns whether a query with this content is in flight. Needed for the few queries under which servers ended.
    bool isInFlight(const RequestFingerprint& fingerprint) const;
    std::size_t attempts() const { return m_attempts.size(); }

    ClassCounters& counters(const OwnerName& owner, const ClassName& name) { return m_counters[{ owner, name }]; }
    const std::map<std::pair<OwnerName, ClassName>, ClassCounters>& counters() const { return m_counters; }

private:
    boost::unordered_flat_map<QueryId, std::unique_ptr<QueryState>, std::hash<QueryId>> m_queries;
    boost::unordered_flat_map<AttemptId, AttemptState, std::hash<AttemptId>> m_attempts;
    std::set<std::pair<TimePoint, QueryId>> m_timers;
    std::map<OwnerName, std::uint32_t> m_sizes;
    std::map<std::pair<OwnerName, ClassName>, ClassCounters> m_counters;
    std::uint64_t m_lastAttempt = 0;
};

} // namespace curranttrail::query
