#pragma once

#include "transport/http_message.h"

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>

namespace curranttrail::transport {

class IoThreads;

namespace detail {
    class Exchange;
}

// Sends the response to one request, from any thread and at any time. Copies refer to the same request; only the first
// response is sent. If the last copy is destroyed without a response, the client receives status 500.
class Responder {
public:
    explicit Responder(std::shared_ptr<detail::Exchange> exchange);

    void send(HttpResponse response) const;
    // Calls the function once if the client disconnects before the response, immediately if it already has.
    // If the client has pipelined another request, its disconnect is detected only when the response is written.
    void onDisconnect(std::function<void()> callback) const;

private:
    std::shared_ptr<detail::Exchange> m_exchange;
};

using HttpHandler = std::function<void(HttpRequest, Responder)>;

struct HttpServerOptions {
    // Port 0 selects a free port.
    Endpoint bind { "127.0.0.1", 0 };
    std::size_t maximumHeaderBytes = 8'192;
    std::size_t maximumBodyBytes = 1'048'576;
    std::chrono::milliseconds headerTimeout { 5'000 };
    std::chrono::milliseconds bodyTimeout { 10'000 };
    // Maximum time that a connection may stay open between two requests.
    std::chrono::milliseconds idleTimeout { 60'000 };
    // Maximum time to write a response.
    std::chrono::milliseconds writeTimeout { 10'000 };
    // Maximum number of open connections. Further ones are refused with 503.
    std::size_t connections = 1024;
};

// HTTP/1.1 server. Requests of one connection are handled sequentially in the order of arrival.
// Input that violates the protocol or a limit is rejected with 400, 408 or 413 and does not reach the handler.
class HttpServer {
public:
    // Throws std::runtime_error if the address cannot be bound.
    HttpServer(IoThreads& threads, HttpServerOptions options, HttpHandler handler);
    // Closes all connections immediately.
    ~HttpServer();
    HttpServer(const HttpServer&) = delete;
    HttpServer& operator=(const HttpServer&) = delete;

    std::uint16_t port() const;
    std::size_t connections() const;

    // Makes every later response close its connection, so that clients reconnect to other instances.
    void retireConnections();

    // Stops accepting connections, closes idle ones and lets requests in flight finish within the given time.
    // Calls the function, if any, when the last connection has been closed.
    void stop(std::chrono::milliseconds limit, std::function<void()> done = {});

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
