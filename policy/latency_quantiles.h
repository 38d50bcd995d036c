#pragma once

#include "core/units.h"

#include <boost/histogram/axis/regular.hpp>
#include <boost/histogram/histogram.hpp>
#include <boost/histogram/storage_adaptor.hpp>

#include <cstdint>
#include <tuple>
#include <vector>

namespace curranttrail::policy {

// Quantiles of the recent durations of one kind of work. Old samples lose weight as new ones arrive.
class LatencyQuantiles {
public:
    LatencyQuantiles();

    void add(Micros duration);
    // Returns the duration that the given share of the recent samples does not exceed, or zero without samples.
    Micros quantile(double share) const;
    // Returns the median as of a few samples ago, at little cost.
    Micros median() const { return m_median; }
    // Returns the number of recent samples, with old ones counted in part.
    double weight() const { return m_weight; }

private:
    using LogAxis = boost::histogram::axis::regular<double, boost::histogram::axis::transform::log>;
    boost::histogram::histogram<std::tuple<LogAxis>, boost::histogram::dense_storage<double>> m_histogram;
    double m_weight = 0;
    Micros m_median { 0 };
    std::uint32_t m_samplesUntilMedian = 0;
};

} // namespace curranttrail::policy
