#pragma once

#include "control/messages.h"

#include <deque>
#include <optional>

namespace curranttrail::control {

// Voters and learners of a group.
struct Members {
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;

    bool contains(const InstanceName& name) const { return voters.contains(name) || learners.contains(name); }
    std::size_t majority() const { return voters.size() / 2 + 1; }
    bool operator==(const Members&) const = default;
};

// Members as of an entry of the log, and what the log shows of their voters.
struct MembersAt {
    LogIndex index = 0;
    Members members;
    // Index of the entry that set these voters.
    LogIndex votersIndex = 0;
    // Index of a later entry, or of a snapshot, which shows that these voters were committed before it. 0 for none.
    LogIndex committedBy = 0;
    // Index of a later entry, or of a snapshot, with the confirmation of these voters. 0 for none.
    LogIndex confirmedBy = 0;
};

// In-memory part of the log, which starts after a base entry that a snapshot covers. Also tracks the members, which take effect
// as soon as their entry is appended, committed or not.
class ReplicatedLog {
public:
    // Removes all entries and restarts the log after the given base entry.
    void reset(LogIndex baseIndex, Term baseTerm, Members members, bool membersConfirmed = false);

    // Appends an entry. Its index must be lastIndex() + 1.
    void append(LogEntry entry);
    // Removes the entries from the given index on and undoes membership changes among them.
    void truncateFrom(LogIndex index);
    // Removes the entries up to and including the given index.
    void compactTo(LogIndex index);

    LogIndex baseIndex() const { return m_baseIndex; }
    LogIndex lastIndex() const { return m_baseIndex + m_entries.size(); }
    Term lastTerm() const { return m_entries.empty() ? m_baseTerm : m_entries.back().term; }
    // Returns the term of an entry, or std::nullopt if the log does not contain it.
    std::optional<Term> termAt(LogIndex index) const;
    const LogEntry& at(LogIndex index) const { return m_entries[index - m_baseIndex - 1]; }

    // Returns the members as of the last entry.
    const Members& members() const { return m_history.back().members; }
    // Returns the index of the entry that set the current members.
    LogIndex membersIndex() const { return m_history.back().index; }
    const MembersAt& currentMembers() const { return m_history.back(); }
    // Returns the members before the last change of voters if neither the commit index nor the log shows that the change is committed, and
    // nullptr otherwise. Earlier changes are committed, since a leader proposes one only after the one before.
    const MembersAt* uncommittedPredecessor(LogIndex commitIndex) const;
    // True if an entry up to the commit index shows that the current voters are committed, so that a majority of them can see it.
    bool showsVotersCommitted(LogIndex commitIndex) const;

private:
    LogIndex m_baseIndex = 0;
    Term m_baseTerm = 0;
    std::deque<LogEntry> m_entries;
    // Membership changes in order. Never empty: the first element holds the members at the base index.
    std::deque<MembersAt> m_history = std::deque<MembersAt>(1);
};

} // namespace curranttrail::control
