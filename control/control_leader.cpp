#include "control/control_reducer.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail::control {

namespace {

    // A learner at most this many entries behind the commit index catches up within one append.
    constexpr LogIndex kMaximumPromotionLagEntries = 64;

    struct SizeOf {
        std::size_t operator()(const NoOperation&) const { return 0; }
        std::size_t operator()(const ConfirmMembers&) const { return 0; }
        std::size_t operator()(const SetClass& command) const
        {
            return command.changeId.size() + command.target.name.size() + command.target.owner.size() + command.target.collection.size() + 64;
        }
        std::size_t operator()(const ClaimRequest& command) const { return command.requestId.size() + command.holder.size() + 16; }
        std::size_t operator()(const SettleClaimRequest& command) const { return command.requestId.size() + command.holder.size() + 8; }
        std::size_t operator()(const SetDocument& command) const { return command.content.size() + 16; }
        std::size_t operator()(const SetEvacuation& command) const { return command.dataCentre.size() + 8; }
        std::size_t operator()(const ChangeMembers& command) const { return (command.voters.size() + command.learners.size()) * (kMaximumNameLength + 8); }
    };

    std::size_t estimatedSize(const LogEntry& entry) { return 32 + std::visit(SizeOf {}, entry.command); }

    // Returns 0 for a replica that is no member, 1 for a learner and 2 for a voter.
    int memberRank(const Members& members, const InstanceName& name)
    {
        if (members.voters.contains(name))
            return 2;
        return members.learners.contains(name) ? 1 : 0;
    }

    std::set<InstanceName> changedMembers(const Members& before, const Members& after)
    {
        std::set<InstanceName> changed;
        for (const Members* members : { &before, &after }) {
            for (const std::set<InstanceName>* names : { &members->voters, &members->learners }) {
                for (const InstanceName& name : *names) {
                    if (memberRank(before, name) != memberRank(after, name))
                        changed.insert(name);
                }
            }
        }
        return changed;
    }

    CommandResult refusal(CommandStatus status, std::string message)
    {
        CommandResult result;
        result.status = status;
        result.message = std::move(message);
        return result;
    }

} // namespace

std::optional<CommandResult> ControlReducer::findRefusal(const Command& command)
{
    const std::string reason = invalidReason(command, m_options.owner);
    if (!reason.empty())
        return refusal(CommandStatus::Invalid, reason);
    if (m_role != Role::Leader) {
        CommandResult result = refusal(CommandStatus::NotLeader, "this replica is not the leader; another replica is, or none");
        result.leader = m_leader;
        if (std::holds_alternative<SetDocument>(command))
            result.version.value = state().document.version;
        return result;
    }
    if (m_storageFailed)
        return refusal(CommandStatus::StorageFailed, "the journal cannot be written");
    if (!leaseValidAt(m_now))
        return refusal(CommandStatus::NotLeader, "the leader does not hold a valid lease");
    if (const SetClass* change = std::get_if<SetClass>(&command)) {
        if (std::optional<CommandResult> earlier = m_stateMachine.earlierResult(*change))
            return earlier;
    }
    if (m_pendingTokens.size() >= m_options.maximumPendingCommands)
        return refusal(CommandStatus::NotLeader, "too many commands wait to be committed");
    if (const ChangeMembers* change = std::get_if<ChangeMembers>(&command))
        return findMemberChangeRefusal(*change);
    if (std::holds_alternative<ConfirmMembers>(command))
        return refusal(CommandStatus::Invalid, "the leader itself confirms the members");
    return std::nullopt;
}

