#pragma once

#include "core/enum_names.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/key_digest.h"
#include "core/request_fingerprint.h"
#include "core/units.h"
#include "policy/account_quota.h"
#include "policy/crash_table.h"
#include "policy/relay_table.h"
#include "routing/route_document.h"
#include "routing/server_record.h"

#include <array>
#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::routing {

// Identifies a caller's request. Assigned by the driver.
using RequestKey = StrongId<struct RequestKeyTag>;

// Load that a server reported with a reply.
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // Current service time relative to the usual one: 1 is usual, 2 is twice as long.
    double slowdown = 1;
};

// Classifies a server's reply as an answer to the request or as a kind of failure.
enum class ReplyKind {
    // Complete, signed and successful.
    Success,
    // A complete, signed error reply of the server. The request may have run.
    Failure,
    // The server states that it did not run the request.
    NotExecuted,
    // Another incarnation answers at the address; it states that it did not run the request.
    WrongInstance,
    // The status of a wrong instance without that statement. The request may have run.
    PossiblyWrongInstance,
    // Complete, but for another request, unsigned or encoded.
    Unusable,
};

inline constexpr std::array<EnumName<ReplyKind>, 6> kReplyKindNames { {
    { ReplyKind::Success, "success" },
    { ReplyKind::Failure, "failure" },
    { ReplyKind::NotExecuted, "not_executed" },
    { ReplyKind::WrongInstance, "wrong_instance" },
    { ReplyKind::PossiblyWrongInstance, "possibly_wrong_instance" },
    { ReplyKind::Unusable, "unusable" },
} };

// Limit that a server named with a reply: the requests a second that it takes from all instances together.
struct NamedLimit {
    // Finite and not negative. Empty if the server named something else.
    std::optional<double> requestsPerSecond;
};

// Time for which a server that rejected a request wants nothing from this instance.
struct NamedRest {
    // Not negative. Empty if the server named something else than a number of seconds.
    std::optional<Micros> duration;
};

struct ServerReply {
    ReplyKind kind = ReplyKind::Unusable;
    unsigned status = 0;
    // The server's signature over its answer.
    std::string stamp;
    std::optional<ServerLoad> load;
    std::optional<NamedLimit> limit;
    std::optional<NamedRest> rest;
    // Time for which the server states that it stays cold.
    Micros coldRemaining { 0 };
    // True if the server states that it leaves.
    bool isLeaving = false;
    // End-to-end header fields, forwarded unchanged.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // True if the connection is closed after this reply.
    bool connectionClosed = false;
};

// ---- Events ----

struct RequestArrived {
    RequestKey key;
    std::string requestId;
    std::string host;
    std::string path;
    // Timeout that the caller stated, if any.
    std::optional<Micros> callerTimeout;
    // Network round-trip time to the caller.
    Micros roundTrip { 0 };
    // True if the caller opened its connection for this request, which cost it another round trip.
    bool isNewConnection = false;
    RequestFingerprint fingerprint;
    // The key that the caller stated, if any.
    std::optional<KeyDigest> keyDigest {};
};

// The caller closed its connection before the answer.
struct CallerDisconnected {
    RequestKey key;
};

struct ConnectionOpened {
    ConnectionId connection;
};

// A connection could not be opened, or an idle one was closed.
struct ConnectionLost {
    ConnectionId connection;
    std::string reason;
    // True if it was the relay that failed or refused, not the server.
    bool isRelayFault = false;
};

struct AttemptReplied {
    AttemptId attempt;
    ServerReply reply;
};

// The connection of an attempt was lost before a complete reply.
struct AttemptConnectionLost {
    AttemptId attempt;
    std::string reason;
};

struct RouteDocumentUpdated {
    std::shared_ptr<const RouteDocument> document;
};

struct ServerListReceived {
    ServerList servers;
    // Age of the list on arrival.
    Micros age { 0 };
    // Revision of the list, as its publisher counts.
    std::uint64_t revision = 0;
};

struct ServerListDeltaReceived {
    ServerListDelta changes;
    // Age of the newer list on arrival of the changes.
    Micros age { 0 };
    std::uint64_t revision = 0;
};

// Servers that leave according to a control instance that knows no leader. They get no new work until a list of a leader is received.
struct ServersLeaving {
    std::vector<std::string> instances;
    // Age of the list that names them.
    Micros age { 0 };
};

// The data centres whose servers get no new work, as ordered by operators.
struct EvacuationsChanged {
    std::vector<DataCentreName> dataCentres;
};

// A control leader with a valid lease replied: the route document and the server list that this instance holds are in force.
struct ControlContacted {
    // Time since the reply.
    Micros age { 0 };
    // Time at which the request was sent to which the leader replied, plus the durations of all ProcessSuspended events.
    TimePoint requestSentAt {};
};

// The machine was suspended, without any progress of the time that the router is given.
struct ProcessSuspended {
    Micros duration { 0 };
};

// What other instances know of requests under which servers ended.
struct CrashRecordsReceived {
    std::vector<policy::CrashRecord> records;
};

// The control leader's answer to a report of quotas, or none if there will be no answer.
struct QuotasReplied {
    std::optional<policy::QuotaReply> reply;
};

