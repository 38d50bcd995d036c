#pragma once

#include "core/class_target.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "core/verdict.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::control {

using Term = std::uint64_t;
using LogIndex = std::uint64_t;
// Identifies a pending command within one process, to match it with its result.
using RequestToken = StrongId<struct RequestTokenTag>;

// ---- Commands: the entries of the replicated log ----

// Sets the target of a class. An expected version of 0 creates the class.
struct SetClass {
    std::string changeId;
    ConfigurationVersion expectedVersion;
    ClassTarget target;
};

// Claims the id of a request that must run at most once.
struct ClaimRequest {
    std::string requestId;
    // Entry instance and its incarnation. A repeated claim by the same holder gets the same result.
    std::string holder;
    UnixMillis issuedAt = 0;
    UnixMillis proposedAt = 0;
};

// Records the outcome of a claim. NotRun releases the id for another claim.
struct SettleClaimRequest {
    std::string requestId;
    std::string holder;
    Verdict outcome = Verdict::MayHaveRun;
};

// Replaces the whole configuration document of the owner's routes. Has no effect unless its version is higher than the current
// one.
struct SetDocument {
    std::uint64_t version = 0;
    // Bytes as sent by the operator.
    std::string content;
};

// Orders that the backend servers of a data centre get no more requests, or withdraws that order. The last one committed is in force.
struct SetEvacuation {
    DataCentreName dataCentre;
    bool isEvacuated = false;
};

// Sets the members of the control group. Each change adds, promotes or removes at most one replica.
struct ChangeMembers {
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
};

// Commits the entries of earlier terms. The first entry of a term is of this kind.
struct NoOperation { };

// Records that the current voters are committed, and that every member requires a quorum before and after a change of voters until that
// change is committed. Proposed by the leader itself. Members of earlier builds cannot read it.
struct ConfirmMembers { };

using Command = std::variant<NoOperation, SetClass, ClaimRequest, SettleClaimRequest, ChangeMembers, SetDocument, SetEvacuation, ConfirmMembers>;

struct LogEntry {
    Term term = 0;
    LogIndex index = 0;
    Command command;
};

// ---- Results ----

enum class CommandStatus {
    Accepted,
    // The expected version is not the current version. The result carries the current version.
    VersionConflict,
    Invalid,
    // This replica is not the leader, has no valid lease or has too many pending commands. The command was not proposed.
    NotLeader,
    // Leadership was lost after the command was proposed and before it committed. The client resends it with the same id.
    OutcomeUnknown,
    // The journal cannot be written. The command was not proposed.
    StorageFailed,
    // A repair, an earlier membership change or a learner's catch-up is not complete. The membership change was not proposed.
    RepairPending,
    ClaimGranted,
    ClaimDuplicate,
    ClaimExpired,
};

inline constexpr std::array<EnumName<CommandStatus>, 10> kCommandStatusNames { {
    { CommandStatus::Accepted, "accepted" },
    { CommandStatus::VersionConflict, "version_conflict" },
    { CommandStatus::Invalid, "invalid" },
    { CommandStatus::NotLeader, "not_leader" },
    { CommandStatus::OutcomeUnknown, "outcome_unknown" },
    { CommandStatus::StorageFailed, "storage_failed" },
    { CommandStatus::RepairPending, "repair_pending" },
    { CommandStatus::ClaimGranted, "claim_granted" },
    { CommandStatus::ClaimDuplicate, "claim_duplicate" },
    { CommandStatus::ClaimExpired, "claim_expired" },
} };

struct CommandResult {
    CommandStatus status = CommandStatus::Invalid;
    // Version of the class after an accepted change, or its current version on a conflict. For a document, the version that is in
    // force after the command or, if this replica is not the leader, the newest one that this replica knows to be committed.
    ConfigurationVersion version;
    // Outcome of the earlier claim. Set for a duplicate claim.
    Verdict earlier = Verdict::MayHaveRun;
    // Current leader, if known. Set if this replica is not the leader.
    std::optional<InstanceName> leader;
    std::string message;
};

