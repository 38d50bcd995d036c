#pragma once

#include "core/event_log.h"

#include <array>

// Events 8000 to 8999: routing of raw requests.
namespace curranttrail::routing {

namespace events {

    inline constexpr EventDescription kRequestAnswered { 8000, "request_answered", Severity::Information, "A request was answered with the reply of one server or with the merged replies of several." };
    inline constexpr EventDescription kRequestRefused { 8001, "request_refused", Severity::Warning, "A request was refused without a server's answer; the fields give the reason and whether it may have run." };
    inline constexpr EventDescription kRequestAbandoned { 8002, "request_abandoned", Severity::Information, "The caller disconnected before the answer; the request's attempts are cancelled." };
    inline constexpr EventDescription kAttemptRepeated { 8010, "attempt_repeated", Severity::Information, "An additional attempt is sent to another server, as a hedge or as a retry." };
    inline constexpr EventDescription kAttemptFailed { 8011, "attempt_failed", Severity::Information, "An attempt ended without a usable reply." };
    inline constexpr EventDescription kRepeatDenied { 8012, "repeat_denied", Severity::Information, "An additional attempt was due but the shared budget of additional attempts was used up." };
    inline constexpr EventDescription kServerSuspended { 8020, "server_suspended", Severity::Warning, "Consecutive failures suspend a server; it gets no new work until the suspension ends." };
    inline constexpr EventDescription kServerReplaced { 8021, "server_replaced", Severity::Warning, "Another incarnation answered at a server's address; the server gets no new work." };
    inline constexpr EventDescription kServerAppeared { 8022, "server_appeared", Severity::Information, "A server was added to the server list." };
    inline constexpr EventDescription kServerLeaving { 8023, "server_withdrawn", Severity::Information, "A server is marked as leaving or was removed from the server list; it gets no new work." };
    inline constexpr EventDescription kServersListed { 8024, "servers_listed", Severity::Information, "A server list, such as the first one after a start, adds many servers; they are counted instead of named." };
    inline constexpr EventDescription kServerUnverified { 8025, "server_unverified", Severity::Warning, "A server was silent or a connection to it failed; without an open connection it gets no requests until one opens." };
    inline constexpr EventDescription kServerVerified { 8026, "server_verified", Severity::Information, "A server that was silent or refused a connection can be reached again." };
    inline constexpr EventDescription kServerSaysLeaving { 8027, "server_says_leaving", Severity::Information, "A reply of a server states that it leaves; it gets no new work as long as the server list names this incarnation." };
    inline constexpr EventDescription kServerLimitNamed { 8040, "server_limit_named", Severity::Information, "A server named the number of requests a second that it takes from all instances together." };
    inline constexpr EventDescription kServerLimitChanged { 8041, "server_limit_changed", Severity::Information, "A server named another limit than before; at most one line a second for each server." };
    inline constexpr EventDescription kServerLimitEnded { 8042, "server_limit_ended", Severity::Information, "A server's replies no longer name a limit." };
    inline constexpr EventDescription kServerLimitUnreadable { 8043, "server_limit_unreadable", Severity::Warning, "A server named a limit that is no number, negative or infinite; the limit of before, if any, stays; at most one line a second for each server." };
    inline constexpr EventDescription kServerRests { 8044, "server_rests", Severity::Information, "A server rejected a request and wants nothing from this instance for the given time; at most one line a second for each server." };
    inline constexpr EventDescription kServerRestUnreadable { 8045, "server_rest_unreadable", Severity::Warning, "A server that rejected a request named a time that is no number of seconds, negative or infinite; it is ignored; at most one line a second for each server." };
    inline constexpr EventDescription kServerEnded { 8050, "server_ended", Severity::Warning, "A server closed its connections while requests ran on it and takes no new ones, though others beside it do; the requests become suspect until they are answered elsewhere." };
    inline constexpr EventDescription kRequestSuspected { 8051, "request_suspected", Severity::Information, "A server ended while the request with this fingerprint ran on it; until it is answered it is not repeated on another server." };
    inline constexpr EventDescription kRequestBlocked { 8052, "request_blocked", Severity::Error, "So many servers ended under the request with this fingerprint that it is refused from now on; the fields name the servers and the instances that had sent it." };
    inline constexpr EventDescription kRequestCleared { 8053, "request_cleared", Severity::Information, "The request with this fingerprint was answered, or an operator released it; it is no longer suspect or blocked." };
    inline constexpr EventDescription kServersUnreachable { 8060, "servers_unreachable", Severity::Warning, "This instance reaches no server, or opens no connection to one; it opens connections through other entry instances from now on." };
    inline constexpr EventDescription kServersReachedAgain { 8061, "servers_reached_again", Severity::Information, "This instance reaches servers again; connections are opened directly from now on." };
    inline constexpr EventDescription kRelayFailed { 8062, "relay_failed", Severity::Information, "Another entry instance could not be reached or refused to relay a connection; it is not asked for a while." };
    inline constexpr EventDescription kStopScheduled { 8070, "stop_scheduled", Severity::Information, "The process ends after the given time; requests that are not expected to be answered before it are refused." };
    inline constexpr EventDescription kProcessSuspended { 8080, "process_suspended", Severity::Warning, "The machine was suspended for the given time; what control confirmed before is older by it." };
    inline constexpr EventDescription kKeysUnconfirmed { 8081, "keys_unconfirmed", Severity::Warning, "Requests with keys are refused from now on: no control leader has confirmed within the revocation limit that the document with the keys is in force." };
    inline constexpr EventDescription kKeysConfirmed { 8082, "keys_confirmed", Severity::Information, "A control leader confirmed the document; requests with its keys are admitted again." };
    inline constexpr EventDescription kDocumentApplied { 8030, "document_applied", Severity::Information, "This instance applied a newer version of the route document." };
    inline constexpr EventDescription kInstancesChanged { 8031, "instances_changed", Severity::Information, "The number of entry instances changed; this instance's share of connections and additional attempts is updated." };

} // namespace events

inline constexpr std::array kRoutingEvents {
    &events::kRequestAnswered,
    &events::kRequestRefused,
    &events::kRequestAbandoned,
    &events::kAttemptRepeated,
    &events::kAttemptFailed,
    &events::kRepeatDenied,
    &events::kServerSuspended,
    &events::kServerReplaced,
    &events::kServerAppeared,
    &events::kServerLeaving,
    &events::kServersListed,
    &events::kServerUnverified,
    &events::kServerVerified,
    &events::kServerSaysLeaving,
    &events::kServerLimitNamed,
    &events::kServerLimitChanged,
    &events::kServerLimitEnded,
    &events::kServerLimitUnreadable,
    &events::kServerRests,
    &events::kServerRestUnreadable,
    &events::kServerEnded,
    &events::kRequestSuspected,
    &events::kRequestBlocked,
    &events::kRequestCleared,
    &events::kServersUnreachable,
    &events::kServersReachedAgain,
    &events::kRelayFailed,
    &events::kStopScheduled,
    &events::kProcessSuspended,
    &events::kKeysUnconfirmed,
    &events::kKeysConfirmed,
    &events::kDocumentApplied,
    &events::kInstancesChanged,
};

} // namespace curranttrail::routing
