#include "usage/keys.h"

#include <fmt/format.h>
#include <openssl/bio.h>
#include <openssl/evp.h>
#include <openssl/pem.h>

#include <stdexcept>
#include <utility>

namespace curranttrail::usage {

namespace {

    using KeyPointer = std::shared_ptr<EVP_PKEY>;
    using BioPointer = std::unique_ptr<BIO, decltype(&BIO_free)>;
    using ContextPointer = std::unique_ptr<EVP_MD_CTX, decltype(&EVP_MD_CTX_free)>;

    KeyPointer wrapKey(EVP_PKEY* key)
    {
        return { key, &EVP_PKEY_free };
    }

    BioPointer readBio(std::string_view text)
    {
        return { BIO_new_mem_buf(text.data(), static_cast<int>(text.size())), &BIO_free };
    }

    std::string bioContent(BIO* bio)
    {
        char* data = nullptr;
        const long size = BIO_get_mem_data(bio, &data);
        return { data, static_cast<std::size_t>(size) };
    }

    bool isEd25519(const KeyPointer& key)
    {
        return key && EVP_PKEY_get_id(key.get()) == EVP_PKEY_ED25519;
    }

    const unsigned char* asBytes(std::string_view text)
    {
        return reinterpret_cast<const unsigned char*>(text.data());
    }

} // namespace

PublicKey::PublicKey(std::shared_ptr<evp_pkey_st> key)
    : m_key(std::move(key))
{
}

std::optional<PublicKey> PublicKey::fromPem(std::string_view pem)
{
    const BioPointer bio = readBio(pem);
    KeyPointer key = wrapKey(PEM_read_bio_PUBKEY(bio.get(), nullptr, nullptr, nullptr));
    if (!isEd25519(key))
        return std::nullopt;
    return PublicKey(std::move(key));
}

std::string PublicKey::toPem() const
{
    const BioPointer bio { BIO_new(BIO_s_mem()), &BIO_free };
    PEM_write_bio_PUBKEY(bio.get(), m_key.get());
    return bioContent(bio.get());
}

bool PublicKey::verify(std::string_view message, const Signature& signature) const
{
    const ContextPointer context { EVP_MD_CTX_new(), &EVP_MD_CTX_free };
    return EVP_DigestVerifyInit(context.get(), nullptr, nullptr, nullptr, m_key.get()) == 1
        && EVP_DigestVerify(context.get(), signature.data(), signature.size(), asBytes(message), message.size()) == 1;
}

PrivateKey::PrivateKey(std::shared_ptr<evp_pkey_st> key)
    : m_key(std::move(key))
{
}

PrivateKey PrivateKey::generate()
{
    KeyPointer key = wrapKey(EVP_PKEY_Q_keygen(nullptr, nullptr, "ED25519"));
    if (!key)
        throw std::runtime_error("Ed25519 is not available");
    return PrivateKey(std::move(key));
}

PrivateKey PrivateKey::fromSeed(const std::array<std::uint8_t, 32>& seed)
{
    KeyPointer key = wrapKey(EVP_PKEY_new_raw_private_key(EVP_PKEY_ED25519, nullptr, seed.data(), seed.size()));
    if (!key)
        throw std::runtime_error("Ed25519 is not available");
    return PrivateKey(std::move(key));
}

std::optional<PrivateKey> PrivateKey::fromPem(std::string_view pem)
{
    const BioPointer bio = readBio(pem);
    KeyPointer key = wrapKey(PEM_read_bio_PrivateKey(bio.get(), nullptr, nullptr, nullptr));
    if (!isEd25519(key))
        return std::nullopt;
    return PrivateKey(std::move(key));
}

std::string PrivateKey::toPem() const
{
    const BioPointer bio { BIO_new(BIO_s_mem()), &BIO_free };
    PEM_write_bio_PKCS8PrivateKey(bio.get(), m_key.get(), nullptr, nullptr, 0, nullptr, nullptr);
    return bioContent(bio.get());
}

PublicKey PrivateKey::publicKey() const
{
    std::array<unsigned char, 32> raw {};
    std::size_t size = raw.size();
    EVP_PKEY_get_raw_public_key(m_key.get(), raw.data(), &size);
    return PublicKey(wrapKey(EVP_PKEY_new_raw_public_key(EVP_PKEY_ED25519, nullptr, raw.data(), size)));
}

Signature PrivateKey::sign(std::string_view message) const
{
    Signature signature {};
    std::size_t size = signature.size();
    const ContextPointer context { EVP_MD_CTX_new(), &EVP_MD_CTX_free };
    const bool ok = EVP_DigestSignInit(context.get(), nullptr, nullptr, nullptr, m_key.get()) == 1
        && EVP_DigestSign(context.get(), signature.data(), &size, asBytes(message), message.size()) == 1;
    if (!ok)
        throw std::runtime_error("Ed25519 signing failed");
    return signature;
}

Hash sha256(std::string_view bytes)
{
    static const std::unique_ptr<EVP_MD, decltype(&EVP_MD_free)> digest(EVP_MD_fetch(nullptr, "SHA256", nullptr), &EVP_MD_free);
    Hash hash {};
    unsigned int size = 0;
    if (EVP_Digest(bytes.data(), bytes.size(), hash.data(), &size, digest.get(), nullptr) != 1)
        throw std::runtime_error("SHA-256 is not available");
    return hash;
}

std::string shortHex(const Hash& hash)
{
    std::string text;
    for (std::size_t n = 0; n < 8; ++n)
        text += fmt::format("{:02x}", hash.at(n));
    return text;
}

} // namespace curranttrail::usage
