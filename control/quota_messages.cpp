#include "control/quota_messages.h"

#include "control/value_encoding.h"

#include <cereal/types/vector.hpp>

namespace curranttrail::policy {

template <typename Archive>
void serialize(Archive& archive, QuotaReport::Account& entry)
{
    archive(entry.account.value, entry.wanted, entry.used, entry.expired, entry.overdrawn, entry.covered);
}

template <typename Archive>
void serialize(Archive& archive, QuotaReport& message)
{
    archive(message.processStart, message.number, message.accounts);
}

template <typename Archive>
void serialize(Archive& archive, QuotaReply::Grant& grant)
{
    archive(grant.account.value, grant.credits);
}

template <typename Archive>
void serialize(Archive& archive, QuotaReply& message)
{
    std::vector<std::uint64_t> limited;
    for (const AccountId account : message.limited)
        limited.push_back(account.value);
    archive(message.number, message.grants, limited);
    message.limited.clear();
    for (const std::uint64_t value : limited)
        message.limited.push_back({ value });
}

} // namespace curranttrail::policy

namespace curranttrail::control {

namespace {
    // Enough for ten thousand accounts.
    constexpr std::size_t kMaximumQuotaMessageBytes = 512u << 10;
}

std::string encodeQuotaReport(const policy::QuotaReport& message) { return detail::encodeValue(message); }
std::optional<policy::QuotaReport> decodeQuotaReport(std::string_view bytes) { return detail::decodeValue<policy::QuotaReport>(bytes, kMaximumQuotaMessageBytes); }
std::string encodeQuotaReply(const policy::QuotaReply& message) { return detail::encodeValue(message); }
std::optional<policy::QuotaReply> decodeQuotaReply(std::string_view bytes) { return detail::decodeValue<policy::QuotaReply>(bytes, kMaximumQuotaMessageBytes); }

} // namespace curranttrail::control
