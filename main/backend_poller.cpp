#include "main/backend_poller.h"

#include "transport/events.h"

#include <boost/random/uniform_int_distribution.hpp>

namespace curranttrail {

using transport::HttpRequest;
using transport::HttpResult;

namespace {

    HttpRequest get(std::string path)
    {
        HttpRequest request;
        request.path = std::move(path);
        // The connection is closed after each poll, so that a poll uses one of the server's connections only while it runs.
        request.fields.emplace_back("Connection", "close");
        return request;
    }

    std::string reasonOf(const HttpResult& result)
    {
        return result.answered ? "status " + std::to_string(result.response.status) + " or malformed" : result.error;
    }

} // namespace

BackendPoller::BackendPoller(transport::IoThreads& threads, PollOptions options, ServerDirectory& directory, transport::EventSink& sink, EventCallback post)
    : m_threads(threads)
    , m_options(std::move(options))
    , m_directory(directory)
    , m_sink(sink)
    , m_post(std::move(post))
    , m_client(threads, {})
    , m_random(m_options.seed)
{
}

BackendPoller::~BackendPoller() = default;

void BackendPoller::start()
{
    pollInstances();
    m_threads.after(m_options.reportInterval, [this] { pollReports(); });
}

void BackendPoller::pollInstances()
{
    m_client.request(m_options.platform, get("/v1/instances"), m_options.timeout, [this](const HttpResult& result) {
        handleInstances(result);
        m_threads.after(m_options.instancesInterval, [this] { pollInstances(); });
    });
}

void BackendPoller::handleInstances(const HttpResult& result)
{
    std::optional<std::vector<transport::PlatformServer>> servers;
    if (result.answered && result.response.status == 200)
        servers = transport::parseInstances(result.response.body);
    recordPollResult("platform", servers.has_value(), reasonOf(result));
    if (!servers)
        return;
    std::set<ServerId> known;
    for (const auto& [server, address] : m_directory.servers())
        known.insert(server);
    std::optional<query::ServerListChanged> list = m_directory.update(*servers);
    if (!list)
        return;
    m_post(std::move(*list));
    // The shards of a new server are unknown until its first report, so it is polled at once.
    for (const auto& [server, address] : m_directory.servers()) {
        if (!known.contains(server))
            pollReport(server, address);
    }
}

void BackendPoller::pollReports()
{
    {
        const std::lock_guard lock(m_mutex);
        boost::random::uniform_int_distribution<std::int64_t> delay(0, m_options.reportInterval.count());
        for (const auto& [server, address] : m_directory.servers())
            m_threads.after(Micros { delay(m_random) }, [this, server = server, address = address] { pollReport(server, address); });
    }
    m_threads.after(m_options.reportInterval, [this] { pollReports(); });
}

void BackendPoller::pollReport(ServerId server, const transport::Endpoint& address)
{
    m_client.request(address, get("/v1/report"), m_options.timeout, [this, server](const HttpResult& result) {
        std::optional<query::ServerReport> report;
        if (result.answered && result.response.status == 200)
            report = transport::parseReport(result.response.body);
        recordPollResult(m_directory.nameOf(server), report.has_value(), reasonOf(result));
        if (!report)
            return;
        report->server = server;
        m_post(std::move(*report));
    });
}

void BackendPoller::recordPollResult(const std::string& source, bool succeeded, const std::string& reason)
{
    {
        const std::lock_guard lock(m_mutex);
        const bool changed = succeeded ? m_failingSources.erase(source) > 0 : m_failingSources.insert(source).second;
        if (!changed)
            return;
    }
    if (succeeded)
        m_sink.log(transport::events::kPollRecovered, { { "source", source } });
    else
        m_sink.log(transport::events::kPollFailed, { { "source", source }, { "reason", reason } });
}

} // namespace curranttrail
