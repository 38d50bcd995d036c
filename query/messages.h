#pragma once

#include "core/class_target.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "core/verdict.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::query {

// Why a query was refused. The HTTP status and documentation follow from it.
enum class RefusalReason {
    UnknownClass,
    WrongOwner,
    DeadlinePast,
    MissingRequestId,
    RequestIdExpired,
    Overloaded,
    NotReady,
    Draining,
    ClaimUnavailable,
    DuplicateRequest,
    NoServers,
    CoverageTooLow,
    DeadlineReached,
    ServerFailed,
};

inline constexpr std::array<EnumName<RefusalReason>, 14> kRefusalReasonNames { {
    { RefusalReason::UnknownClass, "unknown_class" },
    { RefusalReason::WrongOwner, "wrong_owner" },
    { RefusalReason::DeadlinePast, "deadline_past" },
    { RefusalReason::MissingRequestId, "missing_request_id" },
    { RefusalReason::RequestIdExpired, "request_id_expired" },
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::NotReady, "not_ready" },
    { RefusalReason::Draining, "draining" },
    { RefusalReason::ClaimUnavailable, "claim_unavailable" },
    { RefusalReason::DuplicateRequest, "duplicate_request" },
    { RefusalReason::NoServers, "no_servers" },
    { RefusalReason::CoverageTooLow, "coverage_too_low" },
    { RefusalReason::DeadlineReached, "deadline_reached" },
    { RefusalReason::ServerFailed, "server_failed" },
} };

// Why a shard is missing from an answer.
enum class MissingShardReason {
    NoServer,
    TimedOut,
    Failed,
    SnapshotGone,
};

inline constexpr std::array<EnumName<MissingShardReason>, 4> kMissingShardReasonNames { {
    { MissingShardReason::NoServer, "no_server" },
    { MissingShardReason::TimedOut, "timed_out" },
    { MissingShardReason::Failed, "failed" },
    { MissingShardReason::SnapshotGone, "snapshot_gone" },
} };

// A shard as one snapshot has it.
struct ShardRange {
    std::string shard;
    KeyRange range;
};

struct MissingShard {
    ShardRange shard;
    MissingShardReason reason = MissingShardReason::NoServer;
};

// What part of the pinned snapshot an answer covers.
struct Coverage {
    // Share of the key space covered, from 0 to 1.
    double fraction = 0;
    std::vector<ShardRange> covered;
    std::vector<MissingShard> missing;
};

// One shard's contribution to an answer. The payload is JSON text as the backend server sent it.
struct ShardResult {
    ShardRange shard;
    std::string payload;
};

// Use of backend servers caused by one query, against one owner of servers.
struct Usage {
    OwnerName causedBy;
    OwnerName servedBy;
    ClassName className;
    std::uint64_t subqueries = 0;
    std::uint64_t serverMicros = 0;
    std::uint64_t bytes = 0;
};

// ---- Events: what a driver tells the reducer ----

// A caller's query, decoded and authenticated.
struct QueryArrived {
    QueryId query;
    OwnerName caller;
    ClassName className;
    // Time left for the answer, from the caller.
    Micros timeout { 0 };
    // Both are required for a class whose requests may not be repeated.
    std::optional<std::string> requestId;
    std::optional<UnixMillis> issuedAt;
    // Wall-clock time at arrival, to judge the age of the request id.
    UnixMillis wallClock = 0;
    // JSON text that is passed to every backend server unchanged.
    std::string body;
};

// The caller closed its connection before the answer.
struct CallerDisconnected {
    QueryId query;
};

enum class ClaimOutcome {
    Granted,
    // Another attempt holds or held the claim; it completed or its outcome is unknown.
    Duplicate,
    Expired,
    // No quorum answered; the claim may or may not be recorded.
    Unavailable,
};

// Answer to RequestClaim.
struct ClaimResolved {
    QueryId query;
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    // For a duplicate: whether the earlier request ran or may have run.
    Verdict earlier = Verdict::MayHaveRun;
};

// What a backend server reports of itself, in a report or on a reply.
struct HeldShard {
    SnapshotVersion snapshot;
    ShardRange shard;
};

struct ServerReport {
    ServerId server;
    // Load as the server states it: requests running and queued per slot.
    double load = 0;
    bool draining = false;
    std::vector<HeldShard> held;
};

// A backend server as the platform's list has it.
struct ListedServer {
    ServerId server;
    std::string name;
    DataCentreName dataCentre;
    OwnerName owner;
    CollectionName collection;
    std::uint32_t slots = 0;
    std::uint32_t connectionLimit = 0;
    bool leaving = false;
};

