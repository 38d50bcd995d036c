#include "policy/quota_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // An account is limited once this many requests more were overdrawn than its bucket held. Without it an account that is well within
    // its quota would be limited after each change of leader, because buckets are empty then.
    constexpr double kToleratedOverdraft = 4;
    // What a bucket gains before its account is no longer limited: the requests of this time, and at least one. A longer time would let
    // requests through in bursts, and refuse the ones between them that are within the quota.
    constexpr double kReopeningSeconds = 0.1;
    // One report gets at most this part of a bucket beyond one credit, so that others find some left.
    constexpr double kMaximumGrantPart = 0.25;
    // Credits of which nothing was heard for this time count as used and no longer restrict the bucket.
    constexpr Micros kOutstandingTime { 1'500'000 };
    constexpr Micros kReporterTimeout { 10'000'000 };

    double seconds(Micros duration)
    {
        return std::chrono::duration<double>(duration).count();
    }

    // Returns how far a total has increased, and stores it.
    double advance(std::uint64_t& known, std::uint64_t reported)
    {
        const std::uint64_t increase = reported > known ? reported - known : 0;
        known = std::max(known, reported);
        return static_cast<double>(increase);
    }
} // namespace

double QuotaLedger::capacityOf(const Account& account)
{
    const double burst = std::max(1.0, account.quota.burst);
    return std::min(burst, burst + account.quota.requestsPerSecond * seconds(kCreditLifetime) - account.outstandingCredits);
}

void QuotaLedger::refill(Account& account, TimePoint now)
{
    while (!account.outstanding.empty() && now - account.outstanding.front().at >= kOutstandingTime) {
        account.outstandingCredits -= account.outstanding.front().credits;
        account.outstanding.pop_front();
    }
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - account.refilledAt).count());
    account.refilledAt = std::max(account.refilledAt, now);
    account.level = std::min(account.level + elapsed * account.quota.requestsPerSecond, std::max(account.level, capacityOf(account)));
}

void QuotaLedger::configure(const AccountQuotas& quotas, TimePoint now)
{
    std::erase_if(m_accounts, [&](const auto& entry) { return !quotas.contains(entry.first); });
    std::erase_if(m_limited, [&](AccountId id) { return !quotas.contains(id); });
    for (const auto& [id, quota] : quotas) {
        Account& account = m_accounts.try_emplace(id, Account { .refilledAt = now }).first->second;
        refill(account, now);
        account.quota = quota;
        account.level = std::min(account.level, capacityOf(account));
        updateLimited(id, account);
    }
}

void QuotaLedger::beginTerm(TimePoint now)
{
    m_reporters.clear();
    m_limited.clear();
    for (auto& [id, account] : m_accounts)
        account = Account { .quota = account.quota, .refilledAt = now };
}

QuotaReply QuotaLedger::handle(const QuotaReport& report, TimePoint now)
{
    ++m_counters.reports;
    QuotaReply reply;
    reply.number = report.number;
    Reporter& reporter = m_reporters[report.processStart];
    reporter.lastReport = now;
    const bool isNew = report.number > reporter.lastNumber;
    reporter.lastNumber = std::max(reporter.lastNumber, report.number);
    for (const QuotaReport::Account& entry : report.accounts) {
        const auto it = m_accounts.find(entry.account);
        if (it == m_accounts.end())
            continue;
        Account& account = it->second;
        refill(account, now);
        takeTotals(account, reporter, report, entry);
        // The sender does not accept a reply to an earlier report.
        const std::uint32_t credits = isNew ? grant(account, report.processStart, entry.wanted, now) : 0;
        if (credits > 0)
            reply.grants.push_back({ entry.account, credits });
        updateLimited(entry.account, account);
    }
    reply.limited.assign(m_limited.begin(), m_limited.end());
    return reply;
}

// Deducts the instance's overdrafts and takes back its expired credits. Of an instance that this leader does not know, what an earlier
// leader covered is not deducted again.
void QuotaLedger::takeTotals(Account& account, Reporter& reporter, const QuotaReport& report, const QuotaReport::Account& entry)
{
    const auto [it, isUnknown] = reporter.totals.try_emplace(entry.account, Totals { entry.used, entry.expired, entry.covered });
    Totals& totals = it->second;
    settle(account, report.processStart, advance(totals.used, entry.used));
    const double returned = settle(account, report.processStart, advance(totals.expired, entry.expired));
    const double overdrawn = advance(totals.overdrawn, entry.overdrawn);
    account.level = std::min(account.level + returned, std::max(account.level, capacityOf(account))) - overdrawn;
    m_counters.returned += static_cast<std::uint64_t>(returned);
    m_counters.overdrawn += static_cast<std::uint64_t>(overdrawn);
}

// Removes credits of an instance from those outstanding, the oldest first. Returns how many there were of them.
double QuotaLedger::settle(Account& account, std::uint64_t processStart, double credits)
{
    double settled = 0;
    for (Grant& grant : account.outstanding) {
        if (grant.processStart != processStart)
            continue;
        const double part = std::min(grant.credits, credits - settled);
        grant.credits -= part;
        settled += part;
    }
    account.outstandingCredits -= settled;
    return settled;
}

std::uint32_t QuotaLedger::grant(Account& account, std::uint64_t processStart, std::uint32_t wanted, TimePoint now)
{
    const double available = std::max(0.0, std::floor(account.level + 1e-9));
    const double offered = std::min(available, std::max(1.0, std::floor(available * kMaximumGrantPart)));
    const double credits = std::min<double>(wanted, offered);
    m_counters.granted += static_cast<std::uint64_t>(credits);
    m_counters.denied += wanted - static_cast<std::uint64_t>(credits);
    if (credits == 0)
        return 0;
    account.level -= credits;
    account.outstanding.push_back({ processStart, credits, now });
    account.outstandingCredits += credits;
    return static_cast<std::uint32_t>(credits);
}

void QuotaLedger::updateLimited(AccountId id, const Account& account)
{
    if (account.level <= -kToleratedOverdraft) {
        m_limitRevision += m_limited.insert(id).second ? 1 : 0;
        return;
    }
    if (account.level >= std::max(1.0, account.quota.requestsPerSecond * kReopeningSeconds) - kToleratedOverdraft)
        m_limitRevision += m_limited.erase(id);
}

void QuotaLedger::update(TimePoint now)
{
    std::erase_if(m_reporters, [now](const auto& entry) { return now - entry.second.lastReport >= kReporterTimeout; });
    for (const AccountId id : std::vector<AccountId>(m_limited.begin(), m_limited.end())) {
        Account& account = m_accounts.at(id);
        refill(account, now);
        updateLimited(id, account);
    }
}

} // namespace curranttrail::policy
