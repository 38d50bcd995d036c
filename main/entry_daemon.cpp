#include "main/entry_daemon.h"

#include "core/random.h"
#include "main/backend_poller.h"
#include "main/entry_control.h"
#include "main/entry_membership.h"
#include "main/entry_usage.h"
#include "main/events.h"
#include "main/query_api.h"
#include "main/reducer_thread.h"
#include "main/server_directory.h"
#include "query/entry_reducer.h"
#include "transport/backend_client.h"
#include "transport/events.h"
#include "transport/frame_format.h"
#include "transport/frame_link.h"
#include "transport/http_router.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <future>
#include <thread>

namespace curranttrail {

namespace {

    // Interval at which a missing configuration is fetched from peers.
    constexpr Micros kConfigurationFetchInterval { 200'000 };
    constexpr Micros kMetricsInterval { 1'000'000 };
    // The instance is not ready if the reducer thread has not run its periodic task for this long.
    constexpr Micros kReducerStallTimeout { 3'000'000 };
    // Time before the end of a stop at which the last open queries are answered. In it their answers are sent, their claims settled and
    // their usage records delivered, at most as a part of the whole stop.
    constexpr Micros kReportingTime { 1'500'000 };
    constexpr int kReportingDivisor = 2;
    // Time after which an answer that is due has been handed over.
    constexpr Micros kAnswerMargin { 250'000 };
    // A configuration that is missing for this long after the start is logged.
    constexpr Micros kMissingConfigurationTimeout { 5'000'000 };

    Micros reportingTime(const EntrySettings& settings)
    {
        return std::min(kReportingTime, settings.stopTimeout / kReportingDivisor);
    }

    query::EntryOptions reducerOptions(const EntrySettings& settings)
    {
        query::EntryOptions options;
        options.name = settings.name;
        options.owner = settings.owner;
        options.dataCentre = settings.dataCentre;
        options.seed = generateSeed();
        options.distances = settings.distances;
        options.maximumQueries = settings.maximumQueries;
        options.drainTimeout = settings.stopTimeout - reportingTime(settings);
        options.fingerprintKey = transport::hmac(transport::readClusterKey(settings.clusterKeyFile), "query fingerprints");
        return options;
    }

    // Returns true if the condition holds before the deadline.
    template <typename Condition>
    bool waitUntil(TimePoint deadline, Condition condition)
    {
        while (!condition()) {
            if (transport::monotonicNow() >= deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
        }
        return true;
    }

} // namespace

struct EntryDaemon::Implementation {
    Implementation(const EntrySettings& entrySettings, transport::EventSink& eventSink)
        : settings(entrySettings)
        , sink(eventSink)
        , threads(settings.threads)
        , reducer(reducerOptions(settings))
        , queryApi(settings.callers, metrics, [this](query::Event event) { post(std::move(event)); })
        , control(
              settings, incarnation, sink, reducers, [this](const std::shared_ptr<const ClassTable>& classes, TimePoint now) { applyConfiguration(classes, now); },
              [this](const OwnerName& owner, TimePoint now) { handle(query::ConfigurationConfirmed { owner }, now); })
        , backends(threads, { fmt::format("{}-{:x}", settings.name, incarnation) }, sink, metrics, [this](query::Event event) { post(std::move(event)); })
        , poller(threads, { settings.platform, settings.instancesInterval, settings.reportInterval, settings.pollTimeout, generateSeed() }, directory, sink,
              [this](query::Event event) { post(std::move(event)); })
        , membership(settings, incarnation, control.clusterKey(), control.framesPort(), threads, sink, reducers, membershipCallbacks())
    {
        if (!settings.usageKeyFile.empty())
            usage.emplace(settings, incarnation, sink, reducers, control);
        reducers.addWakeup([this] { return reducer.nextWakeup(); }, [this](TimePoint now) { handle(query::Tick {}, now); });
        reducers.addWakeup([this] { return nextFetchAt; }, [this](TimePoint now) { fetchMissingConfigurations(now); });
        reducers.addWakeup([this] { return nextMetricsAt; }, [this](TimePoint now) { updateMetrics(now); });
        router.add("POST", "/v1/query", [this](const transport::HttpRequest& request, const transport::Responder& responder) { handleQuery(request, responder); });
        transport::addHealthRoutes(router, sink, metrics, [this] { return notReadyReason(); });
        server.emplace(threads, settings.http, router);
    }

    EntryMembership::Callbacks membershipCallbacks()
    {
        EntryMembership::Callbacks callbacks;
        callbacks.higherVersion = [this](const InstanceName& holder, const transport::Endpoint& address) { control.fetchFrom(holder, address); };
        callbacks.serverLeaving = [this](const std::string& name) {
            if (const std::optional<ServerId> id = directory.idOf(name))
                post(query::PeerReportedLeaving { *id });
        };
        callbacks.crashRecords = [this](std::vector<policy::CrashRecord> records, TimePoint now) { handle(query::CrashRecordsReceived { std::move(records) }, now); };
        callbacks.holdersChanged = [this](std::vector<InstanceName> holders, TimePoint now) {
            handle(query::EntryInstancesChanged { settings.name, std::move(holders) }, now);
        };
        return callbacks;
    }

    void post(query::Event event)
    {
        reducers.post([this, event = std::move(event)](TimePoint now) { handle(event, now); });
    }

    // Runs on the reducer thread, like all functions below except handleQuery(), notReadyReason() and stop().
    void handle(const query::Event& event, TimePoint now)
    {
        for (query::Effect& effect : reducer.handle(event, now))
            std::visit([this, now](auto& e) { execute(e, now); }, effect);
        shareCrashes(now);
        updateReadiness();
    }

    // Tells the other entry instances what has changed about queries that end servers.
    void shareCrashes(TimePoint now)
    {
        const policy::CrashTable& crashes = reducer.crashes();
        if (crashes.revision() == sharedCrashRevision)
            return;
        std::vector<policy::CrashRecord> changes = crashes.changesSince(std::exchange(sharedCrashRevision, crashes.revision()), crashes.size());
        if (!changes.empty())
            membership.announceCrashes(std::move(changes), now);
    }

    void execute(const query::OpenConnection& effect, TimePoint)
    {
        if (const std::optional<transport::Endpoint> address = directory.addressOf(effect.server))
            backends.open(effect, *address);
        else
            post(query::ConnectionLost { effect.connection });
    }

    void execute(const query::CloseConnection& effect, TimePoint) { backends.close(effect); }
    void execute(const query::SendSubquery& effect, TimePoint) { backends.send(effect); }

    void execute(const query::CancelSubquery& effect, TimePoint)
    {
        if (const std::optional<transport::Endpoint> address = directory.addressOf(effect.server))
            backends.cancel(effect, *address);
    }

    void execute(const query::RequestClaim& effect, TimePoint)
    {
        control.claim(effect, [this](query::ClaimResolved resolved) { post(resolved); });
    }

    void execute(const query::SettleClaim& effect, TimePoint) { control.settle(effect); }

    // Answers are encoded on the I/O threads to relieve the reducer thread.
    void execute(query::SendAnswer& effect, TimePoint)
    {
        threads.post([this, answer = std::make_shared<query::SendAnswer>(std::move(effect))] { queryApi.answer(*answer); });
    }

    void execute(const query::SendRefusal& effect, TimePoint) { queryApi.refuse(effect); }

    void execute(const query::RecordUsage& effect, TimePoint now)
    {
        if (usage)
            usage->record(effect, now);
    }

    void execute(const query::AnnounceLeaving& effect, TimePoint now) { membership.announceLeaving(directory.nameOf(effect.server), now); }
    void execute(const query::DrainComplete&, TimePoint) { drained = true; }
    void execute(const LogEvent& effect, TimePoint) { sink.log(effect); }

    void applyConfiguration(const std::shared_ptr<const ClassTable>& classes, TimePoint now)
    {
        handle(query::ConfigurationChanged { classes }, now);
        membership.setVersions(control.versions(), now);
    }

    void updateReadiness()
    {
        const bool isReady = reducer.isReady() && control.hasAccepted(settings.owner);
        control.setServing(isReady && !draining);
        if (ready.exchange(isReady) == isReady)
            return;
        if (isReady)
            sink.log(events::kReady);
        else if (!draining)
            sink.log(events::kNotReady);
    }

    // Fetches configurations from peers until those of all owners have been accepted.
    void fetchMissingConfigurations(TimePoint now)
    {
        nextFetchAt = now + kConfigurationFetchInterval;
        bool complete = control.hasAccepted(settings.owner);
        for (const PartnerInstance& instance : settings.control)
            complete = complete && control.hasAccepted(instance.owner);
        if (complete)
            return;
        for (const auto& [name, address] : membership.dataCentrePeers())
            control.fetchFrom(name, address);
        for (const transport::Endpoint& seed : settings.seeds)
            control.fetchFrom("seed", seed);
        if (!isMissingConfigurationLogged && now - startedAt >= kMissingConfigurationTimeout && !control.hasAccepted(settings.owner)) {
            isMissingConfigurationLogged = true;
            sink.log(events::kConfigurationUnavailable, { { "owner", settings.owner } });
        }
    }

    void updateMetrics(TimePoint now)
    {
        nextMetricsAt = now + kMetricsInterval;
        lastReducerTick = now;
        const query::EntryMetrics current = reducer.metrics();
        metrics.gauge("curranttrail_queries_in_flight", "Queries without an answer.").set(static_cast<double>(current.queries));
        metrics.gauge("curranttrail_attempts_in_flight", "Subqueries without a reply.").set(static_cast<double>(current.attempts));
        metrics.gauge("curranttrail_backend_connections", "Connections to backend servers.").set(static_cast<double>(current.connections));
        metrics.gauge("curranttrail_backend_servers", "Backend servers listed by the platform.").set(static_cast<double>(current.servers));
        metrics.gauge("curranttrail_backend_servers_leaving", "Backend servers that get no new work.").set(static_cast<double>(current.leavingServers));
        metrics.gauge("curranttrail_claims_awaited", "Claims without an answer.").set(static_cast<double>(current.claimsAwaited));
        metrics.gauge("curranttrail_settlements_open", "Outcomes of claims that are not recorded yet.").set(static_cast<double>(control.openSettlements()));
        metrics.gauge("curranttrail_servers_ended", "Backend servers that ended under attempts since the start.").set(static_cast<double>(current.serversEnded));
        metrics.gauge("curranttrail_crash_records", "Queries under which backend servers ended, as far as they are remembered.").set(static_cast<double>(current.crashRecords));
        metrics.gauge("curranttrail_ready", "1 if the instance is ready for traffic.").set(ready && !draining ? 1 : 0);
        for (const auto& [owner, version] : control.versions())
            metrics.gauge("curranttrail_configuration_version", "Configuration version in force.", { { "owner", owner } }).set(static_cast<double>(version.value));
    }

    void handleQuery(const transport::HttpRequest& request, const transport::Responder& responder)
    {
        if (ready || draining) {
            queryApi.handle(request, responder);
            return;
        }
        transport::HttpResponse response;
        response.status = 503;
        response.body = transport::refusalBody(nameOf(query::kRefusalReasonNames, query::RefusalReason::NotReady), "not_run", "the instance has no configuration or no server list yet");
        responder.send(std::move(response));
    }

    std::optional<std::string> notReadyReason() const
    {
        if (draining)
            return "draining";
        if (transport::monotonicNow() - lastReducerTick.load() > kReducerStallTimeout)
            return "the reducer thread does not respond";
        return ready ? std::nullopt : std::optional<std::string> { "no configuration or no server list yet" };
    }

    void start()
    {
        startedAt = transport::monotonicNow();
        lastReducerTick = startedAt;
        nextFetchAt = startedAt;
        nextMetricsAt = startedAt;
        control.start();
        reducers.start();
        poller.start();
        sink.log(transport::events::kListening, { { "http", std::to_string(server->port()) }, { "frames", std::to_string(control.framesPort()) } });
    }

    bool stop()
    {
        draining = true;
        sink.log(events::kDraining);
        server->retireConnections();
        reducers.post([this](TimePoint now) {
            control.setServing(false);
            membership.leave(now);
        });
        std::this_thread::sleep_for(settings.drainPause);
        post(query::DrainRequested {});
        const TimePoint deadline = transport::monotonicNow() + settings.stopTimeout;
        waitUntil(std::min(deadline, deadline - reportingTime(settings) + kAnswerMargin), [this] { return drained.load() && queryApi.pending() == 0; });
        const bool isAnswered = queryApi.pending() == 0;
        if (!isAnswered)
            queryApi.refusePending();
        if (usage)
            reducers.post([this](TimePoint now) { usage->stop(now); });
        std::promise<void> connectionsClosed;
        // Answers that are still being written get the remaining time, but at least one second.
        const Micros left = std::max(deadline - transport::monotonicNow(), Micros { 1'000'000 });
        server->stop(std::chrono::duration_cast<std::chrono::milliseconds>(left), [&connectionsClosed] { connectionsClosed.set_value(); });
        connectionsClosed.get_future().wait();
        const bool isReported = waitUntil(deadline, [this] { return drained.load() && control.openSettlements() == 0 && (!usage || usage->stopped()); });
        const bool complete = isAnswered && isReported;
        if (!complete)
            sink.log(events::kDrainTimedOut, { { "settlements", std::to_string(control.openSettlements()) } });
        close();
        return complete;
    }

    // Stops all threads, so that no callback reaches a destroyed object.
    void close()
    {
        if (closed)
            return;
        closed = true;
        threads.stop();
        reducers.stop();
        control.stop();
        queryApi.refusePending();
    }

    const EntrySettings settings;
    transport::EventSink& sink;
    const std::uint64_t incarnation = static_cast<std::uint64_t>(transport::wallClockNow());
    transport::Metrics metrics;
    transport::IoThreads threads;
    ReducerThread reducers;
    query::EntryReducer reducer;
    ServerDirectory directory;
    QueryApi queryApi;
    EntryControl control;
    transport::BackendClient backends;
    BackendPoller poller;
    EntryMembership membership;
    std::optional<EntryUsage> usage;
    transport::HttpRouter router;
    std::optional<transport::HttpServer> server;
    TimePoint startedAt;
    TimePoint nextFetchAt;
    TimePoint nextMetricsAt;
    bool isMissingConfigurationLogged = false;
    bool closed = false;
    // Revision of the reducer's crash table that the other instances were told.
    std::uint64_t sharedCrashRevision = 0;
    // Time of the last periodic task of the reducer thread.
    std::atomic<TimePoint> lastReducerTick { TimePoint {} };
    std::atomic<bool> ready { false };
    std::atomic<bool> draining { false };
    std::atomic<bool> drained { false };
};

EntryDaemon::EntryDaemon(const EntrySettings& settings, transport::EventSink& sink)
    : m_implementation(std::make_unique<Implementation>(settings, sink))
{
}

EntryDaemon::~EntryDaemon()
{
    m_implementation->close();
}

void EntryDaemon::start()
{
    m_implementation->start();
}

bool EntryDaemon::stop()
{
    return m_implementation->stop();
}

std::uint16_t EntryDaemon::httpPort() const
{
    return m_implementation->server->port();
}

std::uint16_t EntryDaemon::framesPort() const
{
    return m_implementation->control.framesPort();
}

std::optional<std::string> EntryDaemon::notReadyReason() const
{
    return m_implementation->notReadyReason();
}

} // namespace curranttrail
