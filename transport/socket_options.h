#pragma once

#include <chrono>

namespace curranttrail::transport {

// Ends a connection whose sent bytes stay unacknowledged for longer. A system without the option keeps its default.
void limitUnacknowledged(int socket, std::chrono::milliseconds limit);

} // namespace curranttrail::transport
