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
// Correlates a command with its result within one process.
using RequestToken = StrongId<struct RequestTokenTag>;

// ---- Commands: the entries of the replicated log ----

// Set the target of a class. An expected version of 0 creates the class.
struct SetClass {
    std::string changeId;
    ConfigurationVersion expectedVersion;
    ClassTarget target;
};

// Claim a request id that may not be repeated.
struct ClaimRequest {
    std::string requestId;
    // The entry instance and its incarnation; the same holder that claims again gets the same answer.
    std::string holder;
    UnixMillis issuedAt = 0;
    UnixMillis proposedAt = 0;
};

// Record the outcome of a claim. NotRun frees the id.
struct SettleClaimRequest {
    std::string requestId;
    std::string holder;
    Verdict outcome = Verdict::MayHaveRun;
};

// Replace the whole configuration document of the owner's routes. The highest version wins; a lower or equal one changes nothing.
struct SetDocument {
    std::uint64_t version = 0;
    // The bytes that the operator sent, unchanged.
    std::string content;
};

// The members of the control group after this entry. At most one replica changes in each step.
struct ChangeMembers {
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
};

// First entry of a term; commits the entries of earlier terms.
struct NoOperation { };

using Command = std::variant<NoOperation, SetClass, ClaimRequest, SettleClaimRequest, ChangeMembers, SetDocument>;

struct LogEntry {
    Term term = 0;
    LogIndex index = 0;
    Command command;
};

// ---- Results ----

enum class CommandStatus {
    Accepted,
    // The expected version is not the current one, which the result carries.
    VersionConflict,
    Invalid,
    // This replica is not the leader or has no valid lease; nothing was proposed.
    NotLeader,
    // The command was proposed, and leadership was lost before it committed. Resend it with the same id.
    OutcomeUnknown,
    // The journal cannot be written; nothing was proposed.
    StorageFailed,
    // A repair is not complete; the removal was not proposed.
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
    // The version of the class after an accepted change, or the current one on a conflict.
    ConfigurationVersion version;
    // For a duplicate claim: what became of the first.
    Verdict earlier = Verdict::MayHaveRun;
    // The leader to try instead, if known.
    std::optional<InstanceName> leader;
    std::string message;
};

// ---- The state machine's content, also the content of a snapshot ----

struct Claim {
    std::string holder;
    UnixMillis issuedAt = 0;
    // The claim is dropped once the latest proposal time has passed this. By then its id counts as expired.
    UnixMillis retainUntil = 0;
    // Empty while the claim is held.
    std::optional<Verdict> outcome;
    // Holders that settled this id as NotRun. A repeated settlement of one of them frees nothing again.
    std::vector<std::string> releasedBy;
};

struct ChangeRecord {
    std::string changeId;
    // SHA-256 of the change, so that an id reused for another change is recognised.
    std::string contentDigest;
    CommandResult result;
};

// The configuration document in force. Version 0 means that none was ever accepted.
struct CommittedDocument {
    std::uint64_t version = 0;
    std::string content;
};

struct MachineState {
    OwnerConfiguration configuration;
    CommittedDocument document;
    // In order of application, oldest first.
    std::deque<ChangeRecord> changes;
    std::map<std::string, Claim> claims;
    // The latest proposal time applied; it decides which claims have expired, so that all replicas agree.
    UnixMillis latestProposalTime = 0;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
};

struct Snapshot {
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    MachineState state;
};

// Term and vote must be synced before a message that rests on them leaves.
struct HardState {
    Term term = 0;
    std::optional<InstanceName> votedFor;
    // Non-zero from a start on an empty disk until the repair is complete. Each repair has its own random number.
    std::uint64_t repairId = 0;
};

// What storage found at start.
struct RecoveredState {
    HardState hardState;
    std::optional<Snapshot> snapshot;
    std::vector<LogEntry> entries;
    // True if the data folder was empty or lost: the replica must not vote until it has been repaired.
    bool empty = true;
};

// ---- Messages between replicas of one group ----

struct VoteRequest {
    Term term = 0;
    bool preVote = false;
    LogIndex lastIndex = 0;
    Term lastTerm = 0;
    // The receiver's start that replied to the pre-vote. Only that start may give a conditional vote.
    std::uint64_t receiverStart = 0;
};

struct VoteReply {
    Term term = 0;
    bool preVote = false;
    bool granted = false;
    // Non-zero if the voter's disk was empty: the vote counts only in an election that every voter grants.
    std::uint64_t repairId = 0;
    // Tells this start of the voter's process from every other one.
    std::uint64_t start = 0;
    // The voter has restarted and does not know which leader it supported before. Its vote counts only if no voter leads.
    bool conditional = false;
    bool leads = false;
};

struct AppendRequest {
    Term term = 0;
    LogIndex previousIndex = 0;
    Term previousTerm = 0;
    LogIndex commitIndex = 0;
    // Echoed by the reply; a lease is measured from the time the round was sent.
    std::uint64_t round = 0;
    // The receiver's repair that is complete once the receiver has synced the log up to repairIndex; 0 for none.
    std::uint64_t repairId = 0;
    LogIndex repairIndex = 0;
    // The receiver no longer holds what it acknowledged and must start a repair.
    bool repairRequired = false;
    std::vector<LogEntry> entries;
};

struct AppendReply {
    Term term = 0;
    bool success = false;
    // On success the last index synced here; otherwise a hint where to go back to.
    LogIndex matchIndex = 0;
    std::uint64_t round = 0;
    // True while this replica is repairing a lost or damaged disk.
    bool repairing = false;
    // The number of that repair, 0 if none.
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

// The journal write with this number, and all before it, is synced.
struct WriteSynced {
    std::uint64_t write = 0;
};

// The disk is full or failing. Sent again with failed = false when writes succeed again.
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

// Write to the journal and sync; then report WriteSynced. Writes are numbered in order from 1.
struct WriteJournal {
    std::uint64_t write = 0;
    std::optional<HardState> hardState;
    // Entries replace everything in the journal from the first of their indexes on.
    std::vector<LogEntry> entries;
    // A new snapshot; the journal up to its last index may be dropped once it is synced.
    std::optional<Snapshot> snapshot;
    // True for a snapshot from the leader that the journal does not agree with: all earlier entries are dropped with it.
    bool replaceEntries = false;
};

struct Respond {
    RequestToken token;
    CommandResult result;
};

// The committed configuration changed. The driver offers it to entry instances.
struct ConfigurationCommitted {
    OwnerConfiguration configuration;
};

// A higher document version was committed. The driver reads it from the committed state.
struct DocumentCommitted {
    std::uint64_t version = 0;
};

// Another replica leads as far as this one knows, or its own lease began or ended.
struct LeaderChanged {
    bool leads = false;
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

using Effect = std::variant<SendToPeer, WriteJournal, Respond, ConfigurationCommitted, DocumentCommitted, LeaderChanged, LogEvent>;

// What the leader knows of another member.
struct MemberHealth {
    InstanceName name;
    // The time since its last reply, or since this leader was elected if it has not replied since.
    Micros timeSinceReply { 0 };
    // True once it holds the committed log and is not being repaired.
    bool caughtUp = false;
};

// What status shows of a replica.
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
};

} // namespace curranttrail::control
