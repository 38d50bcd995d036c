#include "policy/quota_credits.h"

#include "policy/quota_ledger.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // Without a word of a leader for this time another one may lead, or this instance is cut off.
    constexpr Micros kLeaderTimeout { 1'200'000 };
    // Part of the equal share of the quota that is used without a leader, because the others may have one and use the whole quota.
    constexpr double kShareWithoutLeader = 0.5;
    // Minimum time between reports.
    constexpr Micros kMinimumReportInterval { 40'000 };
    // A limited account with recent requests asks for credits at this interval, and reports what became of them.
    constexpr Micros kReportInterval { 250'000 };
    // A refused request is a reason to ask for a credit for this time: the caller is expected to send another.
    constexpr Micros kRefusalInterest { 1'000'000 };
    constexpr double kDemandDecaySeconds = 1;
    // Credits are wanted for the requests of this time.
    constexpr double kDemandHorizonSeconds = 0.5;
    constexpr std::uint32_t kMaximumWanted = 10'000;
    constexpr Micros kMaximumTimeUntilNext { 5'000'000 };
} // namespace

void QuotaCredits::configure(const AccountQuotas& quotas)
{
    std::erase_if(m_accounts, [&](const auto& entry) { return !quotas.contains(entry.first); });
    for (const auto& [id, quota] : quotas) {
        Account& account = m_accounts[id];
        if (account.quota != quota)
            account.share.reset();
        account.quota = quota;
    }
}

bool QuotaCredits::hasLeader(TimePoint now) const
{
    return m_leaderAt && now - *m_leaderAt < kLeaderTimeout;
}

// Where there are few instances, each may overdraw a part of the burst at once.
std::uint32_t QuotaCredits::allowedOverdrafts(const Account& account) const
{
    const double part = account.quota.burst / 2 / std::max(1U, m_instances);
    return static_cast<std::uint32_t>(std::clamp(part, 1.0, 1'000.0));
}

double QuotaCredits::demandOf(const Account& account, TimePoint now) const
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - account.demandAt).count());
    return account.demand * std::exp(-elapsed / kDemandDecaySeconds);
}

void QuotaCredits::recordDemand(Account& account, TimePoint now) const
{
    account.demand = demandOf(account, now) + 1;
    account.demandAt = now;
}

std::uint32_t QuotaCredits::wantedCredits(AccountId id, const Account& account, TimePoint now) const
{
    double wanted = std::floor(demandOf(account, now) / kDemandDecaySeconds * kDemandHorizonSeconds);
    if (m_limited.contains(id) && account.lastRefusal != TimePoint::min() && now - account.lastRefusal < kRefusalInterest)
        wanted = std::max(1.0, wanted);
    for (const Credits& credits : account.credits)
        wanted -= credits.count;
    return static_cast<std::uint32_t>(std::clamp(wanted, 0.0, static_cast<double>(kMaximumWanted)));
}

void QuotaCredits::reportAt(Account& account, TimePoint at)
{
    account.nextReportAt = std::min(account.nextReportAt, at);
    m_nextReportAt = std::min(m_nextReportAt, at);
}

void QuotaCredits::expireCredits(Account& account, TimePoint now)
{
    while (!account.credits.empty() && account.credits.front().expiresAt <= now) {
        account.expired += account.credits.front().count;
        m_counters.expired += account.credits.front().count;
        account.credits.pop_front();
        reportAt(account, now);
    }
}

void QuotaCredits::addCredits(Account& account, Credits added)
{
    const auto next = std::find_if(account.credits.begin(), account.credits.end(), [&](const Credits& credits) { return credits.expiresAt > added.expiresAt; });
    account.credits.insert(next, added);
}

std::optional<QuotaHold> QuotaCredits::tryAcquire(AccountId id, TimePoint now)
{
    Account& account = m_accounts.at(id);
    recordDemand(account, now);
    expireCredits(account, now);
    QuotaHold hold { id, QuotaSource::Credit, now + QuotaLedger::kCreditLifetime };
    if (!account.credits.empty()) {
        Credits& credits = account.credits.front();
        hold.expiresAt = credits.expiresAt;
        if (--credits.count == 0)
            account.credits.pop_front();
        ++account.used;
        reportAt(account, m_limited.contains(id) ? now : now + kReportInterval);
    } else if (hasLeader(now) && !m_limited.contains(id) && account.overdrawn - account.covered < allowedOverdrafts(account)) {
        hold.source = QuotaSource::Overdraft;
        ++account.overdrawn;
        reportAt(account, now);
    } else if (!hasLeader(now) && tryShare(account, now)) {
        hold.source = QuotaSource::Share;
    } else {
        ++m_counters.refused;
        account.lastRefusal = now;
        reportAt(account, now);
        return std::nullopt;
    }
    ++m_counters.used[static_cast<std::size_t>(hold.source)];
    return hold;
}

