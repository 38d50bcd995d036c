#pragma once

#include "core/ids.h"

#include <cstdint>
#include <map>
#include <string_view>
#include <vector>

namespace curranttrail::policy {

// A client account in messages between instances: a hash of its name, so that it does not depend on a version of the document.
using AccountId = StrongId<struct AccountTag>;
AccountId accountIdOf(std::string_view name);

// Requests that an account may send through all entry instances together.
struct AccountQuota {
    double requestsPerSecond = 0;
    double burst = 0;

    bool operator==(const AccountQuota&) const = default;
};

using AccountQuotas = std::map<AccountId, AccountQuota>;

// Sent by an entry instance to the control leader. The counters are totals since the start of the process, so that a report that
// arrives twice or after a later one changes nothing.
struct QuotaReport {
    struct Account {
        AccountId account;
        // Credits that the instance expects to need until the next report.
        std::uint32_t wanted = 0;
        // Credits that were used, and those that expired unused.
        std::uint64_t used = 0;
        std::uint64_t expired = 0;
        // Requests that were admitted without a credit, and how many of them a leader has covered.
        std::uint64_t overdrawn = 0;
        std::uint64_t covered = 0;
    };

    // Random number of the process's start.
    std::uint64_t processStart = 0;
    // Increases with each report of the process.
    std::uint64_t number = 0;
    std::vector<Account> accounts;
};

struct QuotaReply {
    struct Grant {
        AccountId account;
        std::uint32_t credits = 0;
    };

    // Number of the report.
    std::uint64_t number = 0;
    std::vector<Grant> grants;
    // All accounts that are at their limit: they get no request admitted without a credit.
    std::vector<AccountId> limited;
};

} // namespace curranttrail::policy
