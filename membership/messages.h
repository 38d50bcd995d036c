#pragma once

#include "core/enum_names.h"
#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"

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

// What the failure detector holds of an instance.
enum class Health {
    Joining,
    Alive,
    Suspect,
    Dead,
};

// State of a member as shown to operators. A member that announced that it leaves is never shown as suspect or dead.
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

// What instances tell each other about one instance. Records of one instance are ordered by incarnation, revision and health.
struct MemberRecord {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    InstanceKind kind = InstanceKind::Entry;
    // Numeric address and port, for UDP and TCP alike.
    std::string address;
    // Higher for every start of the process.
    std::uint64_t incarnation = 0;
    // Raised by the instance itself, and by nobody else, with every change and refutation.
    std::uint32_t revision = 0;
    Health health = Health::Joining;
    bool leaving = false;
    // The instance whose probe failed; only with Suspect.
    InstanceName accuser;
    // Time since the death was declared, so that all instances forget a dead member at about the same time.
    std::uint32_t deadSeconds = 0;
};

MemberState stateOf(const MemberRecord& record);

// The configuration version that the sender holds of one owner.
struct OwnerVersion {
    OwnerName owner;
    std::uint64_t version = 0;
};

// A version that a third instance holds.
struct VersionAnnouncement {
    OwnerName owner;
    std::uint64_t version = 0;
    InstanceName holder;
    std::string address;
};

struct ServerLeaving {
    std::string server;
    std::uint32_t ageMillis = 0;
};

// GossipMessage that every message carries, as far as there is room.
struct Gossip {
    std::vector<OwnerVersion> versions;
    std::vector<MemberRecord> records;
    std::vector<VersionAnnouncement> versionAnnouncements;
    std::vector<ServerLeaving> leaving;
};

// An empty target addresses whoever listens on the address, as with seeds.
struct Ping {
    std::uint64_t probe = 0;
    InstanceName target;
};

// Answer to a ping or, relayed by a helper, to a ping request.
struct Ack {
    std::uint64_t probe = 0;
};

// A helper reports that its own ping was not answered, which shows that the helper and the path to it work.
struct Nack {
    std::uint64_t probe = 0;
};

struct PingRequest {
    std::uint64_t probe = 0;
    InstanceName target;
    std::string address;
};

// Carries gossip only.
struct GossipMessage { };

// Records of the sender with names in (after, upTo]; an empty upTo means to the end. The reply holds what differs.
// With pull set the request carries no records, and the reply holds the next ones after "after".
struct SyncRequest {
    InstanceName after;
    InstanceName upTo;
    bool pull = false;
};

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

// The platform's list of live instances, whole.
struct PlatformListChanged {
    std::vector<InstanceName> instances;
};

// The configuration versions that this instance holds.
struct LocalVersionsChanged {
    std::vector<OwnerVersion> versions;
};

struct AnnounceServerLeaving {
    std::string server;
};

// This instance is stopping gracefully. The driver keeps the reducer running until the drain is complete.
struct LeaveRequested { };

struct Tick { };

using Event = std::variant<DatagramReceived, PlatformListChanged, LocalVersionsChanged, AnnounceServerLeaving, LeaveRequested, Tick>;

// ---- Effects ----

struct SendDatagram {
    std::string address;
    Message message;
    // For the envelope; it changes only if a peer knows this instance under a higher incarnation.
    std::uint64_t senderIncarnation = 0;
};

// A member was added or changed its state, incarnation or address.
struct MemberChanged {
    MemberRecord record;
    MemberState state = MemberState::Joining;
};

// Fetch the configuration of the owner from the holder, then report LocalVersionsChanged.
// Repeated with the next holder seen while the local version stays lower.
struct HigherVersionSeen {
    OwnerName owner;
    std::uint64_t version = 0;
    InstanceName holder;
    std::string address;
};

struct ServerLeavingSeen {
    std::string server;
};

using Effect = std::variant<SendDatagram, MemberChanged, HigherVersionSeen, ServerLeavingSeen, LogEvent>;

} // namespace curranttrail::membership
