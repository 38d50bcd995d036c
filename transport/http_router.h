#pragma once

#include "transport/http_server.h"

#include <functional>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail::transport {

class EventSink;
class Metrics;

// Dispatches requests to handlers by method and path. Responds with 404 to an unknown path and 405 to an unsupported method.
class HttpRouter {
public:
    // A path that ends with "/*" matches every path with the prefix before the asterisk.
    void add(std::string method, std::string path, HttpHandler handler);

    void operator()(HttpRequest request, const Responder& responder) const;

private:
    struct Route {
        std::string method;
        std::string path;
        HttpHandler handler;
    };

    std::vector<Route> m_routes;
};

// Returns the reason why the instance is not ready, or nothing if it is ready.
using ReadinessCheck = std::function<std::optional<std::string>()>;

// Adds GET /live, /ready, /metrics and /v1/events?after=N. The sink, the metrics and the check must outlive the router.
void addHealthRoutes(HttpRouter& router, EventSink& sink, const Metrics& metrics, ReadinessCheck notReadyReason);

} // namespace curranttrail::transport
