#include "transport/http_router.h"

#include "transport/event_sink.h"
#include "transport/metrics.h"

#include <charconv>

namespace curranttrail::transport {

namespace {

    bool matches(std::string_view pattern, std::string_view path)
    {
        if (pattern.ends_with("/*"))
            return path.starts_with(pattern.substr(0, pattern.size() - 1));
        return pattern == path;
    }

    HttpResponse plainText(unsigned status, std::string body)
    {
        HttpResponse response;
        response.status = status;
        response.contentType = "text/plain; charset=utf-8";
        response.body = std::move(body);
        return response;
    }

    HttpResponse recentEvents(const EventSink& sink, const HttpRequest& request)
    {
        const std::string_view text = request.parameter("after").value_or("0");
        std::uint64_t after = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), after);
        HttpResponse response;
        if (ec != std::errc {} || end != text.data() + text.size()) {
            response.status = 400;
            response.body = refusalBody("malformed", "not_run", "\"after\" must be a non-negative integer");
            return response;
        }
        response.body = sink.recentAsJson(after);
        return response;
    }

} // namespace

void HttpRouter::add(std::string method, std::string path, HttpHandler handler)
{
    m_routes.push_back({ std::move(method), std::move(path), std::move(handler) });
}

void HttpRouter::operator()(HttpRequest request, const Responder& responder) const
{
    HttpResponse response;
    response.status = 404;
    response.body = refusalBody("unknown_path", "not_run", "no such path");
    for (const Route& route : m_routes) {
        if (!matches(route.path, request.path))
            continue;
        if (route.method == request.method) {
            route.handler(std::move(request), responder);
            return;
        }
        response.status = 405;
        response.fields = { { "Allow", route.method } };
        response.body = refusalBody("wrong_method", "not_run", "the path does not accept this method");
    }
    responder.send(std::move(response));
}

void addHealthRoutes(HttpRouter& router, EventSink& sink, const Metrics& metrics, ReadinessCheck notReadyReason)
{
    router.add("GET", "/live", [](const HttpRequest&, const Responder& responder) { responder.send(plainText(200, "live\n")); });
    router.add("GET", "/ready", [check = std::move(notReadyReason)](const HttpRequest&, const Responder& responder) {
        const std::optional<std::string> reason = check();
        responder.send(reason ? plainText(503, *reason + "\n") : plainText(200, "ready\n"));
    });
    router.add("GET", "/metrics", [&metrics](const HttpRequest&, const Responder& responder) {
        HttpResponse response = plainText(200, metrics.prometheusText());
        response.contentType = "text/plain; version=0.0.4";
        responder.send(std::move(response));
    });
    router.add("GET", "/v1/events", [&sink](const HttpRequest& request, const Responder& responder) { responder.send(recentEvents(sink, request)); });
}

} // namespace curranttrail::transport