// Allows one replica to change at a time, and only if the current members are committed and the leader has committed an entry of
// its own term: then any majority before the change overlaps with any majority after it. The change takes a majority before it as well.
std::optional<CommandResult> ControlReducer::findMemberChangeRefusal(const ChangeMembers& change) const
{
    if (m_commitIndex < m_termStartIndex || m_log.membersIndex() > m_commitIndex)
        return refusal(CommandStatus::RepairPending, "the previous change of members is not committed");
    if (!isVoter())
        return refusal(CommandStatus::RepairPending, "the leader is leaving the group");
    const Members after { change.voters, change.learners };
    const std::set<InstanceName> changed = changedMembers(members(), after);
    if (changed.size() > 1)
        return refusal(CommandStatus::Invalid, "the change affects more than one replica");

    const auto isAlive = [this](const InstanceName& name) {
        const auto it = m_progress.find(name);
        return name == m_options.name || (it != m_progress.end() && it->second.lastReply && m_now - *it->second.lastReply < m_options.maximumElectionTimeout);
    };
    const auto isIntact = [this](const InstanceName& name) {
        const auto it = m_progress.find(name);
        return name == m_options.name || (it != m_progress.end() && it->second.repairId == 0 && !it->second.regressed);
    };
    for (const InstanceName& name : changed) {
        const bool isPromotion = memberRank(after, name) == 2;
        if (isPromotion && memberRank(members(), name) != 1)
            return refusal(CommandStatus::Invalid, "a replica must be a learner before it becomes a voter");
        if (isPromotion && (!isAlive(name) || !isIntact(name) || m_progress.at(name).match + kMaximumPromotionLagEntries < m_commitIndex))
            return refusal(CommandStatus::RepairPending, "the learner has not caught up");
        if (isPromotion && mayHalfElect(m_log.currentMembers()) && !m_progress.at(name).knowsConfirmation)
            return refusal(CommandStatus::RepairPending, "the learner's build does not know the quorums of this group");
        if (memberRank(members(), name) != 2)
            continue;
        for (const InstanceName& voter : members().voters) {
            // The removed replica itself may be under repair if it no longer replies, as after a permanent failure.
            if (!isIntact(voter) && (voter != name || isAlive(voter)))
                return refusal(CommandStatus::RepairPending, "a voter is under repair");
        }
    }
    const auto hasUsableMajority = [&](const Members& set) {
        const auto usable = std::count_if(set.voters.begin(), set.voters.end(), [&](const InstanceName& name) { return isAlive(name) && isIntact(name); });
        return static_cast<std::size_t>(usable) >= set.majority();
    };
    if (!hasUsableMajority(members()) || !hasUsableMajority(after))
        return refusal(CommandStatus::RepairPending, "less than a majority of the voters before or after the change replies");
    return std::nullopt;
}

void ControlReducer::propose(Command command, std::optional<RequestToken> token)
{
    const bool changesMembers = std::holds_alternative<ChangeMembers>(command);
    m_log.append({ m_term, m_log.lastIndex() + 1, std::move(command) });
    if (token)
        m_pendingTokens[m_log.lastIndex()] = *token;
    if (changesMembers)
        updateProgressMembers();
}

// A voter that is removed gets entries until its removal is committed, since it counts in the set before the change.
void ControlReducer::updateProgressMembers()
{
    std::set<InstanceName> names = members().learners;
    for (const MembersAt* set : votingSets())
        names.insert(set->members.voters.begin(), set->members.voters.end());
    names.erase(m_options.name);
    std::erase_if(m_progress, [&names](const auto& item) { return !names.contains(item.first); });
    for (const InstanceName& name : names) {
        if (m_progress.contains(name))
            continue;
        Progress progress;
        progress.next = m_log.lastIndex() + 1;
        progress.minimumRound = m_round + 1;
        progress.silentSince = m_now;
        m_progress.emplace(name, progress);
    }
}

