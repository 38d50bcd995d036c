#pragma once

#include "control/events.h"
#include "control/messages.h"
#include "control/replicated_log.h"
#include "control/state_machine.h"
#include "core/random.h"

#include <boost/container/static_vector.hpp>

#include <array>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::control {

// How the votes of an election suffice in one set of voters.
enum class ElectionRule {
    None,
    Majority,
    // Half of an even set, beside one voter under repair.
    HalfBesideRepair,
    // All voters, some of them under repair.
    Everyone,
};

inline constexpr std::array<EnumName<ElectionRule>, 4> kElectionRuleNames { {
    { ElectionRule::None, "none" },
    { ElectionRule::Majority, "majority" },
    { ElectionRule::HalfBesideRepair, "half_beside_repair" },
    { ElectionRule::Everyone, "everyone" },
} };

struct ControlOptions {
    InstanceName name;
    OwnerName owner;
    // Voters at the first start of the group. Later members are read from the log.
    std::set<InstanceName> initialVoters;
    // Must be random at each start of the process, since it identifies the start and generates the ids of repairs.
    std::uint64_t seed = 0;
    // Allows a replica with an empty disk to vote in the first election of the group. Such an election succeeds only if all
    // voters grant their votes. Without this option a replica with an empty disk waits until a leader repairs it. A replica that is
    // started again before that election is marked on its disk and needs the option no more.
    bool bootstrap = false;

