#pragma once

#include "core/event_log.h"

namespace curranttrail::membership::events {

inline constexpr EventDescription kMemberChanged { 4001, "member_changed", Severity::Information, "This instance learnt of a change in the state of another instance." };
inline constexpr EventDescription kRefuted { 4002, "suspicion_refuted", Severity::Warning, "Another instance held this one to be suspect or dead; this instance raised its revision to refute that." };
inline constexpr EventDescription kStalled { 4003, "process_stalled", Severity::Warning, "This process did not run for some time; its timeouts were extended by that time." };
inline constexpr EventDescription kIsolated { 4004, "isolated", Severity::Warning, "No datagram has arrived from any instance for several probe periods; no instance that the platform lists is declared dead meanwhile." };
inline constexpr EventDescription kContactRestored { 4005, "contact_restored", Severity::Information, "Datagrams arrive again after a period of isolation." };
inline constexpr EventDescription kJoined { 4006, "joined", Severity::Information, "The full membership state was received from a seed." };
inline constexpr EventDescription kJoinTimedOut { 4007, "join_timed_out", Severity::Warning, "No seed replied before the join timeout; this instance starts alone and keeps contacting the seeds." };
inline constexpr EventDescription kNameConflict { 4008, "name_conflict", Severity::Error, "Another process uses this instance's name from a different address." };
inline constexpr EventDescription kTableFull { 4009, "member_table_full", Severity::Error, "A new instance was ignored because the table of members is full." };
inline constexpr EventDescription kDatagramDropped { 4010, "datagram_dropped", Severity::Debug, "A received datagram was dropped for the given reason." };
inline constexpr EventDescription kLeaving { 4011, "leaving_announced", Severity::Information, "This instance announced that it is leaving." };
inline constexpr EventDescription kHigherVersion { 4012, "higher_version_seen", Severity::Information, "Another instance holds a higher configuration version of an owner." };
inline constexpr EventDescription kServerLeaving { 4013, "server_leaving_seen", Severity::Information, "Another instance announced that a backend server is leaving." };

inline constexpr std::array<const EventDescription*, 13> kCatalogue { {
    &kMemberChanged,
    &kRefuted,
    &kStalled,
    &kIsolated,
    &kContactRestored,
    &kJoined,
    &kJoinTimedOut,
    &kNameConflict,
    &kTableFull,
    &kDatagramDropped,
    &kLeaving,
    &kHigherVersion,
    &kServerLeaving,
} };

} // namespace curranttrail::membership::events
