#pragma once

#include <chrono>
#include <cstdint>

namespace curranttrail {

// All durations inside the reducers have microsecond resolution.
using Micros = std::chrono::microseconds;

// Monotonic time, passed to the reducers by their drivers. Reducers never read a clock.
using TimePoint = std::chrono::time_point<std::chrono::steady_clock, Micros>;

// Wall-clock time in milliseconds since the Unix epoch, used only in request ids and records.
using UnixMillis = std::int64_t;

constexpr TimePoint kNever = TimePoint::max();

// A half-open range of the 64-bit key space. The highest key is never used, so that an exclusive end can express the whole space.
struct KeyRange {
    std::uint64_t begin = 0;
    std::uint64_t end = UINT64_MAX;

    std::uint64_t size() const { return end > begin ? end - begin : 0; }
    bool contains(std::uint64_t key) const { return key >= begin && key < end; }
    bool operator==(const KeyRange&) const = default;
};

constexpr KeyRange kWholeKeySpace {};

} // namespace curranttrail
