#pragma once

#include "core/enum_names.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "routing/route_document.h"
#include "routing/server_record.h"

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::routing {

// A caller's request, numbered by the driver.
using RequestKey = StrongId<struct RequestKeyTag>;

// What a server said of its load with a reply.
struct ServerLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    std::uint32_t slots = 0;
    // How long work takes on the server's machine now, 1 is usual.
    double slowdown = 1;
};

// Why a server's reply is no answer to the request, or that it is one.
enum class ReplyKind {
    // A complete, signed success.
    Success,
    // A complete failure of the server. The request may have run.
    Failure,
    // The server states that it did not run the request.
    NotExecuted,
    // Another incarnation has the address; nothing ran.
    WrongInstance,
    // Complete, but not the answer to this request or without what makes a success.
    Unusable,
};

inline constexpr std::array<EnumName<ReplyKind>, 5> kReplyKindNames { {
    { ReplyKind::Success, "success" },
    { ReplyKind::Failure, "failure" },
    { ReplyKind::NotExecuted, "not_executed" },
    { ReplyKind::WrongInstance, "wrong_instance" },
    { ReplyKind::Unusable, "unusable" },
} };

struct ServerReply {
    ReplyKind kind = ReplyKind::Unusable;
    unsigned status = 0;
    // The server's signature of its answer.
    std::string stamp;
    std::optional<ServerLoad> load;
    // End-to-end header fields, passed on unchanged.
    std::vector<std::pair<std::string, std::string>> fields;
    std::string body;
    // The server closes the connection after this reply.
    bool closing = false;
};

// ---- Events ----

struct RequestArrived {
    RequestKey key;
    std::string requestId;
    std::string host;
    std::string path;
    // How long the caller waits, if it said so.
    std::optional<Micros> callerTimeout;
    // The round trip to the caller.
    Micros roundTrip { 0 };
    // The caller opened its connection for this request, which took it another round trip.
    bool isNewConnection = false;
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
};

struct AttemptReplied {
    AttemptId attempt;
    ServerReply reply;
};

// The connection of an attempt ended without a complete reply. The connection is gone.
struct AttemptBroken {
    AttemptId attempt;
    std::string reason;
};

struct RouteDocumentUpdated {
    std::shared_ptr<const RouteDocument> document;
};

struct ServerListReceived {
    ServerList servers;
    // The age of the list when it came here.
    Micros age { 0 };
};

struct ServerListDeltaReceived {
    ServerListDelta changes;
    // The age of the newer list when its changes came here.
    Micros age { 0 };
};

// The entry instances that share the servers with this one, itself included.
struct EntryInstancesChanged {
    std::vector<InstanceName> instances;
};

struct Tick { };

using Event = std::variant<RequestArrived, CallerDisconnected, ConnectionOpened, ConnectionLost, AttemptReplied, AttemptBroken, RouteDocumentUpdated,
    ServerListReceived, ServerListDeltaReceived, EntryInstancesChanged, Tick>;

// ---- Effects ----

struct OpenConnection {
    ConnectionId connection;
    std::string address;
};

struct CloseConnection {
    ConnectionId connection;
};

struct SendAttempt {
    AttemptId attempt;
    ConnectionId connection;
    RequestKey request;
    // The time that the server may take.
    Micros remaining { 0 };
    // The incarnation that is to run the request.
    std::string instance;
};

// Answers with a server's reply, unchanged.
struct AnswerReply {
    RequestKey request;
    ServerReply reply;
};

// Answers with the merged parts of a scattered request.
struct AnswerMerged {
    RequestKey request;
    std::vector<std::string> stamps;
    std::size_t missing = 0;
    std::string body;
};

// Why a request gets no answer of a server.
enum class RefusalReason {
    NotReady,
    NoRoute,
    NoServer,
    Overloaded,
    AttemptsFailed,
    TimedOut,
};

inline constexpr std::array<EnumName<RefusalReason>, 6> kRefusalReasonNames { {
    { RefusalReason::NotReady, "not_ready" },
    { RefusalReason::NoRoute, "no_route" },
    { RefusalReason::NoServer, "no_server" },
    { RefusalReason::Overloaded, "overloaded" },
    { RefusalReason::AttemptsFailed, "attempts_failed" },
    { RefusalReason::TimedOut, "timed_out" },
} };

struct RefuseRequest {
    RequestKey request;
    RefusalReason reason = RefusalReason::NotReady;
    // True only if no server ran or will run the request.
    bool notRun = false;
    // When the caller may come back, for a request that was not run.
    std::optional<Micros> retryAfter;
    // Attempts that were sent and not answered.
    std::size_t unanswered = 0;
};

using Effect = std::variant<OpenConnection, CloseConnection, SendAttempt, AnswerReply, AnswerMerged, RefuseRequest, LogEvent>;

} // namespace curranttrail::routing
