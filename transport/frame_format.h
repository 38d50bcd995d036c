#pragma once

#include <array>
#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace curranttrail::transport {

// Version of the frame protocol. Both peers must use the same version.
inline constexpr std::uint16_t kFrameProtocolVersion = 1;

inline constexpr std::size_t kNonceBytes = 32;
inline constexpr std::size_t kHmacBytes = 32;
inline constexpr std::size_t kMaximumNameBytes = 128;

enum class FrameKind : std::uint8_t {
    Request = 1,
    Reply = 2,
    OneWay = 3,
    Ping = 4,
    Pong = 5,
};

// Header that precedes the body of each frame. Wire layout, little-endian, sizes in bytes:
// body length 4, kind 1, type 2, correlation 8, stamp 8; then the body, then the HMAC of 32 bytes.
struct FrameHeader {
    std::uint32_t bodyLength = 0;
    FrameKind kind = FrameKind::Ping;
    std::uint16_t type = 0;
    std::uint64_t correlation = 0;
    std::uint64_t stamp = 0;
};

inline constexpr std::size_t kHeaderBytes = 23;

std::string encodeHeader(const FrameHeader& header);
// Returns nothing if the size is wrong or the kind is unknown.
std::optional<FrameHeader> decodeHeader(std::string_view bytes);

// First message of each peer. Layout, sizes in bytes: magic 4, version 2, nonce 32, name length 1, name.
struct Hello {
    std::uint16_t version = kFrameProtocolVersion;
    std::string nonce;
    std::string name;
};

// Size of the fixed part of a Hello. Its last byte is the name length.
inline constexpr std::size_t kHelloFixedBytes = 4 + 2 + kNonceBytes + 1;

std::string encodeHello(const Hello& hello);
// Decodes the fixed part of a Hello and leaves the name empty. Returns nothing if the magic or the name length is invalid.
std::optional<Hello> decodeHelloStart(std::string_view bytes);
std::size_t helloNameLength(std::string_view bytes);

// Returns 32 bytes from the system's cryptographic random number generator.
std::string makeNonce();

// Returns the HMAC-SHA256 of the data.
std::string hmac(std::string_view key, std::string_view data);
// Returns true if the values are equal. Takes constant time for values of equal size.
bool equalInConstantTime(std::string_view a, std::string_view b);

// Keys and handshake proofs of one connection, derived from the cluster key and both Hello messages.
struct LinkKeys {
    std::string clientProof;
    std::string serverProof;
    std::string clientToServer;
    std::string serverToClient;
};

LinkKeys deriveKeys(std::string_view clusterKey, const Hello& client, const Hello& server);

// Computes the HMACs that authenticate the frames of one direction of a connection.
class FrameAuthenticator {
public:
    explicit FrameAuthenticator(std::string key)
        : m_key(std::move(key))
    {
    }

    // Returns the HMAC of the next frame and increments the implicit sequence number.
    std::string nextTag(std::string_view header, std::string_view body);

private:
    std::string m_key;
    std::uint64_t m_sequence = 0;
};

} // namespace curranttrail::transport
