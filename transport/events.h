#pragma once

#include "core/event_log.h"
#include "transport/frame_events.h"

#include <array>

namespace curranttrail::transport {

namespace events {

    inline constexpr EventDescription kListening { 7001, "listening", Severity::Information, "A server socket is listening for connections." };
    inline constexpr EventDescription kSignalReceived { 7002, "signal_received", Severity::Information, "The process received a termination signal." };
    inline constexpr EventDescription kBackendConnectFailed { 7010, "backend_connect_failed", Severity::Debug, "A connection to a backend server could not be opened." };
    inline constexpr EventDescription kBackendConnectionLost { 7011, "backend_connection_lost", Severity::Debug, "An open connection to a backend server was closed after an error or because it could not be reused." };
    inline constexpr EventDescription kBackendReplyMalformed { 7012, "backend_reply_malformed", Severity::Warning, "A reply of a backend server lacks a required header field or violates the protocol; the connection is closed." };
    inline constexpr EventDescription kPollFailed { 7020, "poll_failed", Severity::Warning, "The platform's server list or a backend server's report could not be fetched or parsed; the last valid one stays in use." };
    inline constexpr EventDescription kPollRecovered { 7021, "poll_recovered", Severity::Information, "Polling a source succeeded again after a failure." };

} // namespace events

inline constexpr std::array kTransportEvents {
    &events::kListening,
    &events::kSignalReceived,
    &events::kBackendConnectFailed,
    &events::kBackendConnectionLost,
    &events::kBackendReplyMalformed,
    &events::kPollFailed,
    &events::kPollRecovered,
    &kLinkUp,
    &kLinkDown,
    &kLinkRefused,
};

} // namespace curranttrail::transport
