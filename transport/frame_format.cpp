#include "transport/frame_format.h"

#include "transport/frame_link.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>
#include <openssl/hmac.h>
#include <openssl/rand.h>

#include <fstream>
#include <iterator>
#include <stdexcept>

namespace curranttrail::transport {

namespace {

    constexpr std::string_view kMagic = "CTFL";
    constexpr std::size_t kMinimumKeyBytes = 32;

    void putNumber(std::string& out, std::uint64_t value, std::size_t bytes)
    {
        for (std::size_t i = 0; i < bytes; ++i)
            out.push_back(static_cast<char>(value >> (8 * i)));
    }

    std::uint64_t takeNumber(std::string_view& in, std::size_t bytes)
    {
        std::uint64_t value = 0;
        for (std::size_t i = 0; i < bytes; ++i)
            value |= static_cast<std::uint64_t>(static_cast<unsigned char>(in[i])) << (8 * i);
        in.remove_prefix(bytes);
        return value;
    }

} // namespace

std::string encodeHeader(const FrameHeader& header)
{
    std::string out;
    out.reserve(kHeaderBytes);
    putNumber(out, header.bodyLength, 4);
    putNumber(out, static_cast<std::uint8_t>(header.kind), 1);
    putNumber(out, header.type, 2);
    putNumber(out, header.correlation, 8);
    putNumber(out, header.stamp, 8);
    return out;
}

std::optional<FrameHeader> decodeHeader(std::string_view bytes)
{
    if (bytes.size() != kHeaderBytes)
        return std::nullopt;
    FrameHeader header;
    header.bodyLength = static_cast<std::uint32_t>(takeNumber(bytes, 4));
    const std::uint64_t kind = takeNumber(bytes, 1);
    if (kind < static_cast<std::uint8_t>(FrameKind::Request) || kind > static_cast<std::uint8_t>(FrameKind::Pong))
        return std::nullopt;
    header.kind = static_cast<FrameKind>(kind);
    header.type = static_cast<std::uint16_t>(takeNumber(bytes, 2));
    header.correlation = takeNumber(bytes, 8);
    header.stamp = takeNumber(bytes, 8);
    return header;
}

std::string encodeHello(const Hello& hello)
{
    std::string out { kMagic };
    putNumber(out, hello.version, 2);
    out += hello.nonce;
    putNumber(out, hello.name.size(), 1);
    out += hello.name;
    return out;
}

std::optional<Hello> decodeHelloStart(std::string_view bytes)
{
    if (bytes.size() != kHelloFixedBytes || !bytes.starts_with(kMagic) || helloNameLength(bytes) > kMaximumNameBytes)
        return std::nullopt;
    bytes.remove_prefix(kMagic.size());
    Hello hello;
    hello.version = static_cast<std::uint16_t>(takeNumber(bytes, 2));
    hello.nonce = bytes.substr(0, kNonceBytes);
    return hello;
}

std::size_t helloNameLength(std::string_view bytes)
{
    return static_cast<unsigned char>(bytes[kHelloFixedBytes - 1]);
}

std::string makeNonce()
{
    std::string nonce(kNonceBytes, '\0');
    if (RAND_bytes(reinterpret_cast<unsigned char*>(nonce.data()), static_cast<int>(nonce.size())) != 1)
        throw std::runtime_error("the system's random number generator failed");
    return nonce;
}

std::string hmac(std::string_view key, std::string_view data)
{
    std::string out(kHmacBytes, '\0');
    unsigned int length = 0;
    const unsigned char* result = HMAC(EVP_sha256(), key.data(), static_cast<int>(key.size()),
        reinterpret_cast<const unsigned char*>(data.data()), data.size(), reinterpret_cast<unsigned char*>(out.data()), &length);
    if (!result || length != kHmacBytes)
        throw std::runtime_error("HMAC-SHA256 failed");
    return out;
}

bool equalInConstantTime(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
}

LinkKeys deriveKeys(std::string_view clusterKey, const Hello& client, const Hello& server)
{
    // The keys depend on both complete Hello messages, so that versions and names cannot be changed in transit.
    const std::string transcript = encodeHello(client) + encodeHello(server);
    LinkKeys keys;
    keys.clientProof = hmac(clusterKey, "client proof" + transcript);
    keys.serverProof = hmac(clusterKey, "server proof" + transcript);
    keys.clientToServer = hmac(clusterKey, "client to server" + transcript);
    keys.serverToClient = hmac(clusterKey, "server to client" + transcript);
    return keys;
}

std::string FrameAuthenticator::nextTag(std::string_view header, std::string_view body)
{
    std::string data;
    data.reserve(8 + header.size() + body.size());
    putNumber(data, m_sequence++, 8);
    data += header;
    data += body;
    return hmac(m_key, data);
}

std::string readClusterKey(const std::string& path)
{
    std::ifstream file(path, std::ios::binary);
    if (!file)
        throw std::runtime_error(fmt::format("cluster key file {} cannot be read", path));
    std::string key { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    constexpr std::string_view space = " \t\r\n";
    key.erase(0, std::min(key.find_first_not_of(space), key.size()));
    key.erase(key.find_last_not_of(space) + 1);
    if (key.size() < kMinimumKeyBytes)
        throw std::runtime_error(fmt::format("cluster key file {} holds fewer than {} bytes", path, kMinimumKeyBytes));
    return key;
}

} // namespace curranttrail::transport
