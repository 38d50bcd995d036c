#pragma once

#include "core/units.h"

#include <boost/system/error_code.hpp>

#include <cstddef>

namespace curranttrail::transport {

// Closes a connection if sent bytes stay unacknowledged for a few seconds, which detects unreachable servers. Systems without the option
// keep their default.
//
// The option also closes a connection whose peer acknowledges but keeps its window closed because it reads slowly. A request that may not
// fit into the window is therefore limited by its deadline only.
class UnacknowledgedLimit {
public:
    // Limits the connection.
    void apply(int socket);
    // Limits the connection unless the request that is being sent is long.
    void setRequestBytes(int socket, std::size_t size);

private:
    void set(int socket, bool isLimited);

    bool m_isLimited = false;
};

// Returns whether a call on a non-blocking socket failed only because it would have to wait.
bool isWouldBlock(const boost::system::error_code& ec);

// Returns the smoothed round-trip time of a connection, or 0 if it is not available.
Micros smoothedRoundTrip(int socket);

} // namespace curranttrail::transport
