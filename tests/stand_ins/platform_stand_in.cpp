#include "tests/stand_ins/platform_stand_in.h"

#include "transport/event_sink.h"
#include "transport/http_router.h"

#include <boost/json.hpp>

namespace curranttrail::stand_ins {

namespace json = boost::json;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Responder;

std::string readInstances(const SettingsFile& file)
{
    json::array servers;
    for (const SettingsTable& table : file.root().tables("server"))
        servers.push_back(json::object { { "name", table.text("name") }, { "address", table.endpoint("address").text() }, { "data_centre", table.text("data_centre") },
            { "owner", table.text("owner") }, { "collection", table.text("collection") }, { "slots", table.integer("slots", 1, 1'000) },
            { "connection_limit", table.integer("connection_limit", 1, 100'000) }, { "state", table.choice("state", { "live", "leaving" }) } });
    return json::serialize(json::object { { "servers", std::move(servers) } });
}

PlatformStandIn::PlatformStandIn(transport::IoThreads& threads, const transport::Endpoint& bind, Micros lag)
    : m_lag(lag)
{
    transport::HttpRouter router;
    router.add("GET", "/v1/instances", [this](const HttpRequest&, const Responder& responder) {
        HttpResponse response;
        response.body = current();
        responder.send(std::move(response));
    });
    router.add("POST", "/v1/stand-in", [this](const HttpRequest& request, const Responder& responder) {
        HttpResponse response;
        json::error_code ec;
        const json::value value = json::parse(request.body, ec);
        const json::value* lag = !ec && value.is_object() ? value.as_object().if_contains("lag_ms") : nullptr;
        if (lag && lag->is_int64())
            setLag(std::chrono::milliseconds { lag->as_int64() });
        else
            response.status = 400;
        responder.send(std::move(response));
    });
    transport::HttpServerOptions options;
    options.bind = bind;
    m_server = std::make_unique<transport::HttpServer>(threads, options, router);
}

void PlatformStandIn::set(std::string instancesJson)
{
    const std::lock_guard lock(m_mutex);
    if (m_states.empty() || m_states.back().body != instancesJson)
        m_states.push_back({ m_states.empty() ? TimePoint {} : transport::monotonicNow(), std::move(instancesJson) });
}

void PlatformStandIn::setLag(Micros lag)
{
    const std::lock_guard lock(m_mutex);
    m_lag = lag;
}

std::string PlatformStandIn::current()
{
    const std::lock_guard lock(m_mutex);
    const TimePoint until = transport::monotonicNow() - m_lag;
    while (m_states.size() > 1 && m_states[1].since <= until)
        m_states.pop_front();
    return m_states.empty() ? R"({"servers":[]})" : m_states.front().body;
}

} // namespace curranttrail::stand_ins
