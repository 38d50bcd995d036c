#pragma once

#include "core/enum_names.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/units.h"
#include "policy/crash_table.h"

#include <array>
#include <cstdint>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::membership {

enum class InstanceKind {
    Entry,
    Control,
};

inline constexpr std::array<EnumName<InstanceKind>, 2> kInstanceKindNames { {
    { InstanceKind::Entry, "entry" },
    { InstanceKind::Control, "control" },
} };

// Health of an instance according to the failure detector.
enum class Health {
    Joining,
    Alive,
    Suspect,
    Dead,
};

// State of a member as shown to operators. A member that announced that it is leaving is never shown as suspect or dead.
enum class MemberState {
    Joining,
    Alive,
    Suspect,
    Leaving,
    Dead,
    Left,
};

inline constexpr std::array<EnumName<MemberState>, 6> kMemberStateNames { {
    { MemberState::Joining, "joining" },
    { MemberState::Alive, "alive" },
    { MemberState::Suspect, "suspect" },
    { MemberState::Leaving, "leaving" },
    { MemberState::Dead, "dead" },
    { MemberState::Left, "left" },
} };

// Gossiped state of one instance. Records of the same instance are ordered by incarnation, revision and health.
struct MemberRecord {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    InstanceKind kind = InstanceKind::Entry;
    // Numeric address and port, used for both UDP and TCP.
    std::string address;
    // Increases with every start of the process.
    std::uint64_t incarnation = 0;
    // Raised only by the instance itself, with every change and refutation.
    std::uint32_t revision = 0;
    Health health = Health::Joining;
    bool leaving = false;
    // Instance whose probe failed. Set only if the health is Suspect.
    InstanceName accuser;
    // Time since the member was declared dead, so that all instances evict it at about the same time.
    std::uint32_t deadSeconds = 0;
};

MemberState stateOf(const MemberRecord& record);

// Configuration version of one owner that the sender holds.
struct OwnerVersion {
    OwnerName owner;
    std::uint64_t version = 0;
};

// Announces that an instance other than the sender holds a configuration version.
struct VersionAnnouncement {
    OwnerName owner;
    std::uint64_t version = 0;
    InstanceName holder;
    std::string address;
};

// Announces that a backend server is leaving.
struct ServerLeaving {
    std::string server;
    // Time since the first instance saw it.
    std::uint32_t ageMillis = 0;
};

// Announces that a backend server ended while a request ran on it: one end of a policy::CrashRecord.
struct EndAnnouncement {
    RequestFingerprint request;
    std::string server;
    CollectionName collection;
    InstanceName reporter;
    // Times since the end and since the request last arrived after it was blocked.
    std::uint32_t ageMillis = 0;
    std::uint32_t arrivalAgeMillis = 0;
    bool answeredSince = false;
    bool collectionAnsweredSince = false;
};

// Gossip that is piggybacked on every message, as far as it fits.
struct Gossip {
    std::vector<OwnerVersion> versions;
    std::vector<MemberRecord> records;
    std::vector<VersionAnnouncement> versionAnnouncements;
    std::vector<ServerLeaving> leaving;
    std::vector<EndAnnouncement> ends;
};

// An empty target means any instance at the address, as used for seeds.
struct Ping {
    std::uint64_t probe = 0;
    InstanceName target;
};

// Reply to a ping or, relayed by a helper, to a ping request.
struct Ack {
    std::uint64_t probe = 0;
};

// Reports that a helper's ping was not answered, which shows that the helper and the path to it work.
struct Nack {
    std::uint64_t probe = 0;
};

// Asks a helper to ping the target (an indirect probe).
struct PingRequest {
    std::uint64_t probe = 0;
    InstanceName target;
    std::string address;
};

// Message that carries only gossip.
struct GossipMessage { };

// Carries the sender's records with names in (after, upTo], where an empty upTo means to the end. The reply contains the
// records that are newer at the receiver. With pull set the request carries no records, and the reply contains the next records
// after "after".
struct SyncRequest {
    InstanceName after;
    InstanceName upTo;
    bool pull = false;
};

// Carries records in reply to a SyncRequest. "more" is set if further records follow upTo.
struct SyncReply {
    InstanceName upTo;
    bool pull = false;
    bool more = false;
};

using MessageBody = std::variant<Ping, Ack, Nack, PingRequest, GossipMessage, SyncRequest, SyncReply>;

struct Message {
    MessageBody body;
    Gossip gossip;
};

// ---- Events ----

// A datagram that the codec accepted.
struct DatagramReceived {
    InstanceName sender;
    std::uint64_t senderIncarnation = 0;
    Message message;
    // Source address, "127.0.0.1:port".
    std::string from;
};

// The platform reported its complete list of live instances.
struct PlatformListChanged {
    std::vector<InstanceName> instances;
};

// Configuration versions that this instance holds.
struct LocalVersionsChanged {
    std::vector<OwnerVersion> versions;
};

// This instance saw that a backend server is leaving.
struct AnnounceServerLeaving {
    std::string server;
};

// What this instance knows of requests that end servers has changed.
struct CrashRecordsChanged {
    std::vector<policy::CrashRecord> records;
};

// This instance is stopping gracefully. The driver keeps the reducer running until the drain is complete.
struct LeaveRequested { };

struct Tick { };

using Event = std::variant<DatagramReceived, PlatformListChanged, LocalVersionsChanged, AnnounceServerLeaving, CrashRecordsChanged, LeaveRequested, Tick>;

// ---- Effects ----

struct SendDatagram {
    std::string address;
    Message message;
    // Incarnation for the envelope. Changes only if a peer knows this instance with a higher incarnation.
    std::uint64_t senderIncarnation = 0;
};

// A member was added or changed its state, incarnation or address.
struct MemberChanged {
    MemberRecord record;
    MemberState state = MemberState::Joining;
};

// Asks the driver to fetch the owner's configuration from the holder and then report LocalVersionsChanged. Repeated with the next
// known holder while the local version stays lower.
struct HigherVersionSeen {
    OwnerName owner;
    std::uint64_t version = 0;
    InstanceName holder;
    std::string address;
};

// Another instance announced that a backend server is leaving.
struct ServerLeavingSeen {
    std::string server;
};

// Another instance announced ends of servers under requests that were not known.
struct CrashRecordsSeen {
    std::vector<policy::CrashRecord> records;
};

using Effect = std::variant<SendDatagram, MemberChanged, HigherVersionSeen, ServerLeavingSeen, CrashRecordsSeen, LogEvent>;

} // namespace curranttrail::membership
