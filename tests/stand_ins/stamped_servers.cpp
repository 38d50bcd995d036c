#include "tests/stand_ins/stamped_servers.h"

#include "core/not_run_status.h"
#include "platform/http_names.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/post.hpp>
#include <boost/asio/steady_timer.hpp>
#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <future>

namespace curranttrail::stand_ins {

namespace asio = boost::asio;
namespace json = boost::json;
using transport::ExchangeId;
using transport::RawReply;
using transport::RawRequest;

namespace {
    constexpr int kRecordsPerReply = 5;
    constexpr Micros kRestartTime { 500'000 };
}

struct StampedServers::Server {
    std::size_t index = 0;
    std::string collection;
    std::string listedAddress;
    std::string dataCentre = "z1";
    unsigned incarnation = 1;
    unsigned turn = 0;
    // Number of times that the server ended.
    unsigned ends = 0;
    ServerBehaviour behaviour;
    std::unique_ptr<transport::RawHttpServer> server;

    std::string instance() const { return fmt::format("i-{}-{}", index, incarnation); }
};

StampedServers::StampedServers()
{
    transport::RawHttpServer::Handlers handlers;
    handlers.request = [this](ExchangeId exchange, const RawRequest&, transport::RawRequestInfo) {
        const std::lock_guard lock(m_mutex);
        m_list->respond(exchange, { 200, {}, instanceListJson() });
    };
    handlers.disconnected = [](ExchangeId) {};
    m_list = std::make_unique<transport::RawHttpServer>(m_context, transport::Endpoint { "127.0.0.1", 0 }, std::move(handlers));
    m_thread = std::thread([this] {
        const auto workGuard = asio::make_work_guard(m_context);
        m_context.run();
    });
}

StampedServers::~StampedServers()
{
    m_context.stop();
    m_thread.join();
}

std::size_t StampedServers::add(const std::string& collection)
{
    std::promise<std::size_t> done;
    asio::post(m_context, [&] {
        std::unique_ptr<Server> server = std::make_unique<Server>();
        start(*server, 0);
        const std::lock_guard lock(m_mutex);
        server->index = m_servers.size();
        server->collection = collection;
        server->listedAddress = fmt::format("127.0.0.1:{}", server->server->port());
        m_servers.push_back(std::move(server));
        done.set_value(m_servers.size() - 1);
    });
    return done.get_future().get();
}

void StampedServers::start(Server& server, std::uint16_t port)
{
    transport::RawHttpServer::Handlers handlers;
    handlers.request = [this, &server](ExchangeId exchange, const RawRequest& request, transport::RawRequestInfo) { handle(server, exchange, request); };
    handlers.disconnected = [](ExchangeId) {};
    server.server = std::make_unique<transport::RawHttpServer>(m_context, transport::Endpoint { "127.0.0.1", port }, std::move(handlers));
}

// Ends the server and starts another incarnation of it at the same address.
void StampedServers::end(Server& server)
{
    const std::uint16_t port = server.server->port();
    server.server.reset();
    ++server.ends;
    const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, kRestartTime);
    timer->async_wait([this, timer, port, &server](const boost::system::error_code& ec) {
        if (ec)
            return;
        const std::lock_guard lock(m_mutex);
        ++server.incarnation;
        start(server, port);
    });
}

void StampedServers::setFatalPath(const std::string& path)
{
    const std::lock_guard lock(m_mutex);
    m_fatalPath = path;
}

unsigned StampedServers::ends() const
{
    const std::lock_guard lock(m_mutex);
    return m_ends;
}

std::uint16_t StampedServers::portOf(std::size_t server) const { return m_servers[server]->server->port(); }
std::uint16_t StampedServers::listPort() const { return m_list->port(); }

void StampedServers::setListedAddress(std::size_t server, const std::string& address)
{
    const std::lock_guard lock(m_mutex);
    m_servers[server]->listedAddress = address;
}

void StampedServers::setDataCentre(std::size_t server, const std::string& dataCentre)
{
    const std::lock_guard lock(m_mutex);
    m_servers[server]->dataCentre = dataCentre;
}

void StampedServers::set(std::size_t server, const ServerBehaviour& behaviour)
{
    const std::lock_guard lock(m_mutex);
    m_servers[server]->behaviour = behaviour;
}

void StampedServers::restart(std::size_t server)
{
    const std::lock_guard lock(m_mutex);
    ++m_servers[server]->incarnation;
}

void StampedServers::handle(Server& server, ExchangeId exchange, const RawRequest& request)
{
    const std::lock_guard lock(m_mutex);
    const std::string id { transport::findField(request.fields, platform::kRequestIdField).value_or("") };
    const std::string expected { transport::findField(request.fields, platform::kExpectedInstanceField).value_or("") };
    const ServerBehaviour& behaviour = server.behaviour;
    // A server that is down never answers, so that requests to it time out.
    if (behaviour.down)
        return;
    if (!expected.empty() && expected != server.instance()) {
        server.server->respond(exchange, { 421, { { std::string { platform::kNotExecutedField }, "1" } }, {} });
        return;
    }
    // The stride is coprime to 100, which spreads the faults evenly over the requests.
    const unsigned turn = server.turn++ * 37 % 100;
    if (turn < behaviour.rejectedPercent) {
        server.server->respond(exchange, { 503, { { std::string { platform::kNotExecutedField }, "1" } }, {} });
        return;
    }
    ++m_runs[id];
    m_lastFields = request.fields;
    if (!m_fatalPath.empty() && request.path() == m_fatalPath) {
        ++m_ends;
        asio::post(m_context, [this, &server] {
            const std::lock_guard lock(m_mutex);
            if (server.server)
                end(server);
        });
        return;
    }
    if (turn < behaviour.rejectedPercent + behaviour.abortedPercent)
        return;
    const bool hasWrongRequestId = turn < behaviour.rejectedPercent + behaviour.abortedPercent + behaviour.wrongRequestIdPercent;
    const unsigned faults = behaviour.rejectedPercent + behaviour.abortedPercent + behaviour.wrongRequestIdPercent;
    RawReply reply;
    reply.status = turn >= faults && turn < faults + behaviour.ownStatusPercent ? kNotRunStatuses[turn % kNotRunStatuses.size()] : 200;
    reply.fields = { { std::string { platform::kRequestIdField }, hasWrongRequestId ? "another" : id },
        { std::string { platform::kServerStampField }, fmt::format("{}|{}|{}", server.collection, server.instance(), id) } };
    if (behaviour.saysLeaving)
        reply.fields.emplace_back(platform::kLeavingField, "1");
    reply.body = recordsOf(server.collection, id);
    const std::shared_ptr<asio::steady_timer> timer = std::make_shared<asio::steady_timer>(m_context, behaviour.serviceTime);
    timer->async_wait([timer, exchange, reply, &server, ends = server.ends](const boost::system::error_code& ec) {
        if (!ec && server.server && server.ends == ends)
            server.server->respond(exchange, reply);
    });
}

std::string StampedServers::instanceListJson() const
{
    json::array instances;
    for (const std::unique_ptr<Server>& server : m_servers) {
        if (server->behaviour.down)
            continue;
        instances.push_back(json::object { { "id", server->instance() }, { "service", server->collection }, { "address", server->listedAddress }, { "zone", server->dataCentre },
            { "version", "v1" }, { "slots", 4 }, { "state", server->behaviour.leaving ? "draining" : "ready" }, { "coldLeftMs", 0 } });
    }
    // An entry that does not describe a server; readers must skip it.
    instances.push_back(json::object { { "id", 5 }, { "state", "unknown" } });
    return json::serialize(json::object { { "instances", std::move(instances) }, { "nextToken", nullptr } });
}

unsigned StampedServers::runsOf(const std::string& requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_runs.find(requestId);
    return it == m_runs.end() ? 0 : it->second;
}

transport::HttpFields StampedServers::lastFields() const
{
    const std::lock_guard lock(m_mutex);
    return m_lastFields;
}

unsigned StampedServers::maximumRuns(std::string_view prefix) const
{
    const std::lock_guard lock(m_mutex);
    unsigned most = 0;
    for (auto it = m_runs.lower_bound(std::string { prefix }); it != m_runs.end() && it->first.starts_with(prefix); ++it)
        most = std::max(most, it->second);
    return most;
}

std::string StampedServers::recordsOf(std::string_view collection, std::string_view requestId)
{
    std::string records;
    for (int n = 0; n < kRecordsPerReply; ++n)
        records += fmt::format("{:016x}", std::hash<std::string> {}(fmt::format("{}/{}/{}", collection, requestId, n)));
    return records;
}

std::string StampedServers::collectionOf(std::string_view stamp, std::string_view requestId)
{
    const std::size_t first = stamp.find('|');
    const std::size_t last = stamp.rfind('|');
    if (first == std::string_view::npos || first == last || stamp.substr(last + 1) != requestId)
        return {};
    return std::string { stamp.substr(0, first) };
}

} // namespace curranttrail::stand_ins
