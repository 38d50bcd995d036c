#include "main/control_daemon.h"

#include "core/random.h"
#include "main/control_api.h"
#include "main/control_links.h"
#include "main/control_runtime.h"
#include "main/events.h"
#include "main/usage_keys.h"
#include "main/usage_ledger.h"
#include "main/version_report_table.h"
#include "transport/http_router.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"

#include <future>

namespace curranttrail {

struct ControlDaemon::Implementation {
    Implementation(const ControlSettings& settings, transport::EventSink& eventSink)
        : sink(eventSink)
        , links(settings, sink, versionReports)
        , runtime(reducerOptions(settings), settings.dataFolder, sink,
              [this](const InstanceName& to, const control::PeerMessage& message) { links.sendToPeer(to, message); })
        , usageLedger(makeUsageLedger(settings))
        , api(settings, sink, runtime, links, versionReports, usageLedger.get())
    {
        api.addRoutes(router);
        transport::addHealthRoutes(router, sink, metrics, [this] { return notReadyReason(); });
        transport::HttpServerOptions options;
        options.bind = settings.http;
        options.maximumBodyBytes = 65'536;
        server.emplace(threads, options, [this](transport::HttpRequest request, const transport::Responder& responder) {
            router(std::move(request), responder);
        });
    }

    static control::ControlOptions reducerOptions(const ControlSettings& settings)
    {
        control::ControlOptions options;
        options.name = settings.name;
        options.owner = settings.owner;
        options.initialVoters.insert(settings.name);
        for (const GroupPeer& peer : settings.peers)
            options.initialVoters.insert(peer.name);
        options.seed = generateSeed();
        options.bootstrap = settings.bootstrap;
        return options;
    }

    std::unique_ptr<UsageLedger> makeUsageLedger(const ControlSettings& settings)
    {
        if (settings.usage.keyFile.empty())
            return nullptr;
        return std::make_unique<UsageLedger>(usageLedgerOptions(settings), storage::makePosixFileSystem(settings.dataFolder + "/usage"), sink,
            [this](const InstanceName& to, std::string message) { links.sendToLedger(to, std::move(message)); });
    }

    UsageHandlers usageHandlers()
    {
        if (!usageLedger)
            return {};
        return { [this](const std::string& batch, const transport::FrameResponder& respond) { usageLedger->ship(batch, respond); },
            [this](const InstanceName& from, const std::string& message) { usageLedger->receive(from, message); } };
    }

    // Evaluated on the control thread, so that an instance whose control thread hangs is not ready.
    std::optional<std::string> notReadyReason()
    {
        const std::shared_ptr<std::promise<std::optional<std::string>>> promise = std::make_shared<std::promise<std::optional<std::string>>>();
        std::future<std::optional<std::string>> reason = promise->get_future();
        runtime.view([promise](const control::ControlReducer& reducer, TimePoint now) {
            const control::ReplicaStatus status = reducer.status(now);
            if (status.repairing)
                promise->set_value("this replica is being repaired");
            else if (status.storageFailed)
                promise->set_value("the journal cannot be written");
            else if (!status.leader)
                promise->set_value("no leader is known");
            else
                promise->set_value(std::nullopt);
        });
        if (reason.wait_for(std::chrono::seconds { 1 }) != std::future_status::ready)
            return "the control thread does not answer";
        return reason.get();
    }

    transport::EventSink& sink;
    transport::Metrics metrics;
    // Destroyed after everything that may hold a responder, which refers to the I/O context.
    transport::IoThreads threads { 2 };
    VersionReportTable versionReports;
    ControlLinks links;
    ControlRuntime runtime;
    std::unique_ptr<UsageLedger> usageLedger;
    ControlApi api;
    transport::HttpRouter router;
    std::optional<transport::HttpServer> server;
};

ControlDaemon::ControlDaemon(const ControlSettings& settings, transport::EventSink& sink)
    : m_implementation(std::make_unique<Implementation>(settings, sink))
{
}

ControlDaemon::~ControlDaemon()
{
    stop(std::chrono::milliseconds { 0 });
}

std::uint16_t ControlDaemon::httpPort() const
{
    return m_implementation->server->port();
}

std::uint16_t ControlDaemon::groupPort() const
{
    return m_implementation->links.groupPort();
}

std::uint16_t ControlDaemon::framesPort() const
{
    return m_implementation->links.framesPort();
}

void ControlDaemon::start(const std::vector<GroupPeer>& peers)
{
    m_implementation->links.start(m_implementation->runtime, peers, m_implementation->usageHandlers());
    m_implementation->runtime.start();
    if (m_implementation->usageLedger)
        m_implementation->usageLedger->start();
    m_implementation->sink.log(events::kReady, { { "http_port", std::to_string(httpPort()) }, { "frames_port", std::to_string(framesPort()) } });
}

void ControlDaemon::stop(std::chrono::milliseconds limit)
{
    if (!m_implementation->server)
        return;
    const std::shared_ptr<std::promise<void>> idle = std::make_shared<std::promise<void>>();
    std::future<void> done = idle->get_future();
    m_implementation->server->stop(limit, [idle] { idle->set_value(); });
    if (limit.count() > 0 && done.wait_for(limit + std::chrono::seconds { 1 }) != std::future_status::ready)
        m_implementation->sink.log(events::kDrainTimedOut);
    m_implementation->server.reset();
    m_implementation->threads.stop();
    m_implementation->runtime.stop();
    if (m_implementation->usageLedger)
        m_implementation->usageLedger->stop();
    m_implementation->links.stop();
}

} // namespace curranttrail
