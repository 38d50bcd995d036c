#pragma once

#include <boost/random/mersenne_twister.hpp>

#include <cstdint>

namespace curranttrail {

// Boost's generators and distributions give the same numbers on every platform, so a seed reproduces a run everywhere.
using Random = boost::random::mt19937_64;

// Returns a seed from the operating system's random source.
std::uint64_t generateSeed();

} // namespace curranttrail
