#include "core/request_fingerprint.h"

#include <fmt/format.h>
#include <openssl/core_names.h>
#include <openssl/evp.h>

#include <algorithm>
#include <charconv>
#include <memory>
#include <stdexcept>

namespace curranttrail {

std::string RequestFingerprint::text() const
{
    return fmt::format("{:02x}", fmt::join(bytes, ""));
}

std::optional<RequestFingerprint> parseFingerprint(std::string_view text)
{
    RequestFingerprint fingerprint;
    if (text.size() != fingerprint.bytes.size() * 2)
        return std::nullopt;
    for (std::size_t n = 0; n < fingerprint.bytes.size(); ++n) {
        const char* digits = text.data() + n * 2;
        const auto [end, ec] = std::from_chars(digits, digits + 2, fingerprint.bytes[n], 16);
        if (ec != std::errc {} || end != digits + 2)
            return std::nullopt;
    }
    return fingerprint;
}

RequestHasher::RequestHasher(std::string_view key)
{
    if (key.size() < kKeyBytes)
        throw std::runtime_error("the key of the request fingerprints is too short");
    std::copy_n(key.begin(), kKeyBytes, m_key.begin());
}

RequestFingerprint RequestHasher::fingerprint(std::initializer_list<std::string_view> parts) const
{
    static const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac(EVP_MAC_fetch(nullptr, "SIPHASH", nullptr), &EVP_MAC_free);
    const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_new(mac.get()), &EVP_MAC_CTX_free);
    RequestFingerprint result;
    std::size_t size = result.bytes.size();
    const std::array<OSSL_PARAM, 2> parameters { OSSL_PARAM_construct_size_t(OSSL_MAC_PARAM_SIZE, &size), OSSL_PARAM_construct_end() };
    bool ok = context && EVP_MAC_init(context.get(), m_key.data(), m_key.size(), parameters.data()) == 1;
    for (const std::string_view part : parts) {
        const std::uint64_t length = part.size();
        ok = ok && EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(&length), sizeof length) == 1
            && EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(part.data()), part.size()) == 1;
    }
    std::size_t written = 0;
    if (!ok || EVP_MAC_final(context.get(), result.bytes.data(), &written, result.bytes.size()) != 1 || written != result.bytes.size())
        throw std::runtime_error("SipHash is not available");
    return result;
}

} // namespace curranttrail