// ---- State of the state machine, also stored in snapshots ----

struct Claim {
    std::string holder;
    UnixMillis issuedAt = 0;
    // The claim is removed once the latest proposal time exceeds this. Its id is refused as expired by then.
    UnixMillis retainUntil = 0;
    // Not set while the claim is held.
    std::optional<Verdict> outcome;
    // Holders that settled this id as NotRun. A settlement repeated by one of them does not release the id again.
    std::vector<std::string> releasedBy;
};

struct ChangeRecord {
    std::string changeId;
    // SHA-256 of the change, to detect an id that is reused for another change.
    std::string contentDigest;
    CommandResult result;
};

// Configuration document in force. Version 0 means that no document was ever accepted.
struct CommittedDocument {
    std::uint64_t version = 0;
    std::string content;
};

struct MachineState {
    OwnerConfiguration configuration;
    CommittedDocument document;
    std::set<DataCentreName> evacuatedDataCentres;
    // Most recently applied changes, oldest first.
    std::deque<ChangeRecord> changes;
    std::map<std::string, Claim> claims;
    // Highest proposal time of all applied claims. Used instead of a local clock to expire claims, so that all replicas agree.
    UnixMillis latestProposalTime = 0;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
    // True once ConfirmMembers was applied to these voters.
    bool membersConfirmed = false;
};

struct Snapshot {
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    MachineState state;
};

// Repair ids of replicas that took part in the first start of the group and have never been repaired bear this mark, so that the disk
// tells them from replicas that have lost theirs.
inline constexpr std::uint64_t kFoundingMark = 0x666f'756e'0000'0000;
inline constexpr std::uint64_t kFoundingMarkMask = 0xffff'ffff'0000'0000;

constexpr bool isFoundingRepair(std::uint64_t repairId)
{
    return (repairId & kFoundingMarkMask) == kFoundingMark;
}

// Raft's persistent state besides the log. Must be synced before a message that depends on it is sent.
struct HardState {
    Term term = 0;
    std::optional<InstanceName> votedFor;
    // Random id of the current repair, 0 for none. Set when the replica starts with an empty disk or lacks entries that it
    // acknowledged, until the repair is complete.
    std::uint64_t repairId = 0;
};

// State that was read from storage at start.
struct RecoveredState {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries;
    // True if the data folder was empty or lost. The replica must not vote until its repair is complete.
    bool empty = true;
};

// ---- Messages between replicas of one group ----

struct VoteRequest {
    Term term = 0;
    bool preVote = false;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    // Process start id with which the receiver replied to the pre-vote. Only that start may grant a conditional vote.
    std::uint64_t receiverStart = 0;
};

struct VoteReply {
    Term term = 0;
    bool preVote = false;
    bool granted = false;
    // Id of the voter's repair, 0 for none. The vote of a voter under repair counts only if every voter grants its vote.
    std::uint64_t repairId = 0;
    // Random id of this start of the voter's process.
    std::uint64_t start = 0;
    // True if the voter restarted recently and may have supported a leader's lease before. Its vote counts only if no voter
    // leads.
    bool conditional = false;
    // True if the voter itself is the leader.
    bool leads = false;
};

struct AppendRequest {
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    // Number of this request, returned by the reply. The lease starts at the time when an acknowledged round was sent.
    std::uint64_t round = 0;
    // Id of the receiver's repair, which completes once the receiver has synced the log up to repairIndex. 0 for none.
    std::uint64_t repairId = 0;
    LogIndex repairIndex = 0;
    // True if the receiver has lost entries that it acknowledged and must start a repair.
    bool repairRequired = false;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    Term term = 0;
    bool success = false;
    // On success the last matching and synced index, otherwise a hint from which index the leader should retry.
    LogIndex matchIndex = 0;
    std::uint64_t round = 0;
    // True if the sender's build knows ConfirmMembers. Always true in this build.
    bool knowsConfirmation = true;
    // Id of the sender's repair, 0 for none.
    std::uint64_t repairId = 0;
};

