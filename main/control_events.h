#pragma once

#include "core/event_log.h"

#include <array>

namespace curranttrail {

namespace events {

    // Events of the control daemon, numbered from 1100.
    inline constexpr EventDescription kChangeRequested { 1100, "change_requested", Severity::Information, "An operator requested a change of a class; part of the audit log." };
    inline constexpr EventDescription kChangeAnswered { 1101, "change_answered", Severity::Information, "An operator's change was answered with this status; part of the audit log." };
    inline constexpr EventDescription kOperatorRefused { 1102, "operator_refused", Severity::Warning, "A request had no valid token, or the operator may not change this owner's classes; part of the audit log." };
    inline constexpr EventDescription kJournalStalled { 1103, "journal_stalled", Severity::Error, "A write to the journal failed and is retried; changes are refused in the meantime." };
    inline constexpr EventDescription kJournalResumed { 1104, "journal_resumed", Severity::Information, "Writes to the journal succeed again." };
    inline constexpr EventDescription kFolderDamaged { 1105, "folder_damaged", Severity::Error, "The data folder is damaged; it was moved aside and this replica starts empty, to be repaired by its group." };
    inline constexpr EventDescription kMessageRefused { 1106, "message_refused", Severity::Warning, "A message from another process was malformed or not allowed for its sender." };
    inline constexpr EventDescription kUsageStalled { 1107, "usage_stalled", Severity::Error, "The usage journal cannot be written; records are not acknowledged in the meantime." };
    inline constexpr EventDescription kPeerClientClosed { 1108, "peer_client_closed", Severity::Information, "The connection to an instance that is no member of the group was closed to make room for another one." };
    inline constexpr EventDescription kPeerClientRefused { 1109, "peer_client_refused", Severity::Error, "All connections to other instances are to members of the group; messages to this one are dropped." };

} // namespace events

inline constexpr std::array kControlDaemonEvents {
    &events::kChangeRequested,
    &events::kChangeAnswered,
    &events::kOperatorRefused,
    &events::kJournalStalled,
    &events::kJournalResumed,
    &events::kFolderDamaged,
    &events::kMessageRefused,
    &events::kUsageStalled,
    &events::kPeerClientClosed,
    &events::kPeerClientRefused,
};

} // namespace curranttrail