bool QuotaCredits::tryShare(Account& account, TimePoint now)
{
    if (!account.share)
        account.share.emplace(account.quota.requestsPerSecond * kShareWithoutLeader, m_instances, m_random, now);
    return account.share->tryAcquire(0, now);
}

// What an overdraft that was not run leaves is a credit: the leader deducts it in any case.
void QuotaCredits::giveBack(const QuotaHold& hold, TimePoint now)
{
    const auto it = m_accounts.find(hold.account);
    if (it == m_accounts.end() || hold.expiresAt <= now)
        return;
    ++m_counters.givenBack;
    if (hold.source != QuotaSource::Share)
        addCredits(it->second, { 1, hold.expiresAt });
    else if (it->second.share)
        it->second.share->release(now);
}

Micros QuotaCredits::timeUntilNext(AccountId id) const
{
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end())
        return Micros { 0 };
    const double micros = 1e6 / it->second.quota.requestsPerSecond;
    return micros < static_cast<double>(kMaximumTimeUntilNext.count()) ? Micros { static_cast<Micros::rep>(micros) } : kMaximumTimeUntilNext;
}

void QuotaCredits::onLimited(const std::vector<AccountId>& limited, TimePoint now)
{
    m_limited = { limited.begin(), limited.end() };
    m_leaderAt = now;
    for (auto& [id, account] : m_accounts)
        account.share.reset();
}

void QuotaCredits::onReply(const QuotaReply& reply, TimePoint now)
{
    if (!m_sent || reply.number != m_sent->number)
        return;
    const TimePoint expiresAt = m_sent->at + QuotaLedger::kCreditLifetime;
    m_sent.reset();
    // A reply that took longer than a credit lives may have been written before this process was paused.
    if (expiresAt <= now)
        return;
    onLimited(reply.limited, now);
    for (auto& [id, account] : m_accounts)
        account.covered = std::max(account.covered, account.reported);
    for (const QuotaReply::Grant& grant : reply.grants) {
        const auto it = m_accounts.find(grant.account);
        if (it == m_accounts.end())
            continue;
        addCredits(it->second, { grant.credits, expiresAt });
        m_counters.granted += grant.credits;
        // Says what became of the credits even if no more requests arrive.
        reportAt(it->second, expiresAt);
    }
}

void QuotaCredits::onNoReply(TimePoint now)
{
    m_sent.reset();
    for (auto& [id, account] : m_accounts) {
        if (account.overdrawn > account.covered)
            reportAt(account, now + kReportInterval);
    }
}

void QuotaCredits::onSuspended(TimePoint now)
{
    m_leaderAt.reset();
    m_sent.reset();
    for (auto& [id, account] : m_accounts) {
        for (Credits& credits : account.credits)
            credits.expiresAt = now;
        account.share.reset();
        expireCredits(account, now);
    }
}

void QuotaCredits::update(TimePoint now)
{
    for (auto& [id, account] : m_accounts) {
        expireCredits(account, now);
        if (account.share)
            account.share->update(m_instances, now);
    }
}

TimePoint QuotaCredits::nextReportAt() const
{
    if (m_sent || m_nextReportAt == TimePoint::max())
        return TimePoint::max();
    return std::max(m_nextReportAt, m_lastReportAt + kMinimumReportInterval);
}

std::optional<QuotaReport> QuotaCredits::nextReport(TimePoint now)
{
    if (nextReportAt() > now)
        return std::nullopt;
    QuotaReport report;
    report.processStart = m_processStart;
    report.number = ++m_lastNumber;
    m_nextReportAt = TimePoint::max();
    for (auto& [id, account] : m_accounts) {
        if (account.nextReportAt > now) {
            reportAt(account, account.nextReportAt);
            continue;
        }
        expireCredits(account, now);
        account.nextReportAt = TimePoint::max();
        const std::uint32_t wanted = wantedCredits(id, account, now);
        report.accounts.push_back({ id, wanted, account.used, account.expired, account.overdrawn, account.covered });
        account.reported = account.overdrawn;
        if (wanted > 0 && m_limited.contains(id))
            reportAt(account, now + kReportInterval);
    }
    m_sent = { report.number, now };
    m_lastReportAt = now;
    ++m_counters.reports;
    return report;
}

} // namespace curranttrail::policy
