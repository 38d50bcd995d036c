#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::stand_ins {

// Draws a port of which it and the following three are free on all the loopback addresses, below the range that the system gives
// to outgoing connections. Throws std::runtime_error if none is found.
std::uint16_t findFreePorts(const std::vector<std::string>& addresses);

} // namespace curranttrail::stand_ins
