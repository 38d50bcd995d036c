#pragma once

#include "control/events.h"
#include "control/messages.h"
#include "control/replicated_log.h"
#include "control/state_machine.h"
#include "core/random.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::control {

struct ControlOptions {
    InstanceName name;
    OwnerName owner;
    // The voters at the first start of the group. Later members come from the log.
    std::set<InstanceName> initialVoters;
    // Drawn anew by the driver at each start of a process, because it also numbers repairs.
    std::uint64_t seed = 0;
    // Permits a replica with an empty disk to take part in the election that founds the group.
    // Such an election succeeds only if all initial voters grant it; without the option an empty replica waits to be repaired.
    bool bootstrap = false;

    Micros heartbeat { 50'000 };
    Micros minimumElectionTimeout { 300'000 };
    Micros maximumElectionTimeout { 600'000 };
    // Shorter than the least election time-out by a margin for clocks of different speed.
    Micros lease { 250'000 };
    // Entries per append are limited by their estimated size; one entry is always sent.
    std::size_t maximumAppendBytes = 262'144;
    // A snapshot is taken after this number of entries, or after as many entries as the state holds records, if that is more.
    std::size_t compactionEntries = 4'096;
    // Entries kept in memory behind a snapshot for followers that are a little late.
    std::size_t retainedEntries = 1'024;
    // Commands proposed and not yet committed; further ones are refused.
    std::size_t maximumPendingCommands = 8'192;
};

// One replica of an owner's control group: a replicated log with elections, leases, membership changes and repair.
class ControlReducer {
public:
    explicit ControlReducer(ControlOptions options);

    // The first event must be Recovered.
    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;
    // The lease is judged at the given time, so that a process that was frozen does not claim an old one.
    ReplicaStatus status(TimePoint now) const;
    // What a leader knows of the other members; empty at other replicas.
    std::vector<MemberHealth> memberHealth(TimePoint now) const;
    // True if an entry of the log or a snapshot states the members, so that a replica with other seeds learns them.
    bool membersRecorded() const { return m_log.membersIndex() > 0 || m_log.baseIndex() > 0; }
    // The committed state as far as this replica knows it.
    const MachineState& state() const { return m_stateMachine.state(); }

private:
    // The model check compares whole states.
    friend class ControlReducerInspector;

    // What the leader knows of another member.
    struct Progress {
        LogIndex next = 1;
        LogIndex match = 0;
        bool awaitingReply = false;
        TimePoint resendAt = kNever;
        // The time at which the newest acknowledged round was sent, and the time of the last reply.
        std::optional<TimePoint> acknowledgedSentAt;
        std::optional<TimePoint> lastReply;
        // The newest request, and the newest one sent before `match` was learnt.
        std::uint64_t lastRound = 0;
        LogIndex lastPreviousIndex = 0;
        std::uint64_t matchRound = 0;
        // Replies to earlier rounds come from before the member lost its disk and are ignored.
        std::uint64_t minimumRound = 0;
        // The member's repair and the entry that must commit without the member before the repair can complete.
        std::uint64_t repairId = 0;
        LogIndex repairIndex = 0;
        bool repairAnnounced = false;
        bool regressed = false;
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

    // control_reducer.cpp: events, journal, status
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
    void reportLeaderChange();
    void compactIfDue();
    const Members& members() const { return m_log.members(); }
    bool isVoter() const { return members().voters.contains(m_options.name); }

    // control_election.cpp
    void checkTimers();
    void restartElectionTimer();
    void startElection(bool preVote);
    void onMessage(const InstanceName& from, const VoteRequest& request);
    void onMessage(const InstanceName& from, const VoteReply& reply);
    bool canGrantVote(const InstanceName& from, const VoteRequest& request) const;
    void countOwnVote();
    bool hasWonElection() const;
    void advanceElection();
    void becomeLeader();
    void becomeFollower(Term term, std::optional<InstanceName> leader);
    void stepDown(std::string_view reason);
    void adoptTerm(Term term);
    bool hasRecentLeader() const;
    bool mayHaveSupportedLease() const;
    bool isVoteBlockedByLease(const VoteRequest& request) const;
    bool noOtherVoterLeads() const;
    void startRepair(std::string_view reason);
    void completeRepair(const InstanceName& leader);

    // control_leader.cpp
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
    // The latest time of which a majority of the voters has a time at least as late, given one time per voter.
    TimePoint leaseEnd() const;
    bool leaseValidAt(TimePoint time) const;
    bool hasQuorumContactWithin(Micros duration) const;
    bool canAnotherReplicaLead() const;
    void checkLease();

    // control_follower.cpp
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
    // What the last LeaderChanged told.
    std::optional<InstanceName> m_reportedLeader;
    bool m_reportedLease = false;

    // Persistent, apart from the log.
    Term m_term = 0;
    std::optional<InstanceName> m_votedFor;
    std::uint64_t m_repairId = 0;
    ReplicatedLog m_log;

    // Journal.
    std::uint64_t m_lastWrite = 0;
    std::uint64_t m_syncedWrite = 0;
    std::uint64_t m_hardStateWrite = 0;
    // The write that ends the repair.
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

    // Role.
    bool m_started = false;
    Role m_role = Role::Follower;
    std::optional<InstanceName> m_leader;
    TimePoint m_startedAt;
    // Since the start.
    std::optional<TimePoint> m_leaderContact;
    TimePoint m_electionDeadline = kNever;
    // The running election.
    struct GrantedVote {
        std::uint64_t repairId = 0;
        bool conditional = false;
    };
    std::map<InstanceName, GrantedVote> m_grantedVotes;
    // The other voters that stated in this election that they do not lead.
    std::set<InstanceName> m_nonLeaders;
    // The start of each voter that replied to the last pre-vote.
    std::map<InstanceName, std::uint64_t> m_voterStartIds;
    std::uint64_t m_ownVoteWrite = 0;

    // Leader.
    std::map<InstanceName, Progress> m_progress;
    LogIndex m_termStartIndex = 0;
    std::uint64_t m_round = 0;
    std::deque<SentRound> m_sentRounds;
    TimePoint m_nextHeartbeat = kNever;
    bool m_leaseHeld = false;
    TimePoint m_leaderSince;
    std::map<LogIndex, RequestToken> m_pendingTokens;
};

} // namespace curranttrail::control
