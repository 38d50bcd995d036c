#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace curranttrail {

// Boost's generators and distributions give the same numbers on every platform, so a seed always repeats a run.
using Random = boost::random::mt19937_64;

// Returns a number that differs from one process start to the next.
std::uint64_t generateSeed();

} // namespace curranttrail