// All client accounts that are at their limits, as the control leader says.
struct LimitedAccountsReceived {
    std::vector<policy::AccountId> accounts;
};

// The entry instances that share the servers, including this one.
struct EntryInstancesChanged {
    std::vector<InstanceName> instances;
    // The data centre of each, as far as known.
    std::map<InstanceName, DataCentreName> dataCentres {};
};

// The entry instances that relay connections to servers.
struct RelaysChanged {
    std::vector<policy::Relay> relays;
};

// The process ends at the given time. Nothing is sent from now on that is not expected to be answered before it.
struct StopScheduled {
    TimePoint endsAt;
};

struct Tick { };

using Event = std::variant<RequestArrived, CallerDisconnected, ConnectionOpened, ConnectionLost, AttemptReplied, AttemptConnectionLost, RouteDocumentUpdated,
    ServerListReceived, ServerListDeltaReceived, ServersLeaving, EvacuationsChanged, ControlContacted, CrashRecordsReceived, QuotasReplied, LimitedAccountsReceived, EntryInstancesChanged, RelaysChanged, ProcessSuspended, StopScheduled, Tick>;

// ---- Effects ----

struct OpenConnection {
    ConnectionId connection;
    std::string address;
    // Address of the entry instance through which the connection is opened. Empty if it is opened directly.
    std::string relay {};
};

struct CloseConnection {
    ConnectionId connection;
};

struct SendAttempt {
    AttemptId attempt;
    ConnectionId connection;
    RequestKey request;
    // Time left for the server to reply.
    Micros remaining { 0 };
    // Incarnation that must run the request.
    std::string instance;
    // Name of the client account on whose behalf the request is made. Empty if there is none.
    std::string account {};
};

// Forwards a server's reply unchanged.
struct AnswerReply {
    RequestKey request;
    ServerReply reply;
};

// Answers with the merged shard replies of a scattered request.
struct AnswerMerged {
    RequestKey request;
    std::vector<std::string> stamps;
    std::size_t missing = 0;
    std::string body;
};

// Why a part of a request is sent to a server.
enum class AttemptReason {
    First,
    // Another attempt at the part is late.
    Hedge,
    // All earlier attempts at the part have failed.
    Retry,
};

inline constexpr std::array<EnumName<AttemptReason>, 3> kAttemptReasonNames { {
    { AttemptReason::First, "first" },
    { AttemptReason::Hedge, "hedge" },
    { AttemptReason::Retry, "retry" },
} };

// Tells the control leader what became of the quotas of client accounts and asks for credits. QuotasReplied follows in any case.
struct ReportQuotas {
    policy::QuotaReport report;
};

// Reason for refusing a request.
enum class RefusalReason {
    NotReady,
    NoRoute,
    // The document has no route, but control has not confirmed lately that it is the newest.
    DocumentUnconfirmed,
    // No client account has the caller's key, or the caller stated none.
    UnknownKey,
    // The client account has used up its quota.
    QuotaUsedUp,
    // The account's key may have been withdrawn, because control has not confirmed the document in time.
    KeyUnconfirmed,
    // The servers have too little room for all, and the account asks for more than its share.
    AccountOverShare,
    NoServer,
    // The limits that servers name leave this instance too few requests at present.
    ServerLimit,
    Overloaded,
    AttemptsFailed,
    TimedOut,
    // Several servers ended under the request at the same moment. Another instance finds out whether it ends one more.
    AwaitingTrial,
    // Servers end when they run the request, so it is not worth resending.
    RequestBlocked,
    // This process ends before an answer could be expected.
    Stopping,
};

inline constexpr std::array<EnumName<RefusalReason>, 15> kRefusalReasonNames { {
    { RefusalReason::NotReady, "not_ready" },
    { RefusalReason::NoRoute, "no_route" },
    { RefusalReason::DocumentUnconfirmed, "document_unconfirmed" },
    { RefusalReason::UnknownKey, "unknown_key" },
    { RefusalReason::QuotaUsedUp, "quota_used_up" },
    { RefusalReason::KeyUnconfirmed, "key_unconfirmed" },
    { RefusalReason::AccountOverShare, "account_over_share" },
    { RefusalReason::NoServer, "no_server" },
    { RefusalReason::ServerLimit, "server_limit" },
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::AttemptsFailed, "attempts_failed" },
    { RefusalReason::TimedOut, "timed_out" },
    { RefusalReason::AwaitingTrial, "awaiting_trial" },
    { RefusalReason::RequestBlocked, "request_blocked" },
    { RefusalReason::Stopping, "stopping" },
} };

struct RefuseRequest {
    RequestKey request;
    RefusalReason reason = RefusalReason::NotReady;
    // True only if no server has run or will run the request.
    bool notRun = false;
    // Delay before the caller may retry. Set only if the request was not run.
    std::optional<Micros> retryAfter;
    // Number of attempts that were sent and not answered.
    std::size_t unanswered = 0;
    // Status of a server's reply that is withheld because it promises that the request has not run.
    std::optional<unsigned> withheldStatus {};
};

using Effect = std::variant<OpenConnection, CloseConnection, SendAttempt, AnswerReply, AnswerMerged, RefuseRequest, ReportQuotas, LogEvent>;

} // namespace curranttrail::routing
