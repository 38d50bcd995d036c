#include "query/query_table.h"

#include <algorithm>

namespace curranttrail::query {

QueryState* QueryTable::find(QueryId id)
{
    const decltype(m_queries)::iterator it = m_queries.find(id);
    return it == m_queries.end() ? nullptr : it->second.get();
}

QueryState& QueryTable::add(std::unique_ptr<QueryState> query)
{
    ++m_sizes[query->target().owner];
    const QueryId id = query->request.query;
    return *m_queries.emplace(id, std::move(query)).first->second;
}

void QueryTable::remove(QueryId id)
{
    const decltype(m_queries)::iterator it = m_queries.find(id);
    if (it == m_queries.end())
        return;
    m_timers.erase({ it->second->timerAt, id });
    --m_sizes[it->second->target().owner];
    m_queries.erase(it);
}

std::uint32_t QueryTable::sizeOf(const OwnerName& owner) const
{
    const std::map<OwnerName, std::uint32_t>::const_iterator it = m_sizes.find(owner);
    return it == m_sizes.end() ? 0 : it->second;
}

void QueryTable::setTimer(QueryState& query, TimePoint at)
{
    if (query.timerAt == at)
        return;
    m_timers.erase({ query.timerAt, query.request.query });
    query.timerAt = at;
    if (at != kNever)
        m_timers.emplace(at, query.request.query);
}

void QueryTable::limitDeadlines(TimePoint latest)
{
    for (const auto& [id, query] : m_queries) {
        query->deadline = std::min(query->deadline, latest);
        query->targetAt = std::min(query->targetAt, latest);
        if (query->timerAt != kNever && query->timerAt > latest)
            setTimer(*query, latest);
    }
}

QueryState* QueryTable::due(TimePoint now)
{
    if (m_timers.empty() || m_timers.begin()->first > now)
        return nullptr;
    return find(m_timers.begin()->second);
}

bool QueryTable::isInFlight(const RequestFingerprint& fingerprint) const
{
    return std::any_of(m_queries.begin(), m_queries.end(), [&](const auto& entry) { return entry.second->fingerprint == fingerprint; });
}

AttemptState* QueryTable::findAttempt(AttemptId id)
{
    const decltype(m_attempts)::iterator it = m_attempts.find(id);
    return it == m_attempts.end() ? nullptr : &it->second;
}

std::vector<AttemptId> QueryTable::attemptIds() const
{
    std::vector<AttemptId> ids;
    ids.reserve(m_attempts.size());
    for (const std::pair<const AttemptId, AttemptState>& entry : m_attempts)
        ids.push_back(entry.first);
    std::sort(ids.begin(), ids.end());
    return ids;
}

} // namespace curranttrail::query
