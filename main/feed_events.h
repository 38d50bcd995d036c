#pragma once

#include "core/event_log.h"

#include <array>

namespace curranttrail {

namespace events {

    // Events of the gateway and the coordinator, numbered from 1200.
    inline constexpr EventDescription kDocumentAnswered { 1200, "document_answered", Severity::Information, "A configuration document from an operator was answered with this status." };
    inline constexpr EventDescription kDocumentRead { 1201, "document_read", Severity::Information, "A read of the configuration document was answered with this status." };
    inline constexpr EventDescription kMembersProposed { 1202, "members_proposed", Severity::Information, "The leader proposes a change of the group's members." };
    inline constexpr EventDescription kMembersRefused { 1203, "members_refused", Severity::Warning, "A proposed change of the group's members was refused and is retried." };
    inline constexpr EventDescription kJoinRequested { 1204, "join_requested", Severity::Information, "This instance knows no leader or is no member of the group and requests to join it." };
    inline constexpr EventDescription kLeaveRequested { 1205, "leave_requested", Severity::Information, "This instance stops and asks the group to count it no longer." };
    inline constexpr EventDescription kLeaveEnded { 1206, "leave_ended", Severity::Information, "What became of this instance's request to leave the group: it has left, it is needed and stays a member, or no leader answered in time." };
    inline constexpr EventDescription kServerListLost { 1210, "server_list_lost", Severity::Warning, "The platform's list of backend servers could not be fetched or read; the last complete one stays in use." };
    inline constexpr EventDescription kServerListRegained { 1211, "server_list_regained", Severity::Information, "The platform's list of backend servers can be fetched again." };
    inline constexpr EventDescription kServerListUnreadable { 1212, "server_list_unreadable", Severity::Warning, "Entries of the platform's list are not valid servers and are skipped; the others are used." };
    inline constexpr EventDescription kServerListChanged { 1213, "server_list_changed", Severity::Information, "The list of backend servers changed and is published to the entry instances." };
    inline constexpr EventDescription kServerListOutdated { 1214, "server_list_outdated", Severity::Information, "A list that was fetched before this instance became the leader is not published, because the last leader may have published a newer one." };
    inline constexpr EventDescription kServerListMoved { 1215, "server_list_moved", Severity::Information, "The settings name another address or call rate for the platform's list; they are used from the next fetch on." };
    inline constexpr EventDescription kRequestReleased { 1216, "request_released", Severity::Information, "An operator let the request with this fingerprint run again; `known` is false if no server had ended under it." };
    inline constexpr EventDescription kServerListWithoutLeader { 1217, "server_list_without_leader", Severity::Warning, "This instance has known no leader for a while and fetches the server list itself, with its share of the call rate, to name the servers that leave to entry instances." };
    inline constexpr EventDescription kFeedRegained { 1220, "feed_regained", Severity::Information, "A control leader answers; the configuration and the server list are up to date." };
    inline constexpr EventDescription kFeedLost { 1221, "feed_lost", Severity::Warning, "No control leader answers; the last configuration and server list stay in use." };
    inline constexpr EventDescription kNoControlLeader { 1223, "no_control_leader", Severity::Warning, "No control instance has served as the leader for a while. Repeated until one does; says whom this instance tried and what each of them answered." };
    inline constexpr EventDescription kDocumentPartRefused { 1224, "document_part_refused", Severity::Warning, "A part of a configuration document does not fit what is held of it; it is fetched again." };
    inline constexpr EventDescription kDocumentUnreadable { 1222, "document_unreadable", Severity::Error, "A committed configuration document could not be decoded; the previous one stays active." };
    inline constexpr EventDescription kForeignReplyDropped { 1225, "foreign_reply_dropped", Severity::Warning, "A server sent a reply to another request, such as a late second copy; it was dropped and the reply to this request is awaited." };
    inline constexpr EventDescription kEvacuationAnswered { 1240, "evacuation_answered", Severity::Information, "An operator's order to evacuate a data centre, or to withdraw that, was answered with this status." };
    inline constexpr EventDescription kAccountLimited { 1241, "account_limited", Severity::Information, "A client account has used up its quota; entry instances admit its requests only on credits of this leader." };
    inline constexpr EventDescription kAccountReopened { 1242, "account_reopened", Severity::Information, "A client account is within its quota again; entry instances admit its requests without waiting for credits." };
    inline constexpr EventDescription kSettingsReloaded { 1230, "settings_reloaded", Severity::Information, "The settings file was reloaded; what can be changed while the process runs is in use from now on." };
    inline constexpr EventDescription kSettingsRefused { 1231, "settings_refused", Severity::Error, "The reloaded settings file has errors; the previous settings stay in use." };

    inline constexpr EventDescription kSettingNeedsRestart { 1232, "setting_needs_restart", Severity::Warning, "The reloaded settings file changes a setting that is only read at the start; the previous value stays in use." };

} // namespace events

inline constexpr std::array kFeedEvents {
    &events::kDocumentAnswered,
    &events::kDocumentRead,
    &events::kMembersProposed,
    &events::kMembersRefused,
    &events::kJoinRequested,
    &events::kLeaveRequested,
    &events::kLeaveEnded,
    &events::kServerListLost,
    &events::kServerListRegained,
    &events::kServerListUnreadable,
    &events::kServerListChanged,
    &events::kServerListOutdated,
    &events::kRequestReleased,
    &events::kServerListWithoutLeader,
    &events::kFeedRegained,
    &events::kFeedLost,
    &events::kNoControlLeader,
    &events::kDocumentPartRefused,
    &events::kDocumentUnreadable,
    &events::kForeignReplyDropped,
    &events::kEvacuationAnswered,
    &events::kSettingsReloaded,
    &events::kSettingsRefused,
    &events::kServerListMoved,
    &events::kSettingNeedsRestart,
    &events::kAccountLimited,
    &events::kAccountReopened,
};

} // namespace curranttrail
