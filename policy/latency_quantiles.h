#pragma once

#include "core/units.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace curranttrail::policy {

// Histogram of recent durations with decaying weights: old samples lose weight as new ones arrive.
class LatencyQuantiles {
public:
    LatencyQuantiles();

    void add(Micros duration);
    // Returns the given quantile of the recent durations, or zero without samples.
    Micros quantile(double share) const;
    // Returns the cached median, which may lag by a few samples.
    Micros median() const { return m_median; }
    // Returns the weighted number of samples; old ones count in part.
    double weight() const { return m_weight; }

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<double>> m_histogram;
    double m_weight = 0;
    Micros m_median { 0 };
    std::uint32_t m_samplesUntilMedian = 0;
};

} // namespace curranttrail::policy
