#pragma once

#include "core/event_log.h"

#include <array>

// Events 3000 to 3999: replication of the control state.
namespace curranttrail::control {

inline constexpr EventDescription kReplicaStarted { 3000, "replica_started", Severity::Information, "A control replica started with the state read from its disk." };
inline constexpr EventDescription kBecameLeader { 3001, "became_leader", Severity::Information, "This replica won an election." };
inline constexpr EventDescription kSteppedDown { 3002, "stepped_down", Severity::Warning, "This replica stopped being the leader; proposed commands that were not committed have an unknown outcome." };
inline constexpr EventDescription kLeaseGained { 3003, "lease_gained", Severity::Information, "The leader holds a valid lease and accepts changes." };
inline constexpr EventDescription kLeaseLost { 3004, "lease_lost", Severity::Warning, "The leader lost its lease and refuses changes; they are not run." };
inline constexpr EventDescription kElectionStarted { 3005, "election_started", Severity::Information, "This replica started an election and requests votes." };
inline constexpr EventDescription kVoteGranted { 3006, "vote_granted", Severity::Information, "This replica granted its vote to a candidate." };
inline constexpr EventDescription kMembersChanged { 3007, "members_changed", Severity::Information, "The members of the control group changed." };
inline constexpr EventDescription kRepairStarted { 3010, "repair_started", Severity::Warning, "The disk was empty or lost acknowledged entries; this replica neither votes nor counts towards a quorum until its repair completes." };
inline constexpr EventDescription kRepairCompleted { 3011, "repair_completed", Severity::Information, "This replica holds the committed log again and may vote." };
inline constexpr EventDescription kPeerRepairing { 3012, "peer_repairing", Severity::Warning, "A replica reports that it is repairing its log; it does not count towards a quorum." };
inline constexpr EventDescription kPeerRepaired { 3013, "peer_repaired", Severity::Information, "A replica completed its repair and counts towards a quorum again." };
inline constexpr EventDescription kPeerRegressed { 3014, "peer_regressed", Severity::Error, "A replica lacks entries that it acknowledged, for example after its disk was restored from an older copy; it is told to start a repair." };
inline constexpr EventDescription kStorageFailed { 3015, "storage_failed", Severity::Error, "The journal cannot be written; changes are refused." };
inline constexpr EventDescription kStorageRestored { 3016, "storage_restored", Severity::Information, "The journal can be written again." };
inline constexpr EventDescription kSnapshotTaken { 3017, "snapshot_taken", Severity::Information, "The log was compacted into a snapshot." };
inline constexpr EventDescription kSnapshotInstalled { 3018, "snapshot_installed", Severity::Information, "The state was replaced by a snapshot from the leader." };
inline constexpr EventDescription kProtocolViolation { 3019, "protocol_violation", Severity::Error, "A message conflicts with the committed log or the current term and was ignored." };
inline constexpr EventDescription kChangeAccepted { 3020, "change_accepted", Severity::Information, "A change to the configuration of a class was committed." };
inline constexpr EventDescription kDocumentAccepted { 3021, "document_accepted", Severity::Information, "A configuration document of a higher version was committed." };

inline constexpr EventDescription kNoLeader { 3022, "no_leader", Severity::Warning, "This replica has known no leader for a while. Repeated until there is one; says what this replica holds, whom it counts, and what became of its last request for votes." };

inline constexpr EventDescription kEvacuationsAccepted { 3023, "evacuations_accepted", Severity::Information, "An order to evacuate a data centre, or to withdraw that, was committed; the fields name the data centres that are evacuated now and were before." };

inline constexpr std::array<const EventDescription*, 22> kControlEvents {
    &kReplicaStarted, &kBecameLeader, &kSteppedDown, &kLeaseGained, &kLeaseLost, &kElectionStarted, &kVoteGranted, &kMembersChanged,
    &kRepairStarted, &kRepairCompleted, &kPeerRepairing, &kPeerRepaired, &kPeerRegressed, &kStorageFailed, &kStorageRestored,
    &kSnapshotTaken, &kSnapshotInstalled, &kProtocolViolation, &kChangeAccepted, &kDocumentAccepted,
    &kNoLeader, &kEvacuationsAccepted
};

} // namespace curranttrail::control
