#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "transport/raw_http.h"

#include <cstddef>
#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace curranttrail::transport {

// Identifies a request until it has been answered.
using ExchangeId = StrongId<struct ExchangeTag>;

struct RawServerLimits {
    std::size_t maximumHeaderBytes = 16'384;
    std::size_t maximumBodyBytes = 262'144;
    // Maximum time from the first byte of a request to its last.
    Micros requestTimeout { 3'000'000 };
    // Maximum time that a connection may stay open without a request.
    Micros idleTimeout { 15'000'000 };
};

// Connection properties of a received request.
struct RawRequestInfo {
    // Smoothed round-trip time to the client as measured by the operating system, 0 if unavailable.
    Micros roundTrip { 0 };
    bool firstOnConnection = false;
};

// HTTP/1.1 server for one event loop; all functions and handlers run on the loop's thread. The connection is also read while
// a request is being handled, so that a disconnect of the client is detected immediately.
class RawHttpServer {
public:
    struct Handlers {
        std::function<void(ExchangeId exchange, RawRequest request, RawRequestInfo info)> request;
        // The client disconnected before its request was answered.
        std::function<void(ExchangeId exchange)> disconnected;
    };

    // Starts listening. Throws std::runtime_error if the address cannot be used.
    RawHttpServer(boost::asio::io_context& context, const Endpoint& bind, Handlers handlers);
    ~RawHttpServer();
    RawHttpServer(const RawHttpServer&) = delete;
    RawHttpServer& operator=(const RawHttpServer&) = delete;

    std::uint16_t port() const;
    void setLimits(const RawServerLimits& limits);
    // Replies to a request. Does nothing if the client has disconnected.
    void respond(ExchangeId exchange, const RawReply& reply);
    // Sets whether connections are closed after the replies to the requests that have arrived.
    void retireConnections(bool retire);
    void stopAccepting();
    // Closes the connections that have been without a request for this time. Those whose next request has arrived meanwhile stay.
    void closeIdle(Micros minimumIdleTime);
    // Replies to the requests that have not been received completely, and closes their connections.
    void rejectIncomplete(const RawReply& reply);
    // Number of requests that have not been answered.
    std::size_t exchanges() const;
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
