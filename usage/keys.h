#pragma once

#include <array>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>
#include <string_view>

struct evp_pkey_st;

namespace curranttrail::usage {

using Hash = std::array<std::uint8_t, 32>;
using Signature = std::array<std::uint8_t, 64>;

// An Ed25519 public key.
class PublicKey {
public:
    // Parses a PEM block "-----BEGIN PUBLIC KEY-----". Returns nothing if it does not hold an Ed25519 key.
    static std::optional<PublicKey> fromPem(std::string_view pem);

    std::string toPem() const;
    bool verify(std::string_view message, const Signature& signature) const;

private:
    friend class PrivateKey;
    explicit PublicKey(std::shared_ptr<evp_pkey_st> key);

    std::shared_ptr<evp_pkey_st> m_key;
};

// An Ed25519 private key. Callers read and write its file and restrict access to the owning user.
class PrivateKey {
public:
    static PrivateKey generate();
    // Derives the key from the seed, for tests and benchmarks only.
    static PrivateKey fromSeed(const std::array<std::uint8_t, 32>& seed);
    static std::optional<PrivateKey> fromPem(std::string_view pem);

    std::string toPem() const;
    PublicKey publicKey() const;
    Signature sign(std::string_view message) const;

private:
    explicit PrivateKey(std::shared_ptr<evp_pkey_st> key);

    std::shared_ptr<evp_pkey_st> m_key;
};

Hash sha256(std::string_view bytes);
// Returns the first eight bytes in hexadecimal, for logs.
std::string shortHex(const Hash& hash);

} // namespace curranttrail::usage
