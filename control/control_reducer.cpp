#include "control/control_reducer.h"

#include <fmt/format.h>

#include <algorithm>
#include <type_traits>
#include <utility>

namespace curranttrail::control {

ControlReducer::ControlReducer(ControlOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
    , m_stateMachine(m_options.owner, m_options.initialVoters)
{
    m_log.reset(0, 0, { m_options.initialVoters, {} });
}

std::vector<Effect> ControlReducer::handle(const Event& event, TimePoint now)
{
    // The reducer's time is monotonic even if the driver passes an older timestamp.
    m_now = std::max(m_now, now);
    if (!m_started && !std::holds_alternative<Recovered>(event))
        return {};
    // Timers run before the event is handled, so that a process that was suspended gives up an expired lease before it replies.
    if (m_started)
        checkTimers();
    std::visit([this](const auto& content) { on(content); }, event);
    afterEvent();
    reportLeaderChange();
    return std::exchange(m_effects, {});
}

void ControlReducer::on(const Recovered& event)
{
    if (m_started)
        return;
    m_started = true;
    const RecoveredState& recovered = event.state;
    m_term = recovered.hardState.term;
    m_votedFor = recovered.hardState.votedFor;
    m_repairId = recovered.hardState.repairId;
    if (recovered.snapshot) {
        const Snapshot& snapshot = *recovered.snapshot;
        m_log.reset(snapshot.lastIndex, snapshot.lastTerm, { snapshot.state.voters, snapshot.state.learners }, snapshot.state.membersConfirmed);
        m_stateMachine.restore(snapshot.state);
        m_commitIndex = snapshot.lastIndex;
        m_snapshotIndex = snapshot.lastIndex;
    }
    for (const LogEntry& entry : recovered.entries)
        m_log.append(entry);
    m_writtenIndex = m_log.lastIndex();
    m_syncedIndex = m_log.lastIndex();
    m_startedAt = m_now;
    restartElectionTimer();
    log(kReplicaStarted, { { "term", fmt::to_string(m_term) }, { "last_index", fmt::to_string(m_log.lastIndex()) }, { "empty", recovered.empty ? "true" : "false" } });
    if (recovered.empty)
        startRepair("the data folder was empty at start", m_options.bootstrap);
}

void ControlReducer::on(const PeerMessageReceived& event)
{
    std::visit([this, &event](const auto& message) { onMessage(event.from, message); }, event.message);
}

void ControlReducer::on(const CommandSubmitted& event)
{
    if (std::optional<CommandResult> refusal = findRefusal(event.command)) {
        respond(event.token, std::move(*refusal));
        return;
    }
    propose(event.command, event.token);
}

void ControlReducer::on(const WriteSynced& event)
{
    if (event.write <= m_syncedWrite || event.write > m_lastWrite)
        return;
    m_syncedWrite = event.write;
    while (!m_pendingWrites.empty() && m_pendingWrites.front().write <= m_syncedWrite) {
        m_syncedIndex = std::max(m_syncedIndex, m_pendingWrites.front().lastIndex);
        m_pendingWrites.pop_front();
    }
    while (!m_deferredMessages.empty() && m_deferredMessages.front().write <= m_syncedWrite) {
        m_effects.emplace_back(std::move(m_deferredMessages.front().message));
        m_deferredMessages.pop_front();
    }
    countOwnVote();
}

void ControlReducer::on(const StorageChanged& event)
{
    if (event.failed == m_storageFailed)
        return;
    m_storageFailed = event.failed;
    log(event.failed ? kStorageFailed : kStorageRestored);
}

// Performs the actions that depend on the new state and not on the event that led to it.
void ControlReducer::afterEvent()
{
    if (m_role == Role::Leader && m_storageFailed && canAnotherReplicaLead())
        stepDown("the journal cannot be written");
    if (m_role == Role::Leader) {
        commitMatchedEntries();
        proveMembers();
        flushEntries();
        sendPendingEntries();
        checkLease();
    }
    compactIfDue();
}

void ControlReducer::log(const EventDescription& description, std::vector<EventField> fields)
{
    m_effects.emplace_back(LogEvent { &description, std::move(fields) });
}

std::uint64_t ControlReducer::writeJournal(WriteJournal write)
{
    write.write = ++m_lastWrite;
    m_effects.emplace_back(std::move(write));
    return m_lastWrite;
}

void ControlReducer::writeHardState()
{
    WriteJournal write;
    write.hardState = HardState { m_term, m_votedFor, m_repairId };
    m_hardStateWrite = writeJournal(std::move(write));
}

void ControlReducer::writeEntriesFrom(LogIndex index)
{
    WriteJournal write;
    for (LogIndex n = index; n <= m_log.lastIndex(); ++n)
        write.entries.push_back(m_log.at(n));
    m_writtenIndex = m_log.lastIndex();
    const std::uint64_t number = writeJournal(std::move(write));
    m_pendingWrites.push_back({ number, m_writtenIndex });
}

void ControlReducer::send(const InstanceName& to, PeerMessage message)
{
    m_effects.emplace_back(SendToPeer { to, std::move(message) });
}

void ControlReducer::sendAfterSync(const InstanceName& to, PeerMessage message)
{
    if (m_syncedWrite == m_lastWrite) {
        send(to, std::move(message));
        return;
    }
    // Bounds the queue during a disk stall: at most one message per type and peer waits for the same write.
    for (auto it = m_deferredMessages.rbegin(); it != m_deferredMessages.rend() && it->write == m_lastWrite; ++it) {
        if (it->message.to != to || it->message.message.index() != message.index())
            continue;
        const AppendReply* waiting = std::get_if<AppendReply>(&it->message.message);
        AppendReply* reply = std::get_if<AppendReply>(&message);
        if (waiting && waiting->success != reply->success)
            continue;
        // Both replies describe the same log, since no write lies between them. Keeps the higher index, as requests may arrive
        // out of order.
        if (waiting && waiting->success)
            reply->matchIndex = std::max(reply->matchIndex, waiting->matchIndex);
        it->message.message = std::move(message);
        return;
    }
    m_deferredMessages.push_back({ m_lastWrite, { to, std::move(message) } });
}

void ControlReducer::respond(RequestToken token, CommandResult result)
{
    m_effects.emplace_back(Respond { token, std::move(result) });
}

void ControlReducer::advanceCommit(LogIndex index)
{
    const ConfigurationVersion before = state().configuration.version;
    const std::uint64_t documentBefore = state().document.version;
    const std::set<DataCentreName> evacuatedBefore = state().evacuatedDataCentres;
    while (m_commitIndex < index) {
        const LogEntry& entry = m_log.at(++m_commitIndex);
        const Members membersBefore { state().voters, state().learners };
        const CommandResult result = m_stateMachine.apply(entry.command);
        if (std::holds_alternative<ChangeMembers>(entry.command) && membersBefore != Members { state().voters, state().learners })
            log(kMembersChanged, { { "voters", fmt::to_string(state().voters.size()) }, { "learners", fmt::to_string(state().learners.size()) } });
        const auto token = m_pendingTokens.find(m_commitIndex);
        if (token == m_pendingTokens.end())
            continue;
        respond(token->second, result);
        m_pendingTokens.erase(token);
    }
    reportDocumentChange(documentBefore);
    reportEvacuationChange(evacuatedBefore);
    if (state().configuration.version == before)
        return;
    log(kChangeAccepted, { { "version", fmt::to_string(state().configuration.version.value) } });
    m_effects.emplace_back(ConfigurationCommitted { state().configuration });
}

void ControlReducer::reportDocumentChange(std::uint64_t before)
{
    const std::uint64_t version = state().document.version;
    if (version == before)
        return;
    log(kDocumentAccepted, { { "version", fmt::to_string(version) }, { "index", fmt::to_string(m_commitIndex) }, { "bytes", fmt::to_string(state().document.content.size()) } });
    m_effects.emplace_back(DocumentCommitted { version });
}

void ControlReducer::reportEvacuationChange(const std::set<DataCentreName>& before)
{
    const std::set<DataCentreName>& evacuated = state().evacuatedDataCentres;
    if (evacuated == before)
        return;
    log(kEvacuationsAccepted, { { "evacuated", fmt::format("{}", fmt::join(evacuated, ",")) }, { "before", fmt::format("{}", fmt::join(before, ",")) }, { "index", fmt::to_string(m_commitIndex) } });
    m_effects.emplace_back(EvacuationsCommitted {});
}

void ControlReducer::reportLeaderChange()
{
    if (m_leader == m_reportedLeader && m_leaseHeld == m_reportedLease)
        return;
    m_reportedLeader = m_leader;
    m_reportedLease = m_leaseHeld;
    m_effects.emplace_back(LeaderChanged { m_leaseHeld, m_term });
}

void ControlReducer::compactIfDue()
{
    const std::size_t records = state().changes.size() + state().claims.size() + state().configuration.classes.size();
    if (m_storageFailed || m_commitIndex - m_snapshotIndex < std::max(m_options.compactionEntries, records))
        return;
    WriteJournal write;
    write.snapshot = Snapshot { m_commitIndex, *m_log.termAt(m_commitIndex), state() };
    m_snapshotIndex = m_commitIndex;
    m_writtenIndex = std::max(m_writtenIndex, m_commitIndex);
    const std::uint64_t number = writeJournal(std::move(write));
    m_pendingWrites.push_back({ number, m_commitIndex });
    if (m_commitIndex > m_options.retainedEntries)
        m_log.compactTo(m_commitIndex - m_options.retainedEntries);
    log(kSnapshotTaken, { { "index", fmt::to_string(m_commitIndex) } });
}

TimePoint ControlReducer::nextWakeup() const
{
    if (!m_started)
        return kNever;
    if (m_role != Role::Leader)
        return m_electionDeadline;
    return m_leaseHeld ? std::min(m_nextHeartbeat, leaseEnd()) : m_nextHeartbeat;
}

std::vector<MemberHealth> ControlReducer::memberHealth(TimePoint now) const
{
    std::vector<MemberHealth> healths;
    for (const auto& [name, progress] : m_progress) {
        if (!members().contains(name))
            continue;
        MemberHealth health;
        health.name = name;
        health.timeSinceReply = now - progress.lastReply.value_or(progress.silentSince);
        health.caughtUp = progress.repairId == 0 && !progress.regressed && progress.match >= m_termStartIndex;
        healths.push_back(std::move(health));
    }
    return healths;
}

ReplicaStatus ControlReducer::status(TimePoint now) const
{
    ReplicaStatus status;
    status.role = m_role;
    if (m_role == Role::Follower && !isVoter())
        status.role = Role::Learner;
    status.term = m_term;
    status.leader = m_leader;
    status.leaseValid = leaseValidAt(std::max(now, m_now));
    status.repairing = m_repairId != 0 || m_syncedWrite < m_repairedWrite;
    status.storageFailed = m_storageFailed;
    status.lastIndex = m_log.lastIndex();
    status.commitIndex = m_commitIndex;
    status.configurationVersion = state().configuration.version;
    status.voters = members().voters;
    status.learners = members().learners;
    status.membersRecorded = membersRecorded();
    status.timeWithoutLeader = timeWithoutLeader(std::max(now, m_now));
    return status;
}

} // namespace curranttrail::control
