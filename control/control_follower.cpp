#include "control/control_reducer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::control {

// Returns true and follows the sender if it is the leader of the current or a newer term.
bool ControlReducer::acceptLeader(const InstanceName& from, Term term, std::uint64_t round)
{
    if (term < m_term) {
        rejectAppend(from, round, 0);
        return false;
    }
    if (term == m_term && m_role == Role::Leader) {
        log(kProtocolViolation, { { "from", from }, { "reason", "a second leader in the current term" } });
        return false;
    }
    becomeFollower(term, from);
    m_leaderContact = m_now;
    m_lastLeader = from;
    restartElectionTimer();
    return true;
}

void ControlReducer::onMessage(const InstanceName& from, const AppendRequest& request)
{
    if (!acceptLeader(from, request.term, request.round))
        return;
    if (request.repairRequired && m_repairId == 0)
        startRepair("entries that this replica acknowledged are missing");

    const std::optional<Term> previousTerm = m_log.termAt(request.previousIndex);
    if (request.previousIndex > m_log.lastIndex()) {
        rejectAppend(from, request.round, m_log.lastIndex());
        return;
    }
    // Entries before the base index are committed and therefore match.
    if (previousTerm && *previousTerm != request.previousTerm) {
        LogIndex hint = request.previousIndex - 1;
        while (hint > m_commitIndex && m_log.termAt(hint) == previousTerm)
            --hint;
        rejectAppend(from, request.round, std::max(hint, m_commitIndex));
        return;
    }
    const std::optional<LogIndex> match = storeEntries(request);
    if (!match)
        return;
    const LogIndex commit = std::min(request.commitIndex, *match);
    if (commit > m_commitIndex)
        advanceCommit(commit);
    if (request.repairId != 0 && request.repairId == m_repairId && std::min(*match, m_syncedIndex) >= request.repairIndex)
        completeRepair(from);
    sendAppendReply(from, request.round, *match);
}

// Returns the last index up to which this log matches the leader's, or std::nullopt if the request is malformed.
std::optional<LogIndex> ControlReducer::storeEntries(const AppendRequest& request)
{
    if (m_storageFailed)
        return request.previousIndex;
    LogIndex index = request.previousIndex;
    LogIndex firstNew = 0;
    for (const LogEntry& entry : request.entries) {
        if (entry.index != ++index) {
            log(kProtocolViolation, { { "reason", "entries are not consecutive" } });
            return std::nullopt;
        }
        if (index <= m_log.baseIndex() || m_log.termAt(index) == entry.term)
            continue;
        if (index <= m_commitIndex) {
            log(kProtocolViolation, { { "reason", "an append conflicts with a committed entry" }, { "index", fmt::to_string(index) } });
            return std::nullopt;
        }
        if (index <= m_log.lastIndex()) {
            m_log.truncateFrom(index);
            m_syncedIndex = std::min(m_syncedIndex, index - 1);
            for (PendingWrite& write : m_pendingWrites)
                write.lastIndex = std::min(write.lastIndex, index - 1);
        }
        m_log.append(entry);
        if (firstNew == 0)
            firstNew = index;
    }
    if (firstNew != 0)
        writeEntriesFrom(firstNew);
    return index;
}

void ControlReducer::onMessage(const InstanceName& from, const InstallSnapshot& request)
{
    if (!acceptLeader(from, request.term, request.round) || m_storageFailed)
        return;
    const Snapshot& snapshot = request.snapshot;
    if (snapshot.lastIndex <= m_commitIndex) {
        sendAppendReply(from, request.round, m_commitIndex);
        return;
    }
    WriteJournal write;
    write.snapshot = snapshot;
    write.replaceEntries = m_log.termAt(snapshot.lastIndex) != snapshot.lastTerm;
    if (write.replaceEntries) {
        m_log.reset(snapshot.lastIndex, snapshot.lastTerm, { snapshot.state.voters, snapshot.state.learners }, snapshot.state.membersConfirmed);
        m_pendingWrites.clear();
        m_syncedIndex = 0;
    } else {
        m_log.compactTo(snapshot.lastIndex);
    }
    const ConfigurationVersion before = state().configuration.version;
    const std::uint64_t documentBefore = state().document.version;
    const std::set<DataCentreName> evacuatedBefore = state().evacuatedDataCentres;
    m_stateMachine.restore(snapshot.state);
    m_commitIndex = snapshot.lastIndex;
    m_snapshotIndex = snapshot.lastIndex;
    m_writtenIndex = m_log.lastIndex();
    m_pendingWrites.push_back({ writeJournal(std::move(write)), snapshot.lastIndex });
    log(kSnapshotInstalled, { { "index", fmt::to_string(snapshot.lastIndex) }, { "from", from } });
    reportDocumentChange(documentBefore);
    reportEvacuationChange(evacuatedBefore);
    if (state().configuration.version != before)
        m_effects.emplace_back(ConfigurationCommitted { state().configuration });
    sendAppendReply(from, request.round, snapshot.lastIndex);
}

// Acknowledges synced entries at once, so that a slow disk does not cost the leader its lease, and the others after their sync.
void ControlReducer::sendAppendReply(const InstanceName& to, std::uint64_t round, LogIndex match)
{
    AppendReply reply { m_term, true, std::min(match, m_syncedIndex), round, true, m_repairId };
    if (m_syncedWrite >= m_hardStateWrite)
        send(to, reply);
    if (reply.matchIndex == match && m_syncedWrite >= m_hardStateWrite)
        return;
    reply.matchIndex = match;
    sendAfterSync(to, reply);
}

void ControlReducer::rejectAppend(const InstanceName& to, std::uint64_t round, LogIndex hint)
{
    sendAfterSync(to, AppendReply { m_term, false, hint, round, true, m_repairId });
}

} // namespace curranttrail::control
