#include "policy/latency_quantiles.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // 200 bins from 50 us to 60 s are 7% wide, which is finer than any change that a policy reacts to.
    constexpr int kBinCount = 200;
    constexpr double kLowestMicros = 50;
    constexpr double kHighestMicros = 60e6;
    // Halving all counts at this weight keeps 1,000 to 2,000 samples: enough for a 99% quantile, and few enough to follow a
    // change within seconds.
    constexpr double kMaximumWeight = 2'000;
    // The median is read for every attempt and recomputed only after this many samples, over which it changes little.
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
    // The first bin is the underflow bin.
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