struct InstallSnapshot {
    Term term = 0;
    std::uint64_t round = 0;
    Snapshot snapshot;
};

using PeerMessage = std::variant<VoteRequest, VoteReply, AppendRequest, AppendReply, InstallSnapshot>;

// ---- Events ----

struct Recovered {
    RecoveredState state;
};

struct PeerMessageReceived {
    InstanceName from;
    PeerMessage message;
};

// A command from an operator or an entry instance.
struct CommandSubmitted {
    RequestToken token;
    Command command;
};

// The journal write with this number and all earlier writes are synced.
struct WriteSynced {
    std::uint64_t write = 0;
};

// Journal writes started to fail, for example because the disk is full, or succeed again.
struct StorageChanged {
    bool failed = false;
};

struct Tick { };

using Event = std::variant<Recovered, PeerMessageReceived, CommandSubmitted, WriteSynced, StorageChanged, Tick>;

// ---- Effects ----

struct SendToPeer {
    InstanceName to;
    PeerMessage message;
};

// Writes to the journal and syncs it. The driver then reports WriteSynced. Writes are numbered in order from 1.
struct WriteJournal {
    std::uint64_t write = 0;
    std::optional<HardState> hardState;
    // These replace all entries of the journal from the index of the first one on.
    std::vector<LogEntry> entries;
    // New snapshot. Journal entries up to its last index may be removed once it is synced.
    std::optional<Snapshot> snapshot;
    // True for a snapshot from the leader that does not match the journal: all entries of the journal are removed.
    bool replaceEntries = false;
};

struct Respond {
    RequestToken token;
    CommandResult result;
};

// The committed configuration changed. The driver publishes it to entry instances.
struct ConfigurationCommitted {
    OwnerConfiguration configuration;
};

// A higher document version was committed. The driver reads it from the committed state.
struct DocumentCommitted {
    std::uint64_t version = 0;
};

// Other data centres than before are evacuated. The driver reads them from the committed state.
struct EvacuationsCommitted { };

// The known leader changed, or this replica gained or lost its lease.
struct LeaderChanged {
    bool leads = false;
    std::uint64_t term = 0;
};

enum class Role {
    Follower,
    PreCandidate,
    Candidate,
    Leader,
    Learner,
};

inline constexpr std::array<EnumName<Role>, 5> kRoleNames { {
    { Role::Follower, "follower" },
    { Role::PreCandidate, "pre_candidate" },
    { Role::Candidate, "candidate" },
    { Role::Leader, "leader" },
    { Role::Learner, "learner" },
} };

using Effect = std::variant<SendToPeer, WriteJournal, Respond, ConfigurationCommitted, DocumentCommitted, EvacuationsCommitted, LeaderChanged, LogEvent>;

// Health of another member as seen by the leader.
struct MemberHealth {
    InstanceName name;
    // Time since its last reply, or since the election of this leader if it has not replied since.
    Micros timeSinceReply { 0 };
    // True if it holds the entries up to the start of the leader's term and is not under repair.
    bool caughtUp = false;
};

// Status of a replica as shown to operators.
struct ReplicaStatus {
    Role role = Role::Follower;
    Term term = 0;
    std::optional<InstanceName> leader;
    bool leaseValid = false;
    bool repairing = false;
    bool storageFailed = false;
    LogIndex lastIndex = 0;
    LogIndex commitIndex = 0;
    ConfigurationVersion configurationVersion;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
    // False if the voters are the seeds of the settings, since this replica holds no log of the group.
    bool membersRecorded = false;
    // Time since this replica last heard from a leader. Zero at a leader.
    Micros timeWithoutLeader { 0 };
};

} // namespace curranttrail::control
