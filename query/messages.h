#pragma once

#include "core/class_target.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "core/verdict.h"
#include "policy/crash_table.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::query {

// Reason for refusing a query. It determines the HTTP status of the response.
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
    // Several servers ended under the query at the same moment. Another instance finds out whether it ends one more.
    AwaitingTrial,
    // Servers end when they run the query, so it is not worth resending.
    QueryBlocked,
};

inline constexpr std::array<EnumName<RefusalReason>, 16> kRefusalReasonNames { {
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
    { RefusalReason::AwaitingTrial, "awaiting_trial" },
    { RefusalReason::QueryBlocked, "query_blocked" },
} };

// Reason why a shard is missing from an answer.
enum class MissingShardReason {
    NoServer,
    TimedOut,
    Failed,
    SnapshotGone,
    // The server that ran the shard ended, perhaps because of the query.
    ServerEnded,
};

inline constexpr std::array<EnumName<MissingShardReason>, 5> kMissingShardReasonNames { {
    { MissingShardReason::NoServer, "no_server" },
    { MissingShardReason::TimedOut, "timed_out" },
    { MissingShardReason::Failed, "failed" },
    { MissingShardReason::SnapshotGone, "snapshot_gone" },
    { MissingShardReason::ServerEnded, "server_ended" },
} };

// A shard and its key range in one snapshot.
struct ShardRange {
    std::string shard;
    KeyRange range;
};

struct MissingShard {
    ShardRange shard;
    MissingShardReason reason = MissingShardReason::NoServer;
};

// The part of the pinned snapshot that an answer covers.
struct Coverage {
    // Fraction of the key space that is covered, from 0 to 1.
    double fraction = 0;
    std::vector<ShardRange> covered;
    std::vector<MissingShard> missing;
};

// A shard reply merged into an answer. The payload is JSON text as the backend server sent it.
struct ShardResult {
    ShardRange shard;
    std::string payload;
};

// Usage of one owner's backend servers by one query.
struct Usage {
    OwnerName causedBy;
    OwnerName servedBy;
    ClassName className;
    std::uint64_t subqueries = 0;
    std::uint64_t serverMicros = 0;
    std::uint64_t bytes = 0;
};

// ---- Events: inputs from the driver ----

// A decoded query of an authenticated caller.
struct QueryArrived {
    QueryId query;
    OwnerName caller;
    ClassName className;
    // Time left for the answer, as the caller states it.
    Micros timeout { 0 };
    // Both are required for a class whose requests must run at most once.
    std::optional<std::string> requestId;
    std::optional<UnixMillis> issuedAt;
    // Wall-clock time at arrival, used to check the age of the request id.
    UnixMillis wallClock = 0;
    // JSON text that is forwarded unchanged to every backend server.
    std::string body;
};

// The caller closed its connection before the answer.
struct CallerDisconnected {
    QueryId query;
};

enum class ClaimOutcome {
    Granted,
    // An earlier request claimed the id; it ran or may have run.
    Duplicate,
    Expired,
    // No quorum answered, so the claim may or may not have been recorded.
    Unavailable,
};

// Answer to RequestClaim.
struct ClaimResolved {
    QueryId query;
    ClaimOutcome outcome = ClaimOutcome::Unavailable;
    // Verdict on the earlier request if the outcome is Duplicate.
    Verdict earlier = Verdict::MayHaveRun;
};

// A shard that a backend server holds.
struct HeldShard {
    SnapshotVersion snapshot;
    ShardRange shard;
};

// State that a backend server reports about itself, when polled or with a reply.
struct ServerReport {
    ServerId server;
    // Number of running and queued requests per slot.
    double load = 0;
    bool draining = false;
    std::vector<HeldShard> held;
};

// Entry of the platform's server list.
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

// The platform's complete server list. Servers that are not in it have been removed.
struct ServerListChanged {
    std::vector<ListedServer> servers;
};

// Another entry instance reported that a server is leaving.
struct PeerReportedLeaving {
    ServerId server;
};

// The entry instances that share the servers' connection limits, with the name of this one. Sent on each change.
struct EntryInstancesChanged {
    InstanceName self;
    std::vector<InstanceName> instances;
};

