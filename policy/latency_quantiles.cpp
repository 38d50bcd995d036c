#include "policy/latency_quantiles.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // 200 bins over 50 us to 60 s are 7% wide, which is finer than the changes that any policy reacts to.
    constexpr int kBinCount = 200;
    constexpr double kLowestMicros = 50;
    constexpr double kHighestMicros = 60e6;
    // Halving at this weight keeps between 1,000 and 2,000 samples: enough for a 99% quantile, few enough to follow a change within seconds.
    constexpr double kMaximumWeight = 2'000;
    // The median is needed for every attempt and changes little over this many samples.
    constexpr std::uint32_t kSamplesPerMedian = 32;
} // namespace

LatencyQuantiles::LatencyQuantiles()
    : m_histogram(std::make_tuple(LogAxis(kBinCount, kLowestMicros, kHighestMicros)))
{
}

void LatencyQuantiles::add(Micros duration)
{
    m_histogram(std::clamp(static_cast<double>(duration.count()), kLowestMicros, kHighestMicros * 0.999));
    m_weight += 1;
    if (m_weight >= kMaximumWeight) {
        m_histogram *= 0.5;
        m_weight *= 0.5;
    }
    if (m_samplesUntilMedian > 0) {
        --m_samplesUntilMedian;
        return;
    }
    m_median = quantile(0.5);
    m_samplesUntilMedian = std::min(static_cast<std::uint32_t>(m_weight / 10), kSamplesPerMedian);
}

Micros LatencyQuantiles::quantile(double share) const
{
    if (m_weight <= 0)
        return Micros { 0 };
    double remaining = std::clamp(share, 0.0, 1.0) * m_weight;
    // The first bin holds what lies below the axis.
    int bin = -1;
    for (const double count : m_histogram) {
        if (count > 0 && count >= remaining)
            return Micros { std::llround(m_histogram.axis(0).value(bin + remaining / count)) };
        remaining -= count;
        ++bin;
    }
    return Micros { std::llround(kHighestMicros) };
}

} // namespace curranttrail::policy
