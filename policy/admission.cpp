#include "policy/admission.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    constexpr Micros kIdleTimeout { 2'000'000 };
    // Target for the mean wait as a share of the most urgent class's target latency. The slowest of 20 to 50 shards waits about
    // 3.5 times the mean, so this keeps it within half of the target latency.
    constexpr double kMeanWaitShare = 0.15;
    constexpr double kUrgentWaitShare = 0.5;
    constexpr double kOrdinaryWaitShare = 0.25;
    constexpr double kOrdinaryLimitShare = 0.7;
    // Each shed urgent query lowers the ordinary classes' share of the limit; each admitted one raises it slowly.
    constexpr double kOrdinaryLimitDecrease = 0.05;
    constexpr double kOrdinaryLimitIncrease = 0.001;
    // Every tenth completed query earns the admission of one ordinary query, so that ordinary classes are not starved.
    constexpr double kOrdinaryTokensPerQuery = 0.1;
    constexpr double kMaximumOrdinaryTokens = 2;
    // With several active owners, one may borrow unused capacity of the others up to this share of the limit.
    constexpr double kBorrowShare = 0.9;
    constexpr double kSmoothingFactor = 0.1;
    constexpr double kMinimumLimit = 2;
    constexpr double kMaximumLimitCut = 0.03;
} // namespace

void Admission::setInitialLimit(double limit)
{
    if (!m_hasObservations)
        m_limit = std::max(limit, kMinimumLimit);
}

void Admission::evictIdle(TimePoint now)
{
    std::erase_if(m_targets, [&](const std::pair<const Micros, TimePoint>& entry) { return now - entry.second > kIdleTimeout; });
    std::erase_if(m_owners,
        [&](const std::pair<const OwnerName, OwnerState>& entry) { return entry.second.inFlight == 0 && now - entry.second.lastSeenAt > kIdleTimeout; });
}

Micros Admission::shortestTarget() const
{
    return m_targets.begin()->first;
}

double Admission::ownerLimit(const OwnerName& owner) const
{
    if (m_owners.size() < 2)
        return m_limit;
    const std::map<OwnerName, OwnerState>::const_iterator it = m_owners.find(owner);
    const double othersInFlight = m_inFlight - it->second.inFlight;
    return std::max(m_limit / static_cast<double>(m_owners.size()), kBorrowShare * m_limit - othersInFlight);
}

bool Admission::tryAdmit(const Demand& demand, TimePoint now)
{
    const ClassTarget& target = *demand.target;
    m_targets[target.latency] = now;
    OwnerState& owner = m_owners[target.owner];
    owner.lastSeenAt = now;
    evictIdle(now);

    const Micros urgentTarget = shortestTarget();
    const Micros slack = std::min(target.latency, demand.timeout);
    if (demand.predictedWait + demand.service > demand.timeout || demand.predictedWait.count() > kUrgentWaitShare * slack.count())
        return false;
    // If there is hardly any waiting, the limit is too low for the load and is raised to it.
    if (m_inFlight + 1 > m_limit && m_smoothedWait < kMeanWaitShare / 3 * urgentTarget.count() && demand.predictedWait.count() < kMeanWaitShare * urgentTarget.count())
        m_limit = m_inFlight + 1;

    bool admitted = owner.inFlight + 1 <= ownerLimit(target.owner);
    if (m_owners.size() < 2)
        admitted = m_inFlight + 1 <= m_limit;
    if (target.latency > urgentTarget) {
        const bool fits = m_inFlight + 1 <= m_ordinaryLimitShare * m_limit && demand.predictedWait.count() <= kOrdinaryWaitShare * urgentTarget.count();
        if (!(admitted && fits)) {
            admitted = m_ordinaryTokens >= 1;
            m_ordinaryTokens -= admitted ? 1 : 0;
        }
    } else
        m_ordinaryLimitShare = std::clamp(m_ordinaryLimitShare + (admitted ? kOrdinaryLimitIncrease : -kOrdinaryLimitDecrease), 0.0, kOrdinaryLimitShare);
    if (!admitted)
        return false;
    ++m_inFlight;
    ++owner.inFlight;
    return true;
}

void Admission::onEnded(const ClassTarget& target, Micros meanWait, bool hadReplies, TimePoint now)
{
    --m_inFlight;
    OwnerState& owner = m_owners[target.owner];
    owner.inFlight -= owner.inFlight > 0 ? 1 : 0;
    owner.lastSeenAt = now;
    if (!hadReplies)
        return;
    m_hasObservations = true;
    m_ordinaryTokens = std::min(kMaximumOrdinaryTokens, m_ordinaryTokens + kOrdinaryTokensPerQuery);
    m_smoothedWait += kSmoothingFactor * (static_cast<double>(meanWait.count()) - m_smoothedWait);
    const Micros urgentTarget = m_targets.empty() ? target.latency : shortestTarget();
    const double allowed = kMeanWaitShare * static_cast<double>(std::max(urgentTarget, Micros { 1 }).count());
    if (m_smoothedWait > allowed)
        m_limit = std::max(kMinimumLimit, m_limit * (1 - kMaximumLimitCut * std::min(1.0, m_smoothedWait / allowed - 1)));
    else if (m_inFlight + 1 >= kOrdinaryLimitShare * m_limit)
        m_limit += 0.5 / m_limit;
}

} // namespace curranttrail::policy
