#pragma once

#include "core/units.h"
#include "transport/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace curranttrail::transport {

class IoThreads;

// The response of a server, or the reason why there is none.
struct HttpResult {
    bool answered = false;
    HttpResponse response;
    // True if only the end of the connection ends the body, which may then be cut off.
    bool endsWithConnection = false;
    std::string error;
};

struct HttpClientOptions {
    std::size_t maximumResponseBytes = 4'194'304;
    // Maximum number of idle connections per server. 0 opens a new connection for each request, so that an unresponsive
    // connection cannot fail more than one request.
    std::size_t maximumIdlePerServer = 0;
    // Idle connections older than this are closed instead of reused.
    std::chrono::milliseconds idleTimeout { 5'000 };
};

// HTTP/1.1 client for idempotent requests: a request that fails on a reused connection is retried on a new one.
class HttpClient {
public:
    HttpClient(IoThreads& threads, HttpClientOptions options);
    ~HttpClient();
    HttpClient(const HttpClient&) = delete;
    HttpClient& operator=(const HttpClient&) = delete;

    // Sends a request. The callback is called exactly once, on an I/O thread, unless the threads stop earlier.
    void request(const Endpoint& server, const HttpRequest& request, Micros timeout, std::function<void(HttpResult)> callback);

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
