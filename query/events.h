#pragma once

#include "core/event_log.h"

#include <array>

namespace curranttrail::query {

// Events 2000 to 2999: queries on an entry instance.
namespace events {

    inline constexpr EventDescription kReady { 2000, "entry_ready", Severity::Information, "A configuration and a server list have been received; queries are accepted." };
    inline constexpr EventDescription kConfigurationApplied { 2001, "configuration_applied", Severity::Information, "A newer configuration version of an owner was applied." };
    inline constexpr EventDescription kDrainStarted { 2002, "entry_drain_started", Severity::Information, "The instance is draining: new queries are refused, those in flight are finished." };
    inline constexpr EventDescription kDrainFinished { 2003, "entry_drain_finished", Severity::Information, "The last query in flight has ended." };
    inline constexpr EventDescription kServerLeaving { 2100, "server_leaving", Severity::Information, "A backend server is leaving and gets no new work; the source field names the signal that came first." };
    inline constexpr EventDescription kServerReturned { 2101, "server_returned", Severity::Information, "A backend server that was leaving reports that it accepts work again." };
    inline constexpr EventDescription kConnectionSilent { 2200, "connection_silent", Severity::Warning, "A connection got no reply while others to the same server did; it is closed and replaced." };
    inline constexpr EventDescription kCancelUnanswered { 2201, "cancel_unanswered", Severity::Warning, "A cancelled attempt did not end in time; its connection is closed." };
    inline constexpr EventDescription kConnectionFailed { 2202, "connection_failed", Severity::Warning, "A connection could not be opened." };
    inline constexpr EventDescription kStrayReply { 2300, "stray_reply", Severity::Warning, "A reply matched no attempt on its connection and was dropped." };
    inline constexpr EventDescription kMismatchedReply { 2301, "mismatched_reply", Severity::Error, "A reply names another snapshot or shard than its attempt; it is not merged and its connection is closed." };
    inline constexpr EventDescription kSnapshotRestart { 2302, "snapshot_restart", Severity::Information, "A query restarts on a newer snapshot because its servers no longer hold the pinned one." };
    inline constexpr EventDescription kDuplicateQueryId { 2303, "duplicate_query_id", Severity::Error, "The driver reused the id of a query in flight; the second query is dropped." };
    inline constexpr EventDescription kClaimAfterEnd { 2400, "claim_after_end", Severity::Information, "A claim was resolved after its query had ended; it is settled as not run." };

    inline constexpr EventDescription kServerEnded { 2500, "server_ended_under_query", Severity::Warning, "A backend server closed its connections while subqueries ran on it and takes no new ones, though others beside it do; the queries become suspect until they are answered elsewhere." };
    inline constexpr EventDescription kQuerySuspected { 2501, "query_suspected", Severity::Information, "A backend server ended while the query with this fingerprint ran on it; until it is answered it is not repeated on another server." };
    inline constexpr EventDescription kQueryBlocked { 2502, "query_blocked", Severity::Error, "So many backend servers ended under the query with this fingerprint that it is refused from now on; the fields name the servers and the instances that had sent it." };
    inline constexpr EventDescription kQueryCleared { 2503, "query_cleared", Severity::Information, "The query with this fingerprint was answered and is no longer suspect or blocked." };
    inline constexpr EventDescription kSuspectRefused { 2504, "suspect_refused", Severity::Warning, "A query under which backend servers ended was refused before a server was chosen; the fields give its class and fingerprint, and whether it is blocked or awaits a trial." };

} // namespace events

inline constexpr std::array<const EventDescription*, 19> kEventCatalogue { {
    &events::kReady,
    &events::kConfigurationApplied,
    &events::kDrainStarted,
    &events::kDrainFinished,
    &events::kServerLeaving,
    &events::kServerReturned,
    &events::kConnectionSilent,
    &events::kCancelUnanswered,
    &events::kConnectionFailed,
    &events::kStrayReply,
    &events::kMismatchedReply,
    &events::kSnapshotRestart,
    &events::kDuplicateQueryId,
    &events::kClaimAfterEnd,
    &events::kServerEnded,
    &events::kQuerySuspected,
    &events::kQueryBlocked,
    &events::kQueryCleared,
    &events::kSuspectRefused,
} };

} // namespace curranttrail::query
