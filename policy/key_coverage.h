#pragma once

#include "core/units.h"

#include <cstddef>
#include <span>
#include <vector>

namespace curranttrail::policy {

// A reported range that is part of a plan, clipped so that no two parts overlap.
struct RangePart {
    std::size_t index = 0;
    KeyRange range;
};

// The union of key ranges.
class KeyCoverage {
public:
    void add(KeyRange range);
    // Returns the share of the key space in the union; exactly 1 only if nothing is missing.
    double fraction() const;
    // Returns the ranges of the key space outside the union, in key order.
    std::vector<KeyRange> gaps() const;

    // Chooses disjoint parts that cover the union of the ranges. Whole ranges are taken where they tile the union; else later ones are clipped.
    static std::vector<RangePart> partition(std::span<const KeyRange> ranges);

private:
    // Disjoint, not adjacent, in key order.
    std::vector<KeyRange> m_ranges;
};

} // namespace curranttrail::policy