    Micros heartbeat { 50'000 };
    Micros minimumElectionTimeout { 300'000 };
    Micros maximumElectionTimeout { 600'000 };
    // Shorter than the minimum election timeout by a margin for clock drift.
    Micros lease { 250'000 };
    // Limit of the estimated size of the entries in one append. An append that carries entries has at least one.
    std::size_t maximumAppendBytes = 262'144;
    // A snapshot is taken after this number of entries, or after as many entries as the state has records if that is more.
    std::size_t compactionEntries = 4'096;
    // Number of entries before a snapshot that stay in memory for followers that lag slightly.
    std::size_t retainedEntries = 1'024;
    // Limit of proposed commands that are not yet committed. Further commands are refused.
    std::size_t maximumPendingCommands = 8'192;
};

// Implements one replica of an owner's control group: a Raft-style replicated log with pre-vote, leader leases, single-server
// membership changes, and repair of replicas that lost their disk. Contains no I/O: events go in and effects come out.
class ControlReducer {
public:
    explicit ControlReducer(ControlOptions options);

    // Handles one event and returns its effects. The first event must be Recovered.
    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;
    // Evaluates the lease at the given time, so that a process that was suspended does not report an expired lease as valid.
    ReplicaStatus status(TimePoint now) const;
    // Returns the health of the other members as seen by a leader. Empty if this replica does not lead.
    std::vector<MemberHealth> memberHealth(TimePoint now) const;
    // True if a log entry or a snapshot contains the members, so that a replica configured with other seeds learns them.
    bool membersRecorded() const { return m_log.membersIndex() > 0 || m_log.baseIndex() > 0; }
    // True at a leader whose members are committed, and a majority of them can see it.
    bool membersCommitted() const { return m_role == Role::Leader && m_commitIndex >= m_termStartIndex && m_log.membersIndex() <= m_commitIndex && m_log.showsVotersCommitted(m_commitIndex); }
    // Returns the state up to this replica's commit index.
    const MachineState& state() const { return m_stateMachine.state(); }

private:
    // Reads the private state for the model checker in tests/control.
    friend class ControlReducerInspector;

    // Replication progress of another member, tracked by the leader.
    struct Progress {
        LogIndex next = 1;
        LogIndex match = 0;
        bool awaitingReply = false;
        TimePoint resendAt = kNever;
        // Time at which the newest acknowledged round was sent.
        std::optional<TimePoint> acknowledgedSentAt;
        // Time of the last reply.
        std::optional<TimePoint> lastReply;
        // Time since which a member that has not replied to this leader counts as silent.
        TimePoint silentSince;
        // Round and previous index of the newest append.
        std::uint64_t lastRound = 0;
        LogIndex lastPreviousIndex = 0;
        // Newest round at the time when `match` last increased.
        std::uint64_t matchRound = 0;
        // Replies to earlier rounds are ignored, since they may predate the loss of the member's disk.
        std::uint64_t minimumRound = 0;
        // Id of the member's repair, 0 for none, and the entry that must commit without the member before the repair can
        // complete.
        std::uint64_t repairId = 0;
        LogIndex repairIndex = 0;
        // True once that entry has committed, so that appends carry the repair.
        bool repairAnnounced = false;
        // True if the member has lost entries that it acknowledged.
        bool regressed = false;
        // True if the member's build knows ConfirmMembers.
        bool knowsConfirmation = false;
    };

    struct PendingWrite {
        std::uint64_t write = 0;
        LogIndex lastIndex = 0;
    };

    struct DeferredMessage {
        std::uint64_t write = 0;
        SendToPeer message;
    };

    struct SentRound {
        std::uint64_t round = 0;
        TimePoint sentAt;
    };

    // Events, journal and status, in control_reducer.cpp.
    void on(const Recovered& event);
    void on(const PeerMessageReceived& event);
    void on(const CommandSubmitted& event);
    void on(const WriteSynced& event);
    void on(const StorageChanged& event);
    void on(const Tick&) { }
    void afterEvent();
    void log(const EventDescription& description, std::vector<EventField> fields = {});
    std::uint64_t writeJournal(WriteJournal write);
    void writeHardState();
    void writeEntriesFrom(LogIndex index);
    void send(const InstanceName& to, PeerMessage message);
    void sendAfterSync(const InstanceName& to, PeerMessage message);
    void respond(RequestToken token, CommandResult result);
    void advanceCommit(LogIndex index);
    void reportDocumentChange(std::uint64_t before);
    void reportEvacuationChange(const std::set<DataCentreName>& before);
    void reportLeaderChange();
    void compactIfDue();
    const Members& members() const { return m_log.members(); }
    bool isVoter() const { return members().voters.contains(m_options.name); }

    // Quorums, in control_quorums.cpp.
    // Sets of voters each of which has to agree to elections, commits and leases: the current one, and the one before it while that change
    // is not known to be committed.
    using VotingSets = boost::container::static_vector<const MembersAt*, 2>;
    VotingSets votingSets() const;
    // True for a voter, and for a replica whose removal is not known to be committed: it may hold the newest log.
    bool mayLead() const;
    ElectionRule ruleThatElects(const MembersAt& set) const;
    // True for an even set whose confirmation is in the log.
    static bool mayHalfElect(const MembersAt& set) { return set.confirmedBy != 0 && set.members.voters.size() % 2 == 0; }
    bool hasWonElection() const;
    // Returns the voters that stated in this election that they are under repair.
    std::vector<InstanceName> votersUnderRepair(const MembersAt& set) const;
    // Returns, for the log, which votes elect a leader.
    std::string describeNeededVotes() const;
    void adoptHelper();
    bool countsInCommits(const InstanceName& voter, const MembersAt& set) const;
    LogIndex indexHeldByMajority(const MembersAt& set) const;
    // Returns the end of the lease, one lease duration after the send time of the newest append that a majority has acknowledged.
    TimePoint leaseEnd() const;
    TimePoint leaseEndIn(const Members& set) const;
    bool hasQuorumContactWithin(Micros duration) const;
    bool canAnotherReplicaLead() const;
    // Proposes what shows after a restart that the last change of voters is committed.
    void proveMembers();

    // Elections and repair, in control_election.cpp.
    void checkTimers();
    void restartElectionTimer();
    void startElection(bool preVote);
    void onMessage(const InstanceName& from, const VoteRequest& request);
    void onMessage(const InstanceName& from, const VoteReply& reply);
    bool canGrantVote(const InstanceName& from, const VoteRequest& request) const;
    void countOwnVote();
    void advanceElection();
    void becomeLeader();
    void becomeFollower(Term term, std::optional<InstanceName> leader);
    void stepDown(std::string_view reason);
    void adoptTerm(Term term);
    bool hasRecentLeader() const;
    bool mayHaveSupportedLease() const;
    bool isVoteBlockedByLease(const VoteRequest& request) const;
    // Voters, and a voter whose removal is not known to be committed, since it may lead meanwhile.
    std::set<InstanceName> possibleLeaders() const;
    bool noOtherVoterLeads() const;
    // Time since the last contact with a leader, or since the start if there was none. Zero at a leader.
    Micros timeWithoutLeader(TimePoint now) const;
    void reportMissingLeader();
    bool mayFoundGroup() const;
    void startRepair(std::string_view reason, bool isFirstStart = false);
    void completeRepair(const InstanceName& leader);

    // Replication by the leader, in control_leader.cpp.
    void onMessage(const InstanceName& from, const AppendReply& reply);
    void updateRepair(const InstanceName& from, Progress& progress, const AppendReply& reply);
    void handleAppendRejection(const InstanceName& from, Progress& progress, const AppendReply& reply);
    void propose(Command command, std::optional<RequestToken> token);
    std::optional<CommandResult> findRefusal(const Command& command);
    std::optional<CommandResult> findMemberChangeRefusal(const ChangeMembers& change) const;
    void updateProgressMembers();
    void sendAppend(const InstanceName& to, Progress& progress, bool withEntries);
    void sendSnapshot(const InstanceName& to, Progress& progress);
    void sendPendingEntries();
    void broadcastHeartbeat();
    void commitMatchedEntries();
    void flushEntries();
    std::vector<LogEntry> batchFrom(LogIndex index) const;
    std::uint64_t startRound();
    std::optional<TimePoint> roundSentAt(std::uint64_t round) const;
    bool leaseValidAt(TimePoint time) const;
    void checkLease();

    // Replication at followers, in control_follower.cpp.
    void onMessage(const InstanceName& from, const AppendRequest& request);
    void onMessage(const InstanceName& from, const InstallSnapshot& request);
    bool acceptLeader(const InstanceName& from, Term term, std::uint64_t round);
    std::optional<LogIndex> storeEntries(const AppendRequest& request);
    void sendAppendReply(const InstanceName& to, std::uint64_t round, LogIndex match);
    void rejectAppend(const InstanceName& to, std::uint64_t round, LogIndex hint);

    ControlOptions m_options;
    Random m_random;
    TimePoint m_now;
    std::vector<Effect> m_effects;
    // Leader and lease state at the last LeaderChanged effect.
    std::optional<InstanceName> m_reportedLeader;
    bool m_reportedLease = false;

    // Persistent state: the hard state and the log.
    Term m_term = 0;
    std::optional<InstanceName> m_votedFor;
    std::uint64_t m_repairId = 0;
    ReplicatedLog m_log;

    // Journal writes, numbered from 1.
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_syncedWrite = 0;
    std::uint64_t m_hardStateWrite = 0;
    // Number of the write that completes the repair.
    std::uint64_t m_repairedWrite = 0;
    LogIndex m_writtenIndex = 0;
    LogIndex m_syncedIndex = 0;
    std::deque<PendingWrite> m_pendingWrites;
    std::deque<DeferredMessage> m_deferredMessages;
    bool m_storageFailed = false;
    LogIndex m_snapshotIndex = 0;

    // State machine.
    StateMachine m_stateMachine;
    LogIndex m_commitIndex = 0;

    // Role and election.
    bool m_started = false;
    Role m_role = Role::Follower;
    std::optional<InstanceName> m_leader;
    TimePoint m_startedAt;
    // Time and sender of the last message from a leader since the process started.
    std::optional<TimePoint> m_leaderContact;
    InstanceName m_lastLeader;
    TimePoint m_electionDeadline = kNever;
    // Votes granted in the current election or pre-vote.
    struct GrantedVote {
        std::uint64_t repairId = 0;
        bool conditional = false;
    };
    std::map<InstanceName, GrantedVote> m_grantedVotes;
    // Replies to the last request for votes of this replica, and the replicas that have asked for its vote since the last report of a
    // missing leader.
    std::map<InstanceName, VoteReply> m_voteReplies;
    std::set<InstanceName> m_askedForVote;
    TimePoint m_nextLeaderReport;
    // Time at which this replica last stepped down.
    TimePoint m_ledUntil;
    // Other voters that stated in this election that they do not lead.
    std::set<InstanceName> m_nonLeaders;
    // Process start id of each voter that replied to the last pre-vote.
    std::map<InstanceName, std::uint64_t> m_voterStartIds;
    std::uint64_t m_ownVoteWrite = 0;

    // State of the leader.
    std::map<InstanceName, Progress> m_progress;
    // Voter under repair beside which half of an even set elected this leader, and the id of its repair. The entries that it has synced
    // count in that set, so that the leader can commit the entry that completes the repair.
    struct Helper {
        InstanceName name;
        std::uint64_t repairId = 0;
        LogIndex votersIndex = 0;
    };
    std::optional<Helper> m_helper;
    LogIndex m_termStartIndex = 0;
    std::uint64_t m_round = 0;
    std::deque<SentRound> m_sentRounds;
    TimePoint m_nextHeartbeat = kNever;
    bool m_leaseHeld = false;
    TimePoint m_leaderSince;
    std::map<LogIndex, RequestToken> m_pendingTokens;
};

} // namespace curranttrail::control
