#include "control/control_reducer.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <array>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::control {

namespace {
    // Delay before each pre-vote soon after a start. About the time that replicas which start together need to connect, and much
    // shorter than an election timeout, so that a group has a leader soon after all replicas restart.
    constexpr Micros kMinimumFirstElectionDelay { 20'000 };
    constexpr Micros kMaximumFirstElectionDelay { 100'000 };
    // Longer than an election takes, so that a change of leader is not reported.
    constexpr Micros kMissingLeaderReportDelay { 2'000'000 };
    constexpr Micros kMissingLeaderReportInterval { 2'000'000 };

    // What became of a request for a vote.
    enum class VoteAnswer {
        None,
        Granted,
        // Counts only if no voter leads.
        GrantedConditionally,
        // Counts only if every voter grants its vote.
        GrantedUnderRepair,
        Refused,
        RefusedUnderRepair,
        RefusedByLeader,
    };

    constexpr std::array<EnumName<VoteAnswer>, 7> kVoteAnswerNames { {
        { VoteAnswer::None, "none" },
        { VoteAnswer::Granted, "granted" },
        { VoteAnswer::GrantedConditionally, "granted_conditionally" },
        { VoteAnswer::GrantedUnderRepair, "granted_under_repair" },
        { VoteAnswer::Refused, "refused" },
        { VoteAnswer::RefusedUnderRepair, "refused_under_repair" },
        { VoteAnswer::RefusedByLeader, "refused_by_leader" },
    } };

    VoteAnswer answerOf(const VoteReply& reply)
    {
        if (reply.granted && reply.repairId != 0)
            return VoteAnswer::GrantedUnderRepair;
        if (reply.granted)
            return reply.conditional ? VoteAnswer::GrantedConditionally : VoteAnswer::Granted;
        if (reply.leads)
            return VoteAnswer::RefusedByLeader;
        return reply.repairId == 0 ? VoteAnswer::Refused : VoteAnswer::RefusedUnderRepair;
    }
}

void ControlReducer::checkTimers()
{
    if (m_role == Role::Leader) {
        checkLease();
        if (m_now - m_leaderSince >= m_options.maximumElectionTimeout && !hasQuorumContactWithin(m_options.maximumElectionTimeout)) {
            stepDown("no reply from a majority of the voters");
            return;
        }
        if (m_now >= m_nextHeartbeat)
            broadcastHeartbeat();
        return;
    }
    if (m_now < m_electionDeadline)
        return;
    reportMissingLeader();
    m_leader.reset();
    if (mayLead() && !m_storageFailed && (m_repairId == 0 || mayFoundGroup()))
        startElection(true);
    else
        restartElectionTimer();
}

void ControlReducer::restartElectionTimer()
{
    // A real election always gets the full timeout, so that slow disks can sync the votes.
    const bool isFirstPreVote = mayHaveSupportedLease() && mayLead() && m_role != Role::Candidate;
    const Micros minimum = isFirstPreVote ? kMinimumFirstElectionDelay : m_options.minimumElectionTimeout;
    const Micros maximum = isFirstPreVote ? kMaximumFirstElectionDelay : m_options.maximumElectionTimeout;
    boost::random::uniform_int_distribution<Micros::rep> distribution(minimum.count(), maximum.count());
    m_electionDeadline = m_now + Micros { distribution(m_random) };
}

// A pre-vote checks whether an election would succeed without raising the term, so that a replica that returns from a network
// partition does not depose the leader.
void ControlReducer::startElection(bool preVote)
{
    m_role = preVote ? Role::PreCandidate : Role::Candidate;
    restartElectionTimer();
    m_leader.reset();
    m_grantedVotes.clear();
    m_voteReplies.clear();
    m_nonLeaders.clear();
    if (preVote) {
        m_voterStartIds.clear();
        m_grantedVotes[m_options.name] = { m_repairId, mayHaveSupportedLease() };
    } else {
        ++m_term;
        m_votedFor = m_options.name;
        writeHardState();
        m_ownVoteWrite = m_hardStateWrite;
        log(kElectionStarted, { { "term", fmt::to_string(m_term) }, { "last_index", fmt::to_string(m_log.lastIndex()) } });
    }
    VoteRequest request { preVote ? m_term + 1 : m_term, preVote, m_log.lastIndex(), m_log.lastTerm() };
    for (const InstanceName& voter : possibleLeaders()) {
        if (voter == m_options.name)
            continue;
        const auto start = m_voterStartIds.find(voter);
        request.receiverStart = start == m_voterStartIds.end() ? 0 : start->second;
        if (preVote)
            send(voter, request);
        else
            sendAfterSync(voter, request);
    }
    advanceElection();
}

Micros ControlReducer::timeWithoutLeader(TimePoint now) const
{
    if (m_role == Role::Leader)
        return Micros { 0 };
    return now - std::max(m_leaderContact.value_or(m_startedAt), m_ledUntil);
}

// One line at each replica shows why a group elects no leader: whom it counts, who answers, and who holds the newest log.
void ControlReducer::reportMissingLeader()
{
    const Micros duration = timeWithoutLeader(m_now);
    if (duration < kMissingLeaderReportDelay || m_now < m_nextLeaderReport)
        return;
    m_nextLeaderReport = m_now + kMissingLeaderReportInterval;
    std::vector<std::string> answers;
    for (const InstanceName& voter : possibleLeaders()) {
        const auto it = m_voteReplies.find(voter);
        const VoteAnswer answer = it == m_voteReplies.end() ? VoteAnswer::None : answerOf(it->second);
        if (voter != m_options.name)
            answers.push_back(fmt::format("{}={}", voter, nameOf(kVoteAnswerNames, answer)));
    }
    log(kNoLeader, {
                       { "for_us", fmt::to_string(duration.count()) },
                       { "term", fmt::to_string(m_term) },
                       { "last_term", fmt::to_string(m_log.lastTerm()) },
                       { "last_index", fmt::to_string(m_log.lastIndex()) },
                       { "commit_index", fmt::to_string(m_commitIndex) },
                       { "members_recorded", membersRecorded() ? "true" : "false" },
                       { "voters", fmt::format("{}", fmt::join(members().voters, ",")) },
                       { "learners", fmt::format("{}", fmt::join(members().learners, ",")) },
                       { "voted_for", m_votedFor.value_or("") },
                       { "repairing", m_repairId == 0 ? "false" : "true" },
                       { "may_found_group", m_repairId != 0 && mayFoundGroup() ? "true" : "false" },
                       { "storage_failed", m_storageFailed ? "true" : "false" },
                       { "answers", fmt::format("{}", fmt::join(answers, ",")) },
                       { "under_repair", fmt::format("{}", fmt::join(votersUnderRepair(m_log.currentMembers()), ",")) },
                       { "needs", describeNeededVotes() },
                       { "asked_by", fmt::format("{}", fmt::join(m_askedForVote, ",")) },
                   });
    m_askedForVote.clear();
}

bool ControlReducer::hasRecentLeader() const
{
    if (m_role == Role::Leader)
        return m_now < leaseEnd();
    return m_leaderContact && m_now - *m_leaderContact < m_options.minimumElectionTimeout;
}

// Support for a leader's lease is not persisted. For one election timeout after a restart, a lease that this replica supported
// before the restart may still be valid.
bool ControlReducer::mayHaveSupportedLease() const
{
    return m_started && m_role != Role::Leader && !m_leaderContact && m_now - m_startedAt < m_options.minimumElectionTimeout;
}

// True while this replica must not vote because a leader may hold a lease that it supports. While the support given before a
// restart is unknown, the request must name the process start that took part in the pre-vote: a later start may have supported
// a leader since.
bool ControlReducer::isVoteBlockedByLease(const VoteRequest& request) const
{
    return hasRecentLeader() || (!request.preVote && mayHaveSupportedLease() && request.receiverStart != m_options.seed);
}

std::set<InstanceName> ControlReducer::possibleLeaders() const
{
    std::set<InstanceName> names;
    for (const MembersAt* set : votingSets())
        names.insert(set->members.voters.begin(), set->members.voters.end());
    return names;
}

// True if every other voter stated in this election that it does not lead. Any lease that this replica or another voter
// supported before a restart has then ended: its holder is a voter, and a later leader needs new support, which a voter does
// not give between its statement and its vote.
bool ControlReducer::noOtherVoterLeads() const
{
    const std::set<InstanceName> names = possibleLeaders();
    return std::all_of(names.begin(), names.end(), [this](const InstanceName& name) { return name == m_options.name || m_nonLeaders.contains(name); });
}

bool ControlReducer::canGrantVote(const InstanceName& from, const VoteRequest& request) const
{
    if (m_storageFailed || isVoteBlockedByLease(request) || (m_repairId != 0 && !mayFoundGroup()))
        return false;
    if (std::pair(request.lastTerm, request.lastIndex) < std::pair(m_log.lastTerm(), m_log.lastIndex()))
        return false;
    if (request.preVote)
        return request.term > m_term;
    return request.term == m_term && (!m_votedFor || *m_votedFor == from);
}

void ControlReducer::onMessage(const InstanceName& from, const VoteRequest& request)
{
    if (m_role != Role::Leader && m_askedForVote.size() < kMaximumMembers)
        m_askedForVote.insert(from);
    if (request.preVote) {
        const bool granted = canGrantVote(from, request);
        send(from, VoteReply { granted ? request.term : m_term, true, granted, m_repairId, m_options.seed, mayHaveSupportedLease(), m_role == Role::Leader });
        return;
    }
    // The request, including its term, is ignored while a leader may hold a lease that this replica supports.
    if (isVoteBlockedByLease(request))
        return;
    if (request.term > m_term)
        becomeFollower(request.term, std::nullopt);
    const bool granted = canGrantVote(from, request);
    const bool conditional = mayHaveSupportedLease();
    if (granted) {
        if (!m_votedFor) {
            m_votedFor = from;
            writeHardState();
        }
        restartElectionTimer();
        log(kVoteGranted, { { "term", fmt::to_string(m_term) }, { "candidate", from } });
    }
    sendAfterSync(from, VoteReply { m_term, false, granted, m_repairId, m_options.seed, conditional, m_role == Role::Leader });
}

void ControlReducer::onMessage(const InstanceName& from, const VoteReply& reply)
{
    if (!reply.granted && reply.term > m_term) {
        becomeFollower(reply.term, std::nullopt);
        return;
    }
    // A refused pre-vote carries the term of the voter instead of the requested term.
    const bool matches = reply.preVote ? m_role == Role::PreCandidate && (!reply.granted || reply.term == m_term + 1) : m_role == Role::Candidate && reply.term == m_term;
    if (!matches)
        return;
    m_voteReplies[from] = reply;
    if (reply.preVote)
        m_voterStartIds[from] = reply.start;
    if (!reply.leads)
        m_nonLeaders.insert(from);
    if (reply.granted)
        m_grantedVotes[from] = { reply.repairId, reply.conditional };
    advanceElection();
}

void ControlReducer::countOwnVote()
{
    if (m_role != Role::Candidate || m_syncedWrite < m_ownVoteWrite)
        return;
    m_grantedVotes[m_options.name] = { m_repairId, mayHaveSupportedLease() };
    advanceElection();
}

void ControlReducer::advanceElection()
{
    if (!hasWonElection())
        return;
    if (m_role == Role::PreCandidate)
        startElection(false);
    else if (m_role == Role::Candidate)
        becomeLeader();
}

void ControlReducer::becomeLeader()
{
    m_role = Role::Leader;
    m_leader = m_options.name;
    m_leaderSince = m_now;
    m_leaseHeld = false;
    m_sentRounds.clear();
    m_progress.clear();
    std::vector<std::string_view> rules;
    for (const MembersAt* set : votingSets())
        rules.push_back(nameOf(kElectionRuleNames, ruleThatElects(*set)));
    log(kBecameLeader, { { "term", fmt::to_string(m_term) }, { "last_index", fmt::to_string(m_log.lastIndex()) }, { "rule", fmt::format("{}", fmt::join(rules, ",")) } });
    const bool unanimous = std::all_of(members().voters.begin(), members().voters.end(), [this](const InstanceName& voter) { return m_grantedVotes.contains(voter); });
    const LogIndex lastIndex = m_log.lastIndex();
    updateProgressMembers();
    // A leader that has ended is removed as soon as if another member had led meanwhile.
    if (const auto last = m_progress.find(m_lastLeader); last != m_progress.end() && m_leaderContact)
        last->second.silentSince = *m_leaderContact;
    if (unanimous) {
        for (auto& [name, progress] : m_progress) {
            const auto grant = m_grantedVotes.find(name);
            if (grant == m_grantedVotes.end() || grant->second.repairId == 0)
                continue;
            progress.repairId = grant->second.repairId;
            progress.repairIndex = lastIndex;
            progress.repairAnnounced = true;
        }
        if (m_repairId != 0)
            completeRepair(m_options.name);
    }
    propose(NoOperation {}, std::nullopt);
    m_termStartIndex = m_log.lastIndex();
    adoptHelper();
    broadcastHeartbeat();
}

void ControlReducer::becomeFollower(Term term, std::optional<InstanceName> leader)
{
    if (m_role == Role::Leader)
        stepDown("a higher term was received");
    m_role = Role::Follower;
    m_leader = std::move(leader);
    m_grantedVotes.clear();
    adoptTerm(term);
}

void ControlReducer::adoptTerm(Term term)
{
    if (term <= m_term)
        return;
    m_term = term;
    m_votedFor.reset();
    writeHardState();
}

void ControlReducer::stepDown(std::string_view reason)
{
    log(kSteppedDown, { { "term", fmt::to_string(m_term) }, { "reason", std::string { reason } } });
    if (m_leaseHeld)
        log(kLeaseLost, { { "term", fmt::to_string(m_term) } });
    m_leaseHeld = false;
    m_ledUntil = m_now;
    // Entries that await the group commit are written too, since they are in the log and may have been sent to followers.
    if (m_writtenIndex < m_log.lastIndex())
        writeEntriesFrom(m_writtenIndex + 1);
    m_role = Role::Follower;
    m_leader.reset();
    m_progress.clear();
    m_helper.reset();
    m_sentRounds.clear();
    for (const auto& [index, token] : m_pendingTokens) {
        CommandResult result;
        result.status = CommandStatus::OutcomeUnknown;
        result.message = "leadership was lost before the command committed";
        respond(token, std::move(result));
    }
    m_pendingTokens.clear();
    restartElectionTimer();
}

bool ControlReducer::mayFoundGroup() const
{
    return m_options.bootstrap || isFoundingRepair(m_repairId);
}

void ControlReducer::startRepair(std::string_view reason, bool isFirstStart)
{
    do {
        m_repairId = m_random();
    } while (m_repairId == 0 || isFoundingRepair(m_repairId));
    if (isFirstStart)
        m_repairId = (m_repairId & ~kFoundingMarkMask) | kFoundingMark;
    writeHardState();
    log(kRepairStarted, { { "reason", std::string { reason } }, { "may_found_group", mayFoundGroup() ? "true" : "false" } });
}

// Records a vote for the leader, so that this replica, which may have voted in this term before it lost its disk, does not vote
// for another candidate.
void ControlReducer::completeRepair(const InstanceName& leader)
{
    m_repairId = 0;
    m_votedFor = leader;
    writeHardState();
    m_repairedWrite = m_hardStateWrite;
    log(kRepairCompleted, { { "term", fmt::to_string(m_term) }, { "last_index", fmt::to_string(m_log.lastIndex()) } });
}

} // namespace curranttrail::control
