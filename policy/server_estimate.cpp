#include "policy/server_estimate.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    constexpr double kSmoothingFactor = 0.15;
    // A sample counts as at most this multiple of the average. This limits the effect of a straggler, while lasting slowness
    // still raises the average geometrically.
    constexpr double kMaximumStepFactor = 3;
    constexpr double kReplyHalfLifeMicros = 1'000'000;
    constexpr double kReportHalfLifeMicros = 400'000;
    // Own observations have at least half the weight, so that a fresh report cannot attract all instances at once.
    constexpr double kMaximumReportTrust = 0.5;
    constexpr double kDisagreementFactor = 2;
    constexpr double kAgreementDecreaseFactor = 0.6;
    constexpr double kAgreementRecoveryShare = 0.1;
    // The minimum network time observed rises slowly, so that it follows a longer network route but not a queue.
    constexpr double kNetworkRise = 1.005;
    constexpr double kNetworkRiseMicros = 5;
    // The first reply may have been queued. Network time beyond the expected round trip plus this is attributed to queueing.
    constexpr double kMaximumExcessNetworkMicros = 5'000;

    double halvingFactor(TimePoint since, TimePoint now, double halfLife)
    {
        return std::exp2(-static_cast<double>((now - since).count()) / halfLife);
    }
} // namespace

ServerEstimate::ServerEstimate(Micros networkRoundTrip)
    : m_network(static_cast<double>(networkRoundTrip.count()))
{
}

void ServerEstimate::onReply(Micros total, Micros service, std::uint32_t slots, TimePoint now)
{
    const double totalMicros = static_cast<double>(std::max(total, Micros { 1 }).count());
    const double serviceMicros = std::min(static_cast<double>(service.count()), totalMicros);
    if (m_hasReply && m_hasReport) {
        if (totalMicros > kDisagreementFactor * expectedFromReport(slots))
            m_reportAgreement *= kAgreementDecreaseFactor;
        else
            m_reportAgreement += kAgreementRecoveryShare * (1 - m_reportAgreement);
    }
    if (!m_hasReply) {
        m_total = totalMicros;
        m_service = serviceMicros;
        m_network = std::min(totalMicros - serviceMicros, m_network + kMaximumExcessNetworkMicros);
    } else {
        m_total += kSmoothingFactor * (std::min(totalMicros, kMaximumStepFactor * m_total) - m_total);
        m_service += kSmoothingFactor * (std::min(serviceMicros, kMaximumStepFactor * m_service + 1) - m_service);
        m_network = std::min(totalMicros - serviceMicros, m_network * kNetworkRise + kNetworkRiseMicros);
    }
    m_hasReply = true;
    m_repliedAt = now;
}

void ServerEstimate::onAbandoned(Micros elapsed, TimePoint now)
{
    const double elapsedMicros = static_cast<double>(elapsed.count());
    if (!m_hasReply || elapsedMicros <= m_total)
        return;
    m_total += kSmoothingFactor * (std::min(elapsedMicros, kMaximumStepFactor * m_total) - m_total);
    m_repliedAt = now;
}

void ServerEstimate::onReport(double load, TimePoint now)
{
    if (!std::isfinite(load) || load < 0)
        return;
    m_load = load;
    m_hasReport = true;
    m_reportedAt = now;
}

double ServerEstimate::expectedFromReport(std::uint32_t slots) const
{
    return m_network + m_service * std::max(1.0, m_load + 1.0 / std::max(slots, 1U));
}

double ServerEstimate::reportTrust(TimePoint now) const
{
    if (!m_hasReport)
        return 0;
    return kMaximumReportTrust * m_reportAgreement * halvingFactor(m_reportedAt, now, kReportHalfLifeMicros);
}

double ServerEstimate::expectedMicros(std::uint32_t inFlight, std::uint32_t slots, Micros typical, TimePoint now) const
{
    const double queue = 1 + static_cast<double>(inFlight) / std::max(slots, 1U);
    const double usual = static_cast<double>(typical.count());
    if (!m_hasReply)
        return (usual + m_network) * queue;
    const double own = usual + (m_total - usual) * halvingFactor(m_repliedAt, now, kReplyHalfLifeMicros);
    const double trust = reportTrust(now);
    return (trust * expectedFromReport(slots) + (1 - trust) * own) * queue;
}

Micros ServerEstimate::queueDelay(Micros total, Micros service) const
{
    const double delay = static_cast<double>(total.count()) - static_cast<double>(service.count()) - m_network;
    return Micros { std::llround(std::max(0.0, delay)) };
}

} // namespace curranttrail::policy
