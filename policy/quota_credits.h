#pragma once

#include "core/enum_names.h"
#include "core/random.h"
#include "core/units.h"
#include "policy/account_quota.h"
#include "policy/server_rate_limit.h"

#include <array>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::policy {

// What a request of a limited account was admitted on.
enum class QuotaSource {
    // A credit that a leader granted.
    Credit,
    // The leader's word that the account is not at its limit. The leader deducts the request afterwards.
    Overdraft,
    // This instance's share of the quota while no leader is in touch.
    Share,
};

inline constexpr std::array<EnumName<QuotaSource>, 3> kQuotaSourceNames { {
    { QuotaSource::Credit, "credit" },
    { QuotaSource::Overdraft, "overdraft" },
    { QuotaSource::Share, "share" },
} };

// The admission of one request.
struct QuotaHold {
    AccountId account;
    QuotaSource source = QuotaSource::Credit;
    // Until then the request may be given back for another one.
    TimePoint expiresAt;
};

// Totals since the start, exported as metrics.
struct QuotaCounters {
    std::uint64_t granted = 0;
    std::array<std::uint64_t, kQuotaSourceNames.size()> used {};
    std::uint64_t givenBack = 0;
    std::uint64_t expired = 0;
    std::uint64_t refused = 0;
    std::uint64_t reports = 0;
};

// An entry instance's side of the quotas of client accounts. It admits requests on credits from the control leader, which it asks ahead
// by demand, and without a credit one request of an account until the leader has covered it, unless the leader named the account as
// limited. Without a leader it keeps to a share of the quota.
class QuotaCredits {
public:
    // The seed must differ between the starts of processes.
    explicit QuotaCredits(std::uint64_t seed)
        : m_random(seed)
        , m_processStart(m_random())
    {
    }

    // Sets the quotas in force.
    void configure(const AccountQuotas& quotas);
    void setInstances(std::uint32_t instances) { m_instances = instances; }
    bool isLimited(AccountId account) const { return m_accounts.contains(account); }

    // Admits a request of a limited account, or records its demand and returns nothing.
    std::optional<QuotaHold> tryAcquire(AccountId id, TimePoint now);
    // Takes back the admission of a request that was not run.
    void giveBack(const QuotaHold& hold, TimePoint now);
    // Returns the mean time after which the account may send another request.
    Micros timeUntilNext(AccountId id) const;

    // The leader named all accounts that are at their limit.
    void onLimited(const std::vector<AccountId>& limited, TimePoint now);
    void onReply(const QuotaReply& reply, TimePoint now);
    // There will be no reply to the last report.
    void onNoReply(TimePoint now);
    // The process did not run for a while, possibly without its clock noticing.
    void onSuspended(TimePoint now);
    // Expires credits and updates the shares.
    void update(TimePoint now);

    // Returns the report that is due, if any. No other is due until onReply() or onNoReply().
    std::optional<QuotaReport> nextReport(TimePoint now);
    // Returns the time at which a report may be due, or TimePoint::max() if an event comes first.
    TimePoint nextReportAt() const;

    bool hasLeader(TimePoint now) const;
    const QuotaCounters& counters() const { return m_counters; }

private:
    struct Credits {
        std::uint32_t count = 0;
        TimePoint expiresAt;
    };

    struct Account {
        AccountQuota quota;
        // The next to expire first.
        std::deque<Credits> credits;
        // Weight of the recent requests, which decays exponentially.
        double demand = 0;
        TimePoint demandAt;
        TimePoint lastRefusal = TimePoint::min();
        std::uint64_t used = 0;
        std::uint64_t expired = 0;
        std::uint64_t overdrawn = 0;
        std::uint64_t covered = 0;
        // The overdrafts in the report that awaits its reply.
        std::uint64_t reported = 0;
        // Exists while no leader is in touch.
        std::optional<ServerRateLimit> share;
        TimePoint nextReportAt = TimePoint::max();
    };

    struct SentReport {
        std::uint64_t number = 0;
        TimePoint at;
    };

    std::uint32_t allowedOverdrafts(const Account& account) const;
    void recordDemand(Account& account, TimePoint now) const;
    double demandOf(const Account& account, TimePoint now) const;
    std::uint32_t wantedCredits(AccountId id, const Account& account, TimePoint now) const;
    void expireCredits(Account& account, TimePoint now);
    void addCredits(Account& account, Credits added);
    void reportAt(Account& account, TimePoint at);
    bool tryShare(Account& account, TimePoint now);

    Random m_random;
    const std::uint64_t m_processStart;
    std::map<AccountId, Account> m_accounts;
    std::set<AccountId> m_limited;
    std::uint32_t m_instances = 1;
    // Time of the last word of a leader that knows quotas.
    std::optional<TimePoint> m_leaderAt;
    std::optional<SentReport> m_sent;
    std::uint64_t m_lastNumber = 0;
    // Not later than that of any account.
    TimePoint m_nextReportAt = TimePoint::max();
    TimePoint m_lastReportAt;
    QuotaCounters m_counters;
};

} // namespace curranttrail::policy
