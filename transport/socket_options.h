#pragma once

#include "core/units.h"

#include <chrono>

namespace curranttrail::transport {

// Ends a connection whose sent bytes stay unacknowledged for longer. A system without the option keeps its default.
void limitUnacknowledged(int socket, std::chrono::milliseconds limit);

// The smoothed round trip of a connection, 0 if the system does not tell.
Micros roundTripOf(int socket);

} // namespace curranttrail::transport
