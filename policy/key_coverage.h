#pragma once

#include "core/units.h"

#include <cstddef>
#include <span>
#include <vector>

namespace curranttrail::policy {

// Part of the input range with the given index, clipped so that no two parts overlap.
struct RangePart {
    std::size_t index = 0;
    KeyRange range;
};

// Union of key ranges.
class KeyCoverage {
public:
    void add(KeyRange range);
    // Returns the fraction of the key space in the union. It is exactly 1 only if no key is missing.
    double fraction() const;
    // Returns the ranges of the key space outside the union, in key order.
    std::vector<KeyRange> gaps() const;

    // Returns disjoint parts that cover the union of the ranges. Ranges are clipped only if unclipped ones cannot tile the union.
    static std::vector<RangePart> partition(std::span<const KeyRange> ranges);

private:
    // Disjoint, non-adjacent ranges in key order.
    std::vector<KeyRange> m_ranges;
};

} // namespace curranttrail::policy
