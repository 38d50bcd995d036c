#pragma once

#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::stand_ins {

// Returns the first of four consecutive ports that are free on all the given loopback addresses, chosen at random below the range
// of ephemeral ports. Throws std::runtime_error if there are none.
std::uint16_t findFreePorts(const std::vector<std::string>& addresses);

} // namespace curranttrail::stand_ins