void ControlReducer::onMessage(const InstanceName& from, const AppendReply& reply)
{
    if (reply.term > m_term) {
        becomeFollower(reply.term, std::nullopt);
        return;
    }
    const auto it = m_progress.find(from);
    if (m_role != Role::Leader || reply.term < m_term || it == m_progress.end())
        return;
    Progress& progress = it->second;
    if (reply.round < progress.minimumRound || reply.round > m_round || reply.matchIndex > m_log.lastIndex())
        return;
    progress.lastReply = m_now;
    progress.knowsConfirmation = reply.knowsConfirmation;
    updateRepair(from, progress, reply);
    if (reply.round < progress.minimumRound)
        return;
    if (const std::optional<TimePoint> sentAt = roundSentAt(reply.round))
        progress.acknowledgedSentAt = std::max(progress.acknowledgedSentAt.value_or(*sentAt), *sentAt);
    if (!reply.success) {
        handleAppendRejection(from, progress, reply);
        return;
    }
    if (progress.regressed)
        return;
    if (reply.matchIndex > progress.match) {
        progress.match = reply.matchIndex;
        progress.matchRound = m_round;
    }
    if (progress.match < progress.next)
        return;
    progress.next = progress.match + 1;
    progress.awaitingReply = false;
}

// Starts a member's repair by proposing an entry that must commit without that member: once it has committed, no candidate can
// win with a vote that the member granted before it lost its disk, and every entry that it helped to commit precedes that
// entry.
void ControlReducer::updateRepair(const InstanceName& from, Progress& progress, const AppendReply& reply)
{
    if (reply.repairId == progress.repairId)
        return;
    if (reply.repairId == 0) {
        if (!progress.repairAnnounced)
            return;
        progress.repairId = 0;
        progress.repairAnnounced = false;
        progress.acknowledgedSentAt.reset();
        log(kPeerRepaired, { { "peer", from } });
        return;
    }
    log(kPeerRepairing, { { "peer", from } });
    progress = Progress {};
    progress.repairId = reply.repairId;
    progress.lastReply = m_now;
    progress.knowsConfirmation = reply.knowsConfirmation;
    progress.minimumRound = m_round + 1;
    progress.next = m_log.lastIndex() + 1;
    propose(NoOperation {}, std::nullopt);
    progress.repairIndex = m_log.lastIndex();
}

void ControlReducer::handleAppendRejection(const InstanceName& from, Progress& progress, const AppendReply& reply)
{
    if (reply.round != progress.lastRound)
        return;
    // The rejected request was sent after the member acknowledged these entries, so the member has lost them.
    if (progress.match > 0 && progress.lastPreviousIndex <= progress.match && progress.lastRound > progress.matchRound) {
        if (!progress.regressed)
            log(kPeerRegressed, { { "peer", from }, { "acknowledged", fmt::to_string(progress.match) }, { "held", fmt::to_string(reply.matchIndex) } });
        progress.regressed = true;
        progress.match = 0;
    }
    if (progress.awaitingReply && progress.next <= m_log.baseIndex())
        return;
    progress.next = std::max(progress.match + 1, std::min(reply.matchIndex + 1, std::max<LogIndex>(progress.lastPreviousIndex, 1)));
    progress.awaitingReply = false;
}

std::uint64_t ControlReducer::startRound()
{
    m_sentRounds.push_back({ ++m_round, m_now });
    while (m_now - m_sentRounds.front().sentAt > m_options.maximumElectionTimeout)
        m_sentRounds.pop_front();
    return m_round;
}

std::optional<TimePoint> ControlReducer::roundSentAt(std::uint64_t round) const
{
    if (m_sentRounds.empty() || round < m_sentRounds.front().round || round > m_sentRounds.back().round)
        return std::nullopt;
    return m_sentRounds[round - m_sentRounds.front().round].sentAt;
}

std::vector<LogEntry> ControlReducer::batchFrom(LogIndex index) const
{
    std::vector<LogEntry> batch;
    std::size_t size = 0;
    for (; index <= m_log.lastIndex(); ++index) {
        const LogEntry& entry = m_log.at(index);
        size += estimatedSize(entry);
        if (!batch.empty() && size > m_options.maximumAppendBytes)
            break;
        batch.push_back(entry);
    }
    return batch;
}

