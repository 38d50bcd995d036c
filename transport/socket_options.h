#pragma once

#include "core/units.h"

#include <boost/system/error_code.hpp>

#include <chrono>

namespace curranttrail::transport {

// Sets the time after which a connection with unacknowledged sent bytes is closed. Systems without the option keep their default.
void setUnacknowledgedTimeout(int socket, std::chrono::milliseconds timeout);

// Returns whether a call on a non-blocking socket failed only because it would have to wait.
bool isWouldBlock(const boost::system::error_code& ec);

// Returns the smoothed round-trip time of a connection, or 0 if it is not available.
Micros smoothedRoundTrip(int socket);

} // namespace curranttrail::transport
