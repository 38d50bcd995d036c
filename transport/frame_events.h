#pragma once

#include "core/event_log.h"

namespace curranttrail::transport {

// Events of authenticated connections between processes, numbered from 7100.
inline constexpr EventDescription kLinkUp { 7100, "link_up", Severity::Information, "An authenticated connection to another process is open." };
inline constexpr EventDescription kLinkDown { 7101, "link_down", Severity::Warning, "A connection to another process ended; the field reason gives the cause." };
inline constexpr EventDescription kLinkRefused { 7102, "link_refused", Severity::Warning, "A connection was refused because its handshake failed or the connection limit was reached." };

} // namespace curranttrail::transport
