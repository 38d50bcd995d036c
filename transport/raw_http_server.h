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

// One request of a caller until its answer.
using ExchangeId = StrongId<struct ExchangeTag>;

struct RawServerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 262'144;
    // The time from the first byte of a request to its last.
    Micros requestTime { 3'000'000 };
    // The time that a connection may stay open without a request.
    Micros idleTime { 15'000'000 };
};

// How a request came.
struct RawArrival {
    // The round trip to the caller as the system measures it, 0 if it does not.
    Micros roundTrip { 0 };
    bool firstOnConnection = false;
};

// HTTP/1.1 server for one event loop; every function and handler runs on the loop's thread. While a request is handled the
// connection is still read, so that a caller who leaves is noticed at once.
class RawHttpServer {
public:
    struct Handlers {
        std::function<void(ExchangeId exchange, RawRequest request, RawArrival arrival)> request;
        // The caller left before its answer.
        std::function<void(ExchangeId exchange)> gone;
    };

    // Listens at once. Throws std::runtime_error if the address cannot be used.
    RawHttpServer(boost::asio::io_context& context, const Endpoint& bind, Handlers handlers);
    ~RawHttpServer();
    RawHttpServer(const RawHttpServer&) = delete;
    RawHttpServer& operator=(const RawHttpServer&) = delete;

    std::uint16_t port() const;
    void setLimits(const RawServerLimits& limits);
    // Answers a request; does nothing if the caller has left.
    void respond(ExchangeId exchange, const RawReply& reply);
    // Whether every answer closes its connection.
    void retireConnections(bool retire);
    void stopAccepting();
    void closeIdle();
    // Requests whose answer is not written yet, and open connections.
    std::size_t exchanges() const;
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
