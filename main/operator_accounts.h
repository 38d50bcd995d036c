#pragma once

#include "main/control_settings.h"

#include <optional>
#include <string_view>
#include <vector>

namespace curranttrail {

// Authenticates operators and callers by their bearer tokens.
class OperatorAccounts {
public:
    explicit OperatorAccounts(std::vector<OperatorAccount> accounts)
        : m_accounts(std::move(accounts))
    {
    }

    // Returns the account whose token the value of an Authorization field carries, or null.
    const OperatorAccount* find(std::optional<std::string_view> authorization) const;

private:
    std::vector<OperatorAccount> m_accounts;
};

} // namespace curranttrail
