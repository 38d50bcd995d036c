#include "main/operator_accounts.h"

#include <fmt/format.h>
#include <openssl/crypto.h>
#include <openssl/sha.h>

#include <array>

namespace curranttrail {

namespace {

    std::string digestOf(std::string_view token)
    {
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(token.data()), token.size(), digest.data());
        return fmt::format("{:02x}", fmt::join(digest, ""));
    }

} // namespace

const OperatorAccount* OperatorAccounts::find(std::optional<std::string_view> authorization) const
{
    constexpr std::string_view scheme = "Bearer ";
    if (!authorization || !authorization->starts_with(scheme))
        return nullptr;
    const std::string digest = digestOf(authorization->substr(scheme.size()));
    const OperatorAccount* found = nullptr;
    // All accounts are compared in constant time, so that the response time does not reveal how much of a token is correct.
    for (const OperatorAccount& account : m_accounts) {
        if (account.tokenDigest.size() == digest.size() && CRYPTO_memcmp(account.tokenDigest.data(), digest.data(), digest.size()) == 0)
            found = &account;
    }
    return found;
}

} // namespace curranttrail
