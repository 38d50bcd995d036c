#include "control/replicated_log.h"

#include <algorithm>
#include <utility>

namespace curranttrail::control {

void ReplicatedLog::reset(LogIndex baseIndex, Term baseTerm, Members members, bool membersConfirmed)
{
    m_baseIndex = baseIndex;
    m_baseTerm = baseTerm;
    m_entries.clear();
    m_history.clear();
    m_history.push_back({ baseIndex, std::move(members), baseIndex, baseIndex, membersConfirmed ? baseIndex : 0 });
}

void ReplicatedLog::append(LogEntry entry)
{
    MembersAt& last = m_history.back();
    if (const ChangeMembers* change = std::get_if<ChangeMembers>(&entry.command)) {
        if (change->voters == last.members.voters)
            m_history.push_back({ entry.index, { change->voters, change->learners }, last.votersIndex, last.committedBy == 0 ? entry.index : last.committedBy, last.confirmedBy });
        else
            m_history.push_back({ entry.index, { change->voters, change->learners }, entry.index });
    } else if (std::holds_alternative<ConfirmMembers>(entry.command) && last.confirmedBy == 0) {
        last.confirmedBy = entry.index;
    }
    m_entries.push_back(std::move(entry));
}

void ReplicatedLog::truncateFrom(LogIndex index)
{
    while (lastIndex() >= index && !m_entries.empty())
        m_entries.pop_back();
    while (m_history.size() > 1 && m_history.back().index >= index)
        m_history.pop_back();
    if (m_history.back().confirmedBy >= index)
        m_history.back().confirmedBy = 0;
}

void ReplicatedLog::compactTo(LogIndex index)
{
    while (m_baseIndex < index && !m_entries.empty()) {
        m_baseTerm = m_entries.front().term;
        m_entries.pop_front();
        ++m_baseIndex;
    }
    while (m_history.size() > 1 && m_history[1].index <= m_baseIndex)
        m_history.pop_front();
}

const MembersAt* ReplicatedLog::uncommittedPredecessor(LogIndex commitIndex) const
{
    const MembersAt& current = m_history.back();
    if (current.votersIndex <= commitIndex || current.committedBy != 0 || current.confirmedBy != 0)
        return nullptr;
    const auto it = std::find_if(m_history.rbegin(), m_history.rend(), [&](const MembersAt& each) { return each.votersIndex != current.votersIndex; });
    return it == m_history.rend() ? nullptr : &*it;
}

bool ReplicatedLog::showsVotersCommitted(LogIndex commitIndex) const
{
    if (uncommittedPredecessor(0))
        return false;
    const MembersAt& current = m_history.back();
    const auto isCommitted = [commitIndex](LogIndex index) { return index != 0 && index <= commitIndex; };
    const bool hasProof = current.committedBy != 0 || current.confirmedBy != 0;
    return !hasProof || isCommitted(current.committedBy) || isCommitted(current.confirmedBy);
}

std::optional<Term> ReplicatedLog::termAt(LogIndex index) const
{
    if (index == m_baseIndex)
        return m_baseTerm;
    if (index < m_baseIndex || index > lastIndex())
        return std::nullopt;
    return at(index).term;
}

} // namespace curranttrail::control
