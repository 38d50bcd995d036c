#pragma once

#include "core/units.h"

#include <chrono>

namespace curranttrail::transport {

// Sets the time after which a connection with unacknowledged sent bytes is closed. Systems without the option keep their default.
void setUnacknowledgedTimeout(int socket, std::chrono::milliseconds timeout);

// Returns the smoothed round-trip time of a connection, or 0 if it is not available.
Micros smoothedRoundTrip(int socket);

} // namespace curranttrail::transport