// Configurations of one or more owners. Versions that are not higher than the current ones are ignored.
struct ConfigurationChanged {
    std::shared_ptr<const ClassTable> classes;
};

// The control leader of an owner, with a valid lease, answered: the configuration of the owner that this instance holds is in force, or
// a newer one follows.
struct ConfigurationConfirmed {
    OwnerName owner;
};

struct ConnectionOpened {
    ConnectionId connection;
};

// The connection could not be opened or was closed by the peer. Its attempt is reported separately, before this event.
struct ConnectionLost {
    ConnectionId connection;
};

enum class ReplyStatus {
    Ok,
    // Refused before any work was done, because the server sheds load or drains.
    Shed,
    // The server does not hold the snapshot; no work was done.
    SnapshotGone,
    // The request failed after work had begun.
    Failed,
};

// A complete reply. Its snapshot, shard and report are those that the reply states; the reducer checks them against the attempt.
struct SubqueryReplied {
    AttemptId attempt;
    ConnectionId connection;
    ReplyStatus status = ReplyStatus::Failed;
    SnapshotVersion snapshot;
    ShardRange shard;
    std::string payload;
    std::uint64_t serverMicros = 0;
    // Present if the reply has load or drain headers.
    std::optional<ServerReport> report;
};

// An attempt ended without a reply.
struct SubqueryEnded {
    AttemptId attempt;
    ConnectionId connection;
    AttemptProgress progress = AttemptProgress::Unknown;
};

// What other entry instances know about queries that end servers.
struct CrashRecordsReceived {
    std::vector<policy::CrashRecord> records;
};

// Requests that new queries are refused and those in flight are finished.
struct DrainRequested { };

// The time returned by nextWakeup() has been reached.
struct Tick { };

using Event = std::variant<QueryArrived, CallerDisconnected, ClaimResolved, ServerReport, ServerListChanged, PeerReportedLeaving,
    EntryInstancesChanged, ConfigurationChanged, ConnectionOpened, ConnectionLost, SubqueryReplied, SubqueryEnded, DrainRequested, Tick, ConfigurationConfirmed, CrashRecordsReceived>;

// ---- Effects: requests to the driver ----

struct OpenConnection {
    ConnectionId connection;
    ServerId server;
};

struct CloseConnection {
    ConnectionId connection;
};

// Sends one subquery on an idle connection. A connection carries one attempt at a time.
struct SendSubquery {
    AttemptId attempt;
    ConnectionId connection;
    ServerId server;
    SnapshotVersion snapshot;
    ShardRange shard;
    // Time left for the reply, forwarded to the server.
    Micros timeout { 0 };
    std::optional<std::string> requestId;
    std::shared_ptr<const std::string> body;
};

// Asks the server to cancel an attempt. The attempt still ends with SubqueryReplied or SubqueryEnded.
struct CancelSubquery {
    AttemptId attempt;
    ConnectionId connection;
    ServerId server;
};

// Claims a request id in the replicated log of the class's owner. Answered by ClaimResolved no later than the timeout.
struct RequestClaim {
    QueryId query;
    OwnerName owner;
    std::string requestId;
    UnixMillis issuedAt = 0;
    Micros timeout { 0 };
};

// Records the outcome of a granted or possibly granted claim. The driver retries until it is recorded.
struct SettleClaim {
    OwnerName owner;
    std::string requestId;
    Verdict outcome = Verdict::MayHaveRun;
    // The query that requested the claim. Two queries of one instance may have the same request id.
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
    // Present if the query was refused for insufficient coverage.
    std::optional<Coverage> coverage;
    // Delay before the caller is to resend the query. Set only if it was not run.
    std::optional<Micros> retryAfter;
};

struct RecordUsage {
    QueryId query;
    Usage usage;
};

// Tells the other entry instances that a server is leaving.
struct AnnounceLeaving {
    ServerId server;
};

// Sent once after DrainRequested, when the last query has ended and no claim is unresolved.
struct DrainComplete { };

using Effect = std::variant<OpenConnection, CloseConnection, SendSubquery, CancelSubquery, RequestClaim, SettleClaim, SendAnswer,
    SendRefusal, RecordUsage, AnnounceLeaving, DrainComplete, LogEvent>;

} // namespace curranttrail::query
