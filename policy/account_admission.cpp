#include "policy/account_admission.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>
#include <vector>

namespace curranttrail::policy {

namespace {
    // Time constants of the servers' load and the rates of requests, and of the accounts' demand. An account that sends many times its usual
    // stands out of the second one, while its burst lasts.
    constexpr double kRateMemoryMicros = 5e5;
    constexpr double kDemandMemoryMicros = 5e6;
    // With as many requests as slots, every further one waits for about one service time.
    constexpr double kFullLoad = 1;
    // Part of what the servers complete that is admitted while they work off their queues.
    constexpr double kMinimumDrain = 0.7;
    // Time constant with which the room grows again.
    constexpr double kRecoveryMicros = 2e6;
    // Fewer reports may come from servers that pause.
    constexpr double kMinimumLoads = 8;
    // Room is never estimated to be smaller: some requests are needed to notice that there is more.
    constexpr double kMinimumRoom = 0.1;
    // An account with less demand is forgotten.
    constexpr double kMinimumDemand = 0.01;
    constexpr Micros kMinimumRetryAfter { 50'000 };
    constexpr Micros kMinimumRetrySpread { 200'000 };
    constexpr Micros kMaximumRetrySpread { 2'000'000 };

    // Returns the factor by which sums decay until now, and sets the time of their last decay.
    double decayFactor(TimePoint& decayedAt, TimePoint now, double memoryMicros)
    {
        const double elapsed = std::max(0.0, static_cast<double>((now - decayedAt).count()));
        decayedAt = std::max(decayedAt, now);
        return std::exp(-elapsed / memoryMicros);
    }
} // namespace

double AccountAdmission::Account::demand() const
{
    double sum = 0;
    for (const auto& [priority, content] : classes)
        sum += content.demand;
    return sum;
}

double AccountAdmission::Account::excess() const
{
    return std::max(0.0, demand() - 1);
}

void AccountAdmission::decayRates(TimePoint now)
{
    const double factor = decayFactor(m_ratesDecayedAt, now, kRateMemoryMicros);
    m_load *= factor;
    m_loads *= factor;
    m_arrived *= factor;
    m_ended *= factor;
}

void AccountAdmission::decayDemand(TimePoint now)
{
    const double factor = decayFactor(m_demandDecayedAt, now, kDemandMemoryMicros);
    for (auto& [name, account] : m_accounts) {
        for (auto& [priority, content] : account.classes)
            content.demand *= factor;
        std::erase_if(account.classes, [](const auto& entry) { return entry.second.demand < kMinimumDemand; });
    }
    std::erase_if(m_accounts, [](const auto& entry) { return entry.second.classes.empty(); });
}

void AccountAdmission::recordLoad(double requestsPerSlot, TimePoint now)
{
    decayRates(now);
    m_load += requestsPerSlot;
    m_loads += 1;
}

void AccountAdmission::recordEnd(TimePoint now)
{
    decayRates(now);
    m_ended += 1;
}

// Full servers complete what they can take, so the part of the demand that ends is the part for which there is room. With few requests an
// instance cannot tell that part well; then the load bounds it.
void AccountAdmission::updateRoom(TimePoint now)
{
    const double growth = 1 / decayFactor(m_roomUpdatedAt, now, kRecoveryMicros);
    double target = 1;
    const double load = m_loads < kMinimumLoads ? 0 : m_load / m_loads;
    if (load > kFullLoad) {
        const double drain = kFullLoad / load;
        target = std::max(drain, m_ended / std::max(m_arrived, 1.0) * std::max(drain, kMinimumDrain));
    }
    m_room = std::clamp(std::min(target, m_room * growth), kMinimumRoom, 1.0);
}

double AccountAdmission::meanWeight() const
{
    double sum = 0;
    std::size_t count = 0;
    for (const auto& [name, account] : m_accounts) {
        sum += account.weight;
        count += account.weight > 0 ? 1 : 0;
    }
    return count > 0 ? sum / static_cast<double>(count) : 1;
}

double AccountAdmission::weightOf(const Account& account) const
{
    return account.weight > 0 ? account.weight : meanWeight();
}

double AccountAdmission::excessPerWeight() const
{
    struct Share {
        double excess = 0;
        double weight = 0;
    };
    std::vector<Share> shares;
    double total = 0;
    double room = 0;
    for (const auto& [name, account] : m_accounts) {
        shares.push_back({ account.excess(), weightOf(account) });
        total += shares.back().weight;
        room += m_room * account.demand() - (account.demand() - account.excess());
    }
    std::sort(shares.begin(), shares.end(), [](const Share& a, const Share& b) { return a.excess / a.weight < b.excess / b.weight; });
    // Accounts that need less than an equal part of what is left get all of it.
    for (const Share& share : shares) {
        const double level = std::max(0.0, room) / total;
        if (share.excess / share.weight > level)
            return level;
        room -= share.excess;
        total -= share.weight;
    }
    return HUGE_VAL;
}

double AccountAdmission::admittedShare(const Account& account, std::uint32_t priority) const
{
    double allowed = account.demand() - account.excess() + std::min(account.excess(), excessPerWeight() * weightOf(account));
    for (const auto& [other, content] : account.classes) {
        if (other >= priority)
            break;
        allowed -= content.demand;
    }
    return std::clamp(allowed / account.classes.at(priority).demand, 0.0, 1.0);
}

bool AccountAdmission::tryAdmit(const Demand& demand, TimePoint now)
{
    decayRates(now);
    decayDemand(now);
    Account& account = m_accounts[demand.account];
    account.weight = demand.weight;
    Class& content = account.classes[demand.priority];
    content.demand += 1;
    updateRoom(now);
    m_arrived += 1;
    bool isAdmitted = true;
    if (m_room < 1) {
        content.credit = std::min(1.0, content.credit + admittedShare(account, demand.priority));
        isAdmitted = content.credit >= 1;
        content.credit -= isAdmitted ? 1 : 0;
    }
    return isAdmitted;
}

Micros AccountAdmission::retryAfter(Random& random) const
{
    const Micros spread { std::llround(1e6 * (1 / m_room - 1)) };
    boost::random::uniform_int_distribution<Micros::rep> delay(0, std::clamp(spread, kMinimumRetrySpread, kMaximumRetrySpread).count());
    return kMinimumRetryAfter + Micros { delay(random) };
}

} // namespace curranttrail::policy