void ControlReducer::sendAppend(const InstanceName& to, Progress& progress, bool withEntries)
{
    AppendRequest request;
    request.term = m_term;
    request.previousIndex = std::max(progress.next - 1, m_log.baseIndex());
    request.previousTerm = *m_log.termAt(request.previousIndex);
    request.commitIndex = m_commitIndex;
    request.round = startRound();
    request.repairRequired = progress.regressed;
    if (progress.repairAnnounced) {
        request.repairId = progress.repairId;
        request.repairIndex = progress.repairIndex;
    }
    progress.lastRound = request.round;
    progress.lastPreviousIndex = request.previousIndex;
    if (withEntries) {
        request.entries = batchFrom(progress.next);
        progress.awaitingReply = true;
        progress.resendAt = m_now + m_options.minimumElectionTimeout;
    }
    send(to, std::move(request));
}

void ControlReducer::sendSnapshot(const InstanceName& to, Progress& progress)
{
    progress.awaitingReply = true;
    // Transferring and writing a snapshot takes longer than an append.
    progress.resendAt = m_now + 4 * m_options.maximumElectionTimeout;
    send(to, InstallSnapshot { m_term, startRound(), Snapshot { m_commitIndex, *m_log.termAt(m_commitIndex), state() } });
}

void ControlReducer::sendPendingEntries()
{
    for (auto& [name, progress] : m_progress) {
        if (progress.awaitingReply || progress.next > m_log.lastIndex())
            continue;
        if (progress.next <= m_log.baseIndex())
            sendSnapshot(name, progress);
        else
            sendAppend(name, progress, true);
    }
}

void ControlReducer::broadcastHeartbeat()
{
    m_nextHeartbeat = m_now + m_options.heartbeat;
    for (auto& [name, progress] : m_progress) {
        if (progress.awaitingReply && m_now >= progress.resendAt)
            progress.awaitingReply = false;
        sendAppend(name, progress, false);
    }
}

// Writes the new log entries to the journal. Entries that arrive during a sync are collected into the next write (group commit).
void ControlReducer::flushEntries()
{
    if (m_storageFailed || !m_pendingWrites.empty() || m_writtenIndex >= m_log.lastIndex())
        return;
    writeEntriesFrom(m_writtenIndex + 1);
}

void ControlReducer::commitMatchedEntries()
{
    LogIndex agreed = m_log.lastIndex();
    for (const MembersAt* set : votingSets())
        agreed = std::min(agreed, indexHeldByMajority(*set));
    // Entries of earlier terms commit only through an entry of this term, since a later leader could overwrite them although a
    // majority holds them.
    if (agreed > m_commitIndex && m_log.termAt(agreed) == m_term) {
        const bool commitsMembers = m_log.membersIndex() > m_commitIndex && m_log.membersIndex() <= agreed;
        advanceCommit(agreed);
        if (commitsMembers)
            updateProgressMembers();
    }
    for (auto& [name, progress] : m_progress) {
        if (progress.repairId != 0 && m_commitIndex >= progress.repairIndex)
            progress.repairAnnounced = true;
    }
    // Otherwise the others would still need votes of the voters before the removal, to which this replica belongs.
    if (!isVoter() && m_log.membersIndex() <= m_commitIndex && m_log.showsVotersCommitted(m_commitIndex))
        stepDown("this replica is no longer a voter");
}

// A replica whose removal is committed holds no lease, since the others do not ask it any more whether it leads.
bool ControlReducer::leaseValidAt(TimePoint time) const
{
    return m_role == Role::Leader && mayLead() && m_commitIndex >= m_termStartIndex && time < leaseEnd();
}

void ControlReducer::checkLease()
{
    const bool valid = leaseValidAt(m_now);
    if (valid == m_leaseHeld)
        return;
    m_leaseHeld = valid;
    log(valid ? kLeaseGained : kLeaseLost, { { "term", fmt::to_string(m_term) } });
}

} // namespace curranttrail::control
