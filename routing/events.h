#pragma once

#include "core/event_log.h"

#include <array>

// Events 8000 to 8999: routing of raw requests.
namespace curranttrail::routing {

namespace events {

    inline constexpr EventDescription kRequestAnswered { 8000, "request_answered", Severity::Information, "A request got the answer of a server or the merged answer of several." };
    inline constexpr EventDescription kRequestRefused { 8001, "request_refused", Severity::Warning, "A request got no answer of a server; the reason and whether it may have run are given." };
    inline constexpr EventDescription kRequestAbandoned { 8002, "request_abandoned", Severity::Information, "The caller left before the answer; its attempts are cancelled." };
    inline constexpr EventDescription kAttemptRepeated { 8010, "attempt_repeated", Severity::Information, "A second server gets the request, as a hedge or after a failure." };
    inline constexpr EventDescription kAttemptFailed { 8011, "attempt_failed", Severity::Information, "An attempt ended without a usable answer." };
    inline constexpr EventDescription kRepeatDenied { 8012, "repeat_denied", Severity::Information, "A repeat was due and the shared budget of repeats was used up." };
    inline constexpr EventDescription kServerSuspended { 8020, "server_suspended", Severity::Warning, "Failures in a row keep a server from new work for a while." };
    inline constexpr EventDescription kServerReplaced { 8021, "server_replaced", Severity::Warning, "Another incarnation answered at a server's address; the server gets no more work." };
    inline constexpr EventDescription kServerAppeared { 8022, "server_appeared", Severity::Information, "The list names a new server." };
    inline constexpr EventDescription kServerLeaving { 8023, "server_withdrawn", Severity::Information, "The list names a server as leaving or no longer at all; it gets no new work." };
    inline constexpr EventDescription kServersListed { 8024, "servers_listed", Severity::Information, "One list names many new servers, as the first list after a start; they are counted and not named." };
    inline constexpr EventDescription kDocumentApplied { 8030, "document_applied", Severity::Information, "A higher version of the routes is in force here." };
    inline constexpr EventDescription kInstancesChanged { 8031, "instances_changed", Severity::Information, "The number of entry instances changed, and with it this one's share of connections and repeats." };

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
    &events::kDocumentApplied,
    &events::kInstancesChanged,
};

} // namespace curranttrail::routing
