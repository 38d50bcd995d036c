#pragma once

#include "policy/account_quota.h"

#include <optional>
#include <string>
#include <string_view>

// Encoding of the messages by which entry instances get credits of client accounts' quotas from the control leader.
namespace curranttrail::control {

std::string encodeQuotaReport(const policy::QuotaReport& message);
std::optional<policy::QuotaReport> decodeQuotaReport(std::string_view bytes);
std::string encodeQuotaReply(const policy::QuotaReply& message);
std::optional<policy::QuotaReply> decodeQuotaReply(std::string_view bytes);

} // namespace curranttrail::control
