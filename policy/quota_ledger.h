#pragma once

#include "core/units.h"
#include "policy/account_quota.h"

#include <cstdint>
#include <deque>
#include <map>
#include <set>
#include <vector>

namespace curranttrail::policy {

// Totals since the start, exported as metrics.
struct QuotaLedgerCounters {
    std::uint64_t reports = 0;
    std::uint64_t granted = 0;
    // Credits that were wanted and not granted.
    std::uint64_t denied = 0;
    // Expired credits that entry instances returned.
    std::uint64_t returned = 0;
    std::uint64_t overdrawn = 0;
};

// The control leader's side of the quotas of client accounts: a token bucket for each account, from which entry instances get credits.
// Credits that are granted and neither used nor returned count against the bucket's growth, so that in any window at most the rate times
// (the window + kCreditLifetime) and the burst are granted, besides what instances overdraw before they hear that the bucket is empty.
class QuotaLedger {
public:
    // An instance must not use a credit later than this after it sent the report that asked for it.
    static constexpr Micros kCreditLifetime { 1'000'000 };

    // Sets the quotas in force. A lower quota cuts the bucket at once; the bucket of a new account is empty.
    void configure(const AccountQuotas& quotas, TimePoint now);
    // Empties all buckets, because another leader may have granted what they held.
    void beginTerm(TimePoint now);

    QuotaReply handle(const QuotaReport& report, TimePoint now);
    // Reopens accounts whose buckets have recovered and forgets instances that no longer report.
    void update(TimePoint now);

    bool hasQuotas() const { return !m_accounts.empty(); }
    const std::set<AccountId>& limited() const { return m_limited; }
    // Counts how often an account reached its limit or was reopened.
    std::uint64_t limitRevision() const { return m_limitRevision; }
    const QuotaLedgerCounters& counters() const { return m_counters; }

private:
    // Credits of one grant that are neither used nor returned as far as is known.
    struct Grant {
        std::uint64_t processStart = 0;
        double credits = 0;
        TimePoint at;
    };

    struct Account {
        AccountQuota quota;
        // Negative if more was overdrawn than the bucket held.
        double level = 0;
        TimePoint refilledAt;
        std::deque<Grant> outstanding;
        double outstandingCredits = 0;
    };

    // The totals in the last report of an entry instance.
    struct Totals {
        std::uint64_t used = 0;
        std::uint64_t expired = 0;
        std::uint64_t overdrawn = 0;
    };

    struct Reporter {
        std::uint64_t lastNumber = 0;
        TimePoint lastReport;
        std::map<AccountId, Totals> totals;
    };

    static double capacityOf(const Account& account);
    static void refill(Account& account, TimePoint now);
    static double settle(Account& account, std::uint64_t processStart, double credits);
    void takeTotals(Account& account, Reporter& reporter, const QuotaReport& report, const QuotaReport::Account& entry);
    std::uint32_t grant(Account& account, std::uint64_t processStart, std::uint32_t wanted, TimePoint now);
    void updateLimited(AccountId id, const Account& account);

    std::map<AccountId, Account> m_accounts;
    std::map<std::uint64_t, Reporter> m_reporters;
    std::set<AccountId> m_limited;
    std::uint64_t m_limitRevision = 0;
    QuotaLedgerCounters m_counters;
};

} // namespace curranttrail::policy
