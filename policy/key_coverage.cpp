#include "policy/key_coverage.h"

#include <algorithm>
#include <limits>
#include <numeric>

namespace curranttrail::policy {

namespace {

    constexpr std::size_t kNoIndex = std::numeric_limits<std::size_t>::max();

    std::vector<std::size_t> orderByEnd(std::span<const KeyRange> ranges)
    {
        std::vector<std::size_t> order(ranges.size());
        std::iota(order.begin(), order.end(), std::size_t { 0 });
        std::erase_if(order, [&](std::size_t i) { return ranges[i].size() == 0; });
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return ranges[a].end < ranges[b].end; });
        return order;
    }

    // Weighted interval scheduling: returns the disjoint unclipped ranges that cover the most keys.
    std::vector<std::size_t> largestDisjointSet(std::span<const KeyRange> ranges)
    {
        const std::vector<std::size_t> order = orderByEnd(ranges);
        const std::size_t count = order.size();
        std::vector<std::uint64_t> best(count + 1, 0);
        std::vector<std::size_t> previous(count + 1, kNoIndex);
        for (std::size_t i = 0; i < count; ++i) {
            const KeyRange& range = ranges[order[i]];
            const std::vector<std::size_t>::const_iterator it = std::upper_bound(order.begin(), order.begin() + static_cast<std::ptrdiff_t>(i),
                range.begin, [&](std::uint64_t key, std::size_t other) { return key < ranges[other].end; });
            const std::size_t compatible = static_cast<std::size_t>(it - order.begin());
            best[i + 1] = best[i];
            if (best[compatible] + range.size() > best[i]) {
                best[i + 1] = best[compatible] + range.size();
                previous[i + 1] = compatible;
            }
        }
        std::vector<std::size_t> chosen;
        for (std::size_t i = count; i > 0;) {
            if (previous[i] == kNoIndex) {
                --i;
                continue;
            }
            chosen.push_back(order[i - 1]);
            i = previous[i];
        }
        std::reverse(chosen.begin(), chosen.end());
        return chosen;
    }

    // Greedy interval cover: repeatedly takes the range that reaches furthest, clipped to the keys not covered yet.
    std::vector<RangePart> clippedParts(std::span<const KeyRange> ranges)
    {
        std::vector<std::size_t> order = orderByEnd(ranges);
        std::stable_sort(order.begin(), order.end(), [&](std::size_t a, std::size_t b) { return ranges[a].begin < ranges[b].begin; });
        std::vector<RangePart> parts;
        std::uint64_t position = 0;
        std::size_t next = 0;
        while (next < order.size()) {
            position = std::max(position, ranges[order[next]].begin);
            std::size_t furthest = kNoIndex;
            for (; next < order.size() && ranges[order[next]].begin <= position; ++next) {
                if (ranges[order[next]].end > position && (furthest == kNoIndex || ranges[order[next]].end > ranges[furthest].end))
                    furthest = order[next];
            }
            if (furthest == kNoIndex)
                continue;
            parts.push_back({ furthest, { position, ranges[furthest].end } });
            position = ranges[furthest].end;
        }
        return parts;
    }

} // namespace

void KeyCoverage::add(KeyRange range)
{
    if (range.size() == 0)
        return;
    std::vector<KeyRange>::iterator first = std::lower_bound(
        m_ranges.begin(), m_ranges.end(), range.begin, [](const KeyRange& r, std::uint64_t key) { return r.end < key; });
    std::vector<KeyRange>::iterator last = first;
    for (; last != m_ranges.end() && last->begin <= range.end; ++last) {
        range.begin = std::min(range.begin, last->begin);
        range.end = std::max(range.end, last->end);
    }
    m_ranges.insert(m_ranges.erase(first, last), range);
}

double KeyCoverage::fraction() const
{
    const std::uint64_t covered
        = std::accumulate(m_ranges.begin(), m_ranges.end(), std::uint64_t { 0 }, [](std::uint64_t sum, const KeyRange& r) { return sum + r.size(); });
    if (covered == kWholeKeySpace.size())
        return 1;
    // Rounding must not turn a small gap into full coverage.
    return std::min(static_cast<double>(covered) / static_cast<double>(kWholeKeySpace.size()), 1 - std::numeric_limits<double>::epsilon());
}

std::vector<KeyRange> KeyCoverage::gaps() const
{
    std::vector<KeyRange> gaps;
    std::uint64_t position = kWholeKeySpace.begin;
    for (const KeyRange& range : m_ranges) {
        if (range.begin > position)
            gaps.push_back({ position, range.begin });
        position = range.end;
    }
    if (position < kWholeKeySpace.end)
        gaps.push_back({ position, kWholeKeySpace.end });
    return gaps;
}

std::vector<RangePart> KeyCoverage::partition(std::span<const KeyRange> ranges)
{
    std::vector<RangePart> unclipped;
    KeyCoverage all;
    KeyCoverage taken;
    for (const KeyRange& range : ranges)
        all.add(range);
    for (std::size_t index : largestDisjointSet(ranges)) {
        unclipped.push_back({ index, ranges[index] });
        taken.add(ranges[index]);
    }
    return taken.m_ranges == all.m_ranges ? unclipped : clippedParts(ranges);
}

} // namespace curranttrail::policy
