#pragma once

#include "core/enum_names.h"
#include "membership/messages.h"
#include "membership/replay_window.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>
#include <variant>

namespace curranttrail::membership {

// A datagram must fit into an Ethernet frame with room for tunnel headers, so that it is never fragmented.
inline constexpr std::size_t kMaximumDatagramBytes = 1'200;
inline constexpr std::uint8_t kProtocolVersion = 2;

inline constexpr std::size_t kMaximumNameBytes = 64;
inline constexpr std::size_t kMaximumOwnerBytes = 32;
inline constexpr std::size_t kMaximumAddressBytes = 48;
inline constexpr std::size_t kMaximumVersions = 8;
inline constexpr std::size_t kMaximumRecords = 16;
inline constexpr std::size_t kMaximumVersionAnnouncements = 4;
inline constexpr std::size_t kMaximumLeavingServers = 8;
inline constexpr std::size_t kMaximumEnds = 3;

// Reason for dropping a datagram. The numbers are stable and appear in logs and metrics.
enum class DropReason : std::uint8_t {
    TooShort = 1,
    TooLong = 2,
    WrongVersion = 3,
    NotAuthentic = 4,
    Malformed = 5,
    Replayed = 6,
    OwnName = 7,
};

inline constexpr std::array<EnumName<DropReason>, 7> kDropReasonNames { {
    { DropReason::TooShort, "too_short" },
    { DropReason::TooLong, "too_long" },
    { DropReason::WrongVersion, "wrong_version" },
    { DropReason::NotAuthentic, "not_authentic" },
    { DropReason::Malformed, "malformed" },
    { DropReason::Replayed, "replayed" },
    { DropReason::OwnName, "own_name" },
} };

// An accepted datagram. The driver adds the source address.
struct DecodedDatagram {
    InstanceName sender;
    std::uint64_t senderIncarnation = 0;
    Message message;
};

using DecodeResult = std::variant<DecodedDatagram, DropReason>;

// Return the encoded size of one element of the gossip, so that a datagram can be filled without encoding it twice.
std::size_t encodedSize(const MemberRecord& record);
std::size_t encodedSize(const VersionAnnouncement& announcement);
std::size_t encodedSize(const ServerLeaving& leaving);
std::size_t encodedSize(const EndAnnouncement& announcement);
// Returns the encoded size of the envelope, the body and the versions, without records, version announcements and leaving
// servers.
std::size_t encodedBaseSize(const InstanceName& sender, const Message& message);

// Encodes, authenticates and decodes the datagrams of one instance. Holds its sequence number and the replay windows of all
// senders.
class Codec {
public:
    Codec(InstanceName self, std::string clusterKey);

    // Returns an empty string if the message exceeds its bounds. The reducer never makes such a message.
    std::string encode(const Message& message, std::uint64_t incarnation);
    DecodeResult decode(std::string_view datagram);

    // Returns the number of datagrams dropped for the given reason since the start.
    std::uint64_t dropped(DropReason reason) const { return m_dropped.at(static_cast<std::size_t>(reason)); }

private:
    DecodeResult drop(DropReason reason);

    InstanceName m_self;
    std::string m_key;
    std::uint64_t m_sequence = 0;
    ReplayWindow m_window;
    std::array<std::uint64_t, 8> m_dropped {};
};

// Returns the HMAC-SHA256 of the bytes.
std::string authenticationCode(const std::string& key, std::string_view bytes);

} // namespace curranttrail::membership