// The platform's list, whole. Servers that it lacks are gone, as far as the platform knows.
struct ServerListChanged {
    std::vector<ListedServer> servers;
};

// Another entry instance saw that a server is leaving.
struct PeerReportedLeaving {
    ServerId server;
};

// The entry instances that share the servers' connection limits, and this one's name. Sent on each change.
struct EntryInstancesChanged {
    InstanceName self;
    std::vector<InstanceName> instances;
};

// New configuration of one or more owners. The reducer ignores owners whose version is not higher than its own.
struct ConfigurationChanged {
    std::shared_ptr<const ClassTable> classes;
};

struct ConnectionOpened {
    ConnectionId connection;
};

// The connection failed to open or was closed by the other side. Attempts on it are reported separately, before this event.
struct ConnectionLost {
    ConnectionId connection;
};

enum class ReplyStatus {
    Ok,
    // Refused before any work was done: shedding load or draining.
    Shed,
    // The server does not hold the snapshot; no work was done.
    SnapshotGone,
    // The server reports that the request failed after work began.
    Failed,
};

// A complete reply on a connection. The driver passes on what the reply itself says; the reducer checks it against its attempt.
struct SubqueryReplied {
    AttemptId attempt;
    ConnectionId connection;
    ReplyStatus status = ReplyStatus::Failed;
    SnapshotVersion snapshot;
    ShardRange shard;
    std::string payload;
    std::uint64_t serverMicros = 0;
    // Present when the reply carries load or drain headers.
    std::optional<ServerReport> report;
};

// An attempt ended without a reply. Progress says how far it came.
struct SubqueryEnded {
    AttemptId attempt;
    ConnectionId connection;
    AttemptProgress progress = AttemptProgress::Unknown;
};

// Stop taking new queries and finish those in flight.
struct DrainRequested { };

// The wake-up asked for by nextWakeup() has come.
struct Tick { };

using Event = std::variant<QueryArrived, CallerDisconnected, ClaimResolved, ServerReport, ServerListChanged, PeerReportedLeaving,
    EntryInstancesChanged, ConfigurationChanged, ConnectionOpened, ConnectionLost, SubqueryReplied, SubqueryEnded, DrainRequested, Tick>;

// ---- Effects: what the reducer asks the driver to do ----

struct OpenConnection {
    ConnectionId connection;
    ServerId server;
};

struct CloseConnection {
    ConnectionId connection;
};

// Send one subquery on an idle open connection. A connection carries one attempt at a time.
struct SendSubquery {
    AttemptId attempt;
    ConnectionId connection;
    ServerId server;
    SnapshotVersion snapshot;
    ShardRange shard;
    // Time left, passed on to the server.
    Micros timeout { 0 };
    std::optional<std::string> requestId;
    std::shared_ptr<const std::string> body;
};

// Ask the server to stop work on an attempt. The attempt still ends with SubqueryReplied or SubqueryEnded.
struct CancelSubquery {
    AttemptId attempt;
    ConnectionId connection;
    ServerId server;
};

// Claim a request id in the replicated log of the class's owner. Answered by ClaimResolved before the time-out or at it.
struct RequestClaim {
    QueryId query;
    OwnerName owner;
    std::string requestId;
    UnixMillis issuedAt = 0;
    Micros timeout { 0 };
};

// Record the outcome of a granted or possibly granted claim. The driver repeats it until it is recorded.
struct SettleClaim {
    OwnerName owner;
    std::string requestId;
    Verdict outcome = Verdict::MayHaveRun;
    // The query that asked for the claim. Two queries of one instance may carry the same request id.
    QueryId query;
};

struct SendAnswer {
    QueryId query;
    CollectionName collection;
    SnapshotVersion snapshot;
    Coverage coverage;
    std::vector<ShardResult> results;
};

struct SendRefusal {
    QueryId query;
    RefusalReason reason = RefusalReason::NotReady;
    Verdict verdict = Verdict::NotRun;
    std::string message;
    // Present when the refusal follows from coverage below the class's target.
    std::optional<Coverage> coverage;
};

struct RecordUsage {
    QueryId query;
    Usage usage;
};

// Tell the other entry instances that a server is leaving.
struct AnnounceLeaving {
    ServerId server;
};

// The last query in flight has ended after DrainRequested.
struct DrainComplete { };

using Effect = std::variant<OpenConnection, CloseConnection, SendSubquery, CancelSubquery, RequestClaim, SettleClaim, SendAnswer,
    SendRefusal, RecordUsage, AnnounceLeaving, DrainComplete, LogEvent>;

} // namespace curranttrail::query
