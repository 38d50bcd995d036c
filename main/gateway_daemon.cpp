#include "main/gateway_daemon.h"

#include "core/random.h"
#include "core/request_fingerprint.h"
#include "main/control_feed.h"
#include "main/events.h"
#include "main/feed_events.h"
#include "main/gateway_metrics.h"
#include "main/settings_change.h"
#include "platform/http_fields.h"
#include "platform/http_names.h"
#include "platform/route_document_json.h"
#include "policy/isolation_detector.h"
#include "policy/suspension_detector.h"
#include "routing/router.h"
#include "transport/frame_format.h"
#include "transport/metrics.h"
#include "transport/raw_http_client.h"
#include "transport/raw_http_server.h"
#include "transport/relay_server.h"

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <optional>
#include <unordered_map>
#include <utility>

namespace curranttrail {

namespace asio = boost::asio;
using transport::ExchangeId;
using transport::RawReply;
using transport::RawRequest;

namespace {
    // The load balancer polls readiness once a second and removes an instance after two failed polls.
    constexpr Micros kBalancerRemovalDelay { 2'300'000 };
    // Requests that are still unanswered this long before the end of the grace period are refused.
    constexpr Micros kFinalAnswerLeadTime { 300'000 };
    // The process ends this long before the end of the grace period even if answers are still being written.
    constexpr Micros kForcedStopLeadTime { 100'000 };
    // No connection is accepted any more this long before the end of the grace period.
    constexpr Micros kAcceptLeadTime { 1'800'000 };
    // A connection that was accepted or answered so recently is not closed as idle while this instance stops.
    constexpr Micros kMinimumIdleTime { 500'000 };
    constexpr std::chrono::milliseconds kStopCheckInterval { 50 };

    struct Refusal {
        unsigned status;
        std::string_view error;
    };

    // A status that implies that the request did not run is used only if that is certain.
    Refusal refusalOf(const routing::RefuseRequest& refusal)
    {
        if (refusal.reason == routing::RefusalReason::NoRoute)
            return { 404, "no_route" };
        if (refusal.reason == routing::RefusalReason::UnknownKey)
            return { 401, "unknown_key" };
        if (refusal.reason == routing::RefusalReason::QuotaUsedUp)
            return { 429, "quota_used_up" };
        // Callers repeat a request after a server error or a 503, but not after this status.
        if (refusal.reason == routing::RefusalReason::RequestBlocked)
            return { 400, "request_blocked" };
        if (refusal.notRun)
            return { 503, nameOf(routing::kRefusalReasonNames, refusal.reason) };
        if (refusal.reason == routing::RefusalReason::TimedOut || refusal.reason == routing::RefusalReason::Stopping)
            return { 504, nameOf(routing::kRefusalReasonNames, refusal.reason) };
        return { 502, nameOf(routing::kRefusalReasonNames, refusal.reason) };
    }
}

struct GatewayDaemon::Implementation {
    // A caller's request in flight.
    struct Exchange {
        RawRequest request;
        std::string requestId;
        transport::HttpFields forwarded;
        TimePoint arrivedAt;
    };

    // The attempt in flight on a connection to a backend server.
    struct InFlightAttempt {
        AttemptId attempt;
        std::string requestId;
    };

    Implementation(const GatewaySettings& given, transport::EventSink& eventSink)
        : settings(given)
        , sink(eventSink)
        , hasher(transport::hmac(given.groupConnection.linkKey, "request fingerprints"))
        , router(routerOptions(given))
        , timer(context)
        , stopTimer(context)
        , client(context, clientHandlers())
        , callers(context, given.callers, callerHandlers())
        , ready(context, given.ready, readyHandlers())
        , latency(metrics.latency("curranttrail_request_latency_seconds", "Time from the whole request to its answer."))
    {
        suspendedSinceLastLook();
        if (settings.metrics.port != 0)
            metricsServer.emplace(context, settings.metrics, metricsHandlers());
        if (settings.relay.port != 0)
            startRelay();
    }

    static routing::RouterOptions routerOptions(const GatewaySettings& settings)
    {
        routing::RouterOptions options;
        options.name = settings.name;
        options.dataCentre = settings.dataCentre;
        options.seed = generateSeed();
        options.additionalAttempts = settings.additionalAttempts;
        options.keyRevocationLimit = settings.keyRevocationLimit;
        return options;
    }

    void startRelay()
    {
        relay.emplace(context, settings.relay, settings.groupConnection.linkKey, [this](const std::string& address) { return !stopping && router.canRelayTo(address); });
        relay->setRequestPermission([this](const std::string& address) { return !router.isEvacuated(address); });
    }

    transport::RawHttpServer::Handlers callerHandlers()
    {
        transport::RawHttpServer::Handlers handlers;
        handlers.request = [this](ExchangeId exchange, RawRequest request, transport::RawRequestInfo arrival) { arrived(exchange, std::move(request), arrival); };
        handlers.disconnected = [this](ExchangeId exchange) {
            exchanges.erase(exchange.value);
            dispatch(routing::CallerDisconnected { { exchange.value } });
        };
        return handlers;
    }

    transport::RawHttpServer::Handlers readyHandlers()
    {
        transport::RawHttpServer::Handlers handlers;
        handlers.request = [this](ExchangeId exchange, const RawRequest& request, transport::RawRequestInfo) {
            RawReply reply;
            reply.status = request.path() != platform::kReadyPath ? 404 : (isReady() ? 200 : 503);
            ready.respond(exchange, reply);
        };
        handlers.disconnected = [](ExchangeId) {};
        return handlers;
    }

    transport::RawHttpServer::Handlers metricsHandlers()
    {
        transport::RawHttpServer::Handlers handlers;
        handlers.request = [this](ExchangeId exchange, const RawRequest&, transport::RawRequestInfo) {
            RawReply reply;
            reply.status = 200;
            reply.fields = { { "Content-Type", "text/plain; version=0.0.4" } };
            reply.body = metricsText();
            metricsServer->respond(exchange, reply);
        };
        handlers.disconnected = [](ExchangeId) {};
        return handlers;
    }

    transport::RawHttpClient::Handlers clientHandlers()
    {
        transport::RawHttpClient::Handlers handlers;
        handlers.opened = [this](ConnectionId connection) { dispatch(routing::ConnectionOpened { connection }); };
        handlers.disconnected = [this](ConnectionId connection, std::string reason) { dispatch(routing::ConnectionLost { connection, std::move(reason) }); };
        handlers.relayFailed = [this](ConnectionId connection, std::string reason) { dispatch(routing::ConnectionLost { connection, std::move(reason), true }); };
        handlers.belongsToRequest = [this](ConnectionId connection, const RawReply& reply) { return belongsToRequest(connection, reply); };
        handlers.replied = [this](ConnectionId connection, RawReply reply, bool connectionClosed) { replied(connection, std::move(reply), connectionClosed); };
        handlers.requestFailed = [this](ConnectionId connection, std::string reason) {
            const auto it = inFlightAttempts.find(connection);
            if (it == inFlightAttempts.end())
                return;
            const AttemptId attempt = it->second.attempt;
            inFlightAttempts.erase(it);
            dispatch(routing::AttemptConnectionLost { attempt, std::move(reason) });
        };
        return handlers;
    }

    bool isReady() const { return router.hasDocument() && hasServerList && !stopping && !isolation.isIsolated(); }

    void updateReadiness()
    {
        const bool now = isReady();
        if (now == wasReady)
            return;
        wasReady = now;
        // Open connections are closed with their next answer, so that their callers connect to another instance.
        callers.retireConnections(!now);
        sink.log(now ? events::kReady : events::kNotReady, { { "version", fmt::to_string(router.documentVersion()) }, { "listed", hasServerList ? "true" : "false" }, { "stopping", stopping ? "true" : "false" }, { "isolated", isolation.isIsolated() ? "true" : "false" } });
    }

    void arrived(ExchangeId exchange, RawRequest request, transport::RawRequestInfo arrival)
    {
        platform::CallerFields caller = platform::decodeCaller(request.fields);
        const bool hasAccounts = router.hasAccounts();
        const std::optional<KeyDigest> key = hasAccounts ? platform::keyDigestOf(request.fields) : std::nullopt;
        // No key goes into what instances share.
        if (hasAccounts) {
            const routing::ClientAccount* account = router.findAccount(key);
            caller.account = account ? account->name : std::string {};
        }
        const RequestFingerprint fingerprint = hasher.fingerprint({ request.method, caller.host, request.target, caller.account, request.body });
        routing::RequestArrived event { { exchange.value }, caller.requestId, std::move(caller.host), std::string { request.path() }, caller.timeout, arrival.roundTrip, arrival.firstOnConnection, fingerprint, key };
        Exchange& entry = exchanges[exchange.value];
        entry.forwarded = platform::forwardedFields(request.fields, hasAccounts);
        entry.requestId = std::move(caller.requestId);
        entry.request = std::move(request);
        entry.arrivedAt = transport::monotonicNow();
        dispatch(event);
    }

    bool belongsToRequest(ConnectionId connection, const RawReply& reply)
    {
        const auto it = inFlightAttempts.find(connection);
        const std::optional<std::string_view> requestId = platform::requestIdOf(reply);
        if (it == inFlightAttempts.end() || !requestId || *requestId == it->second.requestId)
            return true;
        sink.log(events::kForeignReplyDropped, { { "request", it->second.requestId }, { "reply_to", std::string { *requestId } }, { "status", fmt::to_string(reply.status) } });
        return false;
    }

    void replied(ConnectionId connection, RawReply reply, bool connectionClosed)
    {
        const auto it = inFlightAttempts.find(connection);
        if (it == inFlightAttempts.end())
            return;
        const InFlightAttempt inFlight = std::move(it->second);
        inFlightAttempts.erase(it);
        routing::ReplyHeader header = platform::decodeReplyHeader(reply);
        routing::AttemptReplied event { inFlight.attempt, {} };
        event.reply.kind = routing::classifyReply(header, inFlight.requestId);
        event.reply.status = reply.status;
        event.reply.stamp = std::move(header.stamp).value_or("");
        event.reply.load = header.load;
        event.reply.limit = header.limit;
        event.reply.rest = header.rest;
        event.reply.coldRemaining = header.coldRemaining;
        event.reply.isLeaving = header.leaving;
        event.reply.fields = std::move(reply.fields);
        event.reply.body = std::move(reply.body);
        event.reply.connectionClosed = connectionClosed;
        dispatch(event);
    }

    Micros suspendedSinceLastLook()
    {
        for (;;) {
            const TimePoint before = transport::monotonicNow();
            const TimePoint bootTime = transport::bootTimeNow();
            if (const std::optional<Micros> duration = suspension.observe({ before, bootTime, transport::monotonicNow() }))
                return *duration;
        }
    }

    void dispatch(const routing::Event& event)
    {
        // Only decisions on accounts depend on the time of a suspension.
        if (router.hasAccounts()) {
            if (const Micros duration = suspendedSinceLastLook(); duration.count() > 0)
                handle(routing::ProcessSuspended { duration });
        }
        handle(event);
        shareCrashes();
        schedule();
    }

    void handle(const routing::Event& event)
    {
        for (routing::Effect& effect : router.handle(event, transport::monotonicNow()))
            std::visit([this](auto& content) { run(content); }, effect);
    }

    void shareCrashes()
    {
        const policy::CrashTable& crashes = router.crashes();
        if (crashes.revision() == sharedCrashRevision || !controlFeed)
            return;
        controlFeed->shareCrashes(crashes.changesSince(sharedCrashRevision, crashes.size()));
        sharedCrashRevision = crashes.revision();
    }

    // Rearms the timer only if it would expire too late, because an early tick costs less than cancelling a timer.
    void schedule()
    {
        const TimePoint wakeup = router.nextWakeup();
        if (timerSet && timerExpiry <= wakeup)
            return;
        timerSet = true;
        timerExpiry = wakeup;
        timer.expires_at(wakeup);
        timer.async_wait([this](const boost::system::error_code& ec) {
            if (ec)
                return;
            timerSet = false;
            dispatch(routing::Tick {});
            const TimePoint now = transport::monotonicNow();
            isolation.recordOtherDataCentres(router.servers().otherDataCentresAreSilent(now), now);
            updateReadiness();
        });
    }

    void run(const routing::OpenConnection& effect)
    {
        if (effect.relay.empty())
            client.open(effect.connection, effect.address);
        else
            client.openThroughRelay(effect.connection, effect.address, effect.relay, settings.groupConnection.linkKey);
    }

    void run(const routing::CloseConnection& effect)
    {
        inFlightAttempts.erase(effect.connection);
        client.close(effect.connection);
    }

    void run(const routing::SendAttempt& effect)
    {
        const Exchange& exchange = exchanges.at(effect.request.value);
        transport::HttpFields fields = exchange.forwarded;
        platform::addAttemptFields(fields, effect.remaining, effect.instance, effect.account);
        inFlightAttempts[effect.connection] = { effect.attempt, exchange.requestId };
        client.send(effect.connection, transport::serializeRequest(exchange.request, fields), exchange.request.method != "HEAD");
    }

    void run(routing::AnswerReply& effect)
    {
        recordRequestOutcome(true);
        RawReply reply;
        reply.status = effect.reply.status;
        reply.fields = platform::returnedFields(effect.reply.fields);
        reply.body = std::move(effect.reply.body);
        answer(effect.request, reply);
    }

    void run(routing::AnswerMerged& effect)
    {
        recordRequestOutcome(true);
        RawReply reply;
        reply.status = 200;
        reply.fields = platform::mergedReplyFields(effect.stamps, effect.missing);
        reply.body = std::move(effect.body);
        answer(effect.request, reply);
    }

    void recordRequestOutcome(bool served, std::size_t unanswered = 0)
    {
        isolation.recordRequestOutcome(served, transport::monotonicNow(), unanswered);
        updateReadiness();
    }

    void run(const routing::RefuseRequest& effect)
    {
        using routing::RefusalReason;
        if (effect.reason == RefusalReason::NoServer || effect.reason == RefusalReason::AttemptsFailed || effect.reason == RefusalReason::TimedOut)
            recordRequestOutcome(effect.withheldStatus.has_value(), effect.unanswered);
        const Refusal refusal = refusalOf(effect);
        RawReply reply;
        reply.status = refusal.status;
        reply.fields = effect.reason == RefusalReason::UnknownKey ? platform::keyRequestFields() : transport::HttpFields {};
        reply.fields.emplace_back("Content-Type", "application/json");
        if (effect.retryAfter) {
            const TimePoint now = transport::monotonicNow();
            const Micros delay = *effect.retryAfter + std::max(isolation.timeUntilRemoved(kBalancerRemovalDelay, now), timeUntilRemoved(now));
            reply.fields.emplace_back("Retry-After", fmt::format("{:.3f}", static_cast<double>(delay.count()) / 1e6));
        }
        reply.body = transport::refusalBody(refusal.error, effect.notRun ? "not_run" : "may_have_run", nameOf(routing::kRefusalReasonNames, effect.reason));
        answer(effect.request, reply);
    }

    void run(const routing::ReportQuotas& effect)
    {
        if (controlFeed)
            controlFeed->reportQuotas(effect.report);
        else
            asio::post(context, [this] { dispatch(routing::QuotasReplied {}); });
    }

    void run(const LogEvent& event) { sink.log(event); }

    void answer(routing::RequestKey key, const RawReply& reply)
    {
        const auto it = exchanges.find(key.value);
        if (it == exchanges.end())
            return;
        latency.record(std::chrono::duration_cast<std::chrono::microseconds>(transport::monotonicNow() - it->second.arrivedAt));
        exchanges.erase(it);
        callers.respond({ key.value }, reply);
    }

    void applyEntryInstances(const std::vector<control::EntryInstance>& instances)
    {
        routing::EntryInstancesChanged changed;
        routing::RelaysChanged relays;
        for (const control::EntryInstance& instance : instances) {
            changed.instances.push_back(instance.name);
            changed.dataCentres[instance.name] = instance.dataCentre;
            relays.relays.push_back({ instance.name, instance.dataCentre, instance.relay });
        }
        dispatch(relays);
        dispatch(changed);
    }

    void applyEvacuations(std::vector<DataCentreName> dataCentres)
    {
        dispatch(routing::EvacuationsChanged { std::move(dataCentres) });
        if (relay)
            relay->closeForbidden();
    }

    void handleWatchReply(control::WatchReply reply, std::vector<policy::CrashRecord> crashes, TimePoint requestSentAt)
    {
        // First, so that no request reaches a server that the rest of the reply names.
        if (!reply.evacuatedDataCentres.empty() || !router.servers().evacuations().isEmpty())
            applyEvacuations(std::move(reply.evacuatedDataCentres));
        if (!crashes.empty())
            dispatch(routing::CrashRecordsReceived { std::move(crashes) });
        if (reply.document)
            applyDocument(*reply.document);
        isolation.recordLeaderContact(true, transport::monotonicNow());
        versionInForce = reply.documentVersion;
        versionConfirmedAt = transport::monotonicNow();
        versionAskedAt = requestSentAt;
        confirmDocument();
        if (reply.limitedAccounts)
            dispatch(routing::LimitedAccountsReceived { std::move(*reply.limitedAccounts) });
        if (reply.entryInstances)
            applyEntryInstances(*reply.entryInstances);
        if (reply.serverChanges)
            dispatch(routing::ServerListDeltaReceived { std::move(*reply.serverChanges), reply.serverListAge, reply.serverListVersion.revision });
        if (reply.servers) {
            hasServerList = true;
            dispatch(routing::ServerListReceived { std::move(*reply.servers), reply.serverListAge, reply.serverListVersion.revision });
        }
        updateReadiness();
    }

    // A document that is newer than the one held may allow what that one does not.
    void confirmDocument()
    {
        if (versionInForce <= router.documentVersion())
            dispatch(routing::ControlContacted { std::chrono::duration_cast<Micros>(transport::monotonicNow() - versionConfirmedAt), suspension.unsuspended(versionAskedAt) });
    }

    void applyDocument(const std::string& content)
    {
        std::variant<routing::RouteDocument, platform::DecodeError> decoded = platform::decodeRouteDocument(content);
        if (const platform::DecodeError* error = std::get_if<platform::DecodeError>(&decoded)) {
            sink.log(events::kDocumentUnreadable, { { "reason", error->reason } });
            return;
        }
        std::shared_ptr<const routing::RouteDocument> document = std::make_shared<const routing::RouteDocument>(std::get<routing::RouteDocument>(std::move(decoded)));
        callers.setLimits({ document->limits.maximumHeaderBytes, document->limits.maximumBodyBytes, document->limits.headerTimeout, document->limits.idleTimeout });
        dispatch(routing::RouteDocumentUpdated { std::move(document) });
    }

    std::string metricsText()
    {
        std::string text = metrics.prometheusText() + routerMetricsText(router);
        text += fmt::format("curranttrail_relayed_for_others {}\n", relay ? relay->connections() : 0);
        text += fmt::format("curranttrail_log_lines_dropped_total {}\n", sink.droppedLines());
        return text;
    }

    // While this instance stops, returns the time until the load balancer sends it no more connections.
    Micros timeUntilRemoved(TimePoint now) const
    {
        return stopping ? std::max(Micros { 0 }, std::chrono::duration_cast<Micros>(stopStartedAt + kBalancerRemovalDelay - now)) : Micros { 0 };
    }

    void beginStop(TimePoint requestedAt)
    {
        if (std::exchange(stopping, true))
            return;
        stopStartedAt = requestedAt;
        sink.log(events::kDraining, { { "requests", fmt::to_string(router.requestsInFlight()) }, { "connections", fmt::to_string(callers.connections()) } });
        updateReadiness();
        callers.retireConnections(true);
        if (controlFeed)
            controlFeed->withdrawRelay();
        dispatch(routing::StopScheduled { stopStartedAt + settings.gracePeriod - kFinalAnswerLeadTime });
        checkStop();
    }

    // Callers whose requests are still coming in learn that these have not run.
    void refuseIncompleteRequests()
    {
        RawReply reply;
        reply.status = 503;
        reply.fields = { { "Content-Type", "application/json" }, { "Retry-After", "0" } };
        const std::string_view reason = nameOf(routing::kRefusalReasonNames, routing::RefusalReason::Stopping);
        reply.body = transport::refusalBody(reason, "not_run", reason);
        callers.rejectIncomplete(reply);
    }

    void checkStop()
    {
        const Micros elapsed = std::chrono::duration_cast<Micros>(transport::monotonicNow() - stopStartedAt);
        if (elapsed >= kBalancerRemovalDelay)
            callers.closeIdle(kMinimumIdleTime);
        if (elapsed >= settings.gracePeriod - kAcceptLeadTime) {
            callers.stopAccepting();
            if (relay)
                relay->stopAccepting();
        }
        if (elapsed >= settings.gracePeriod - kFinalAnswerLeadTime) {
            // After a stall of this process the router's timer may expire after this one.
            dispatch(routing::Tick {});
            refuseIncompleteRequests();
        }
        const bool idle = elapsed >= kBalancerRemovalDelay && callers.connections() == 0 && (!relay || relay->connections() == 0);
        const bool last = elapsed >= settings.gracePeriod - kForcedStopLeadTime;
        if (idle || last) {
            if (!idle)
                sink.log(events::kDrainTimedOut, { { "requests", fmt::to_string(callers.exchanges()) }, { "connections", fmt::to_string(callers.connections()) } });
            context.stop();
            return;
        }
        stopTimer.expires_after(kStopCheckInterval);
        stopTimer.async_wait([this](const boost::system::error_code& ec) {
            if (!ec)
                checkStop();
        });
    }

    void runLoop()
    {
        ControlFeed::Handlers handlers;
        handlers.reply = [this](control::WatchReply reply, std::vector<policy::CrashRecord> crashes, TimePoint requestSentAt) {
            asio::post(context, [this, reply = std::move(reply), crashes = std::move(crashes), requestSentAt]() mutable { handleWatchReply(std::move(reply), std::move(crashes), requestSentAt); });
        };
        handlers.document = [this](std::string content) {
            asio::post(context, [this, content = std::move(content)] {
                applyDocument(content);
                confirmDocument();
                updateReadiness();
            });
        };
        handlers.serversLeaving = [this](std::vector<std::string> servers, Micros age) {
            asio::post(context, [this, servers = std::move(servers), age]() mutable { dispatch(routing::ServersLeaving { std::move(servers), age }); });
        };
        handlers.quotasReplied = [this](std::optional<policy::QuotaReply> reply) {
            asio::post(context, [this, reply = std::move(reply)]() mutable { dispatch(routing::QuotasReplied { std::move(reply) }); });
        };
        handlers.disconnected = [this] {
            asio::post(context, [this] {
                isolation.recordLeaderContact(false, transport::monotonicNow());
                updateReadiness();
            });
        };
        const control::EntryInstance self { settings.name, settings.dataCentre, relay ? settings.relay.text() : std::string {} };
        controlFeed.emplace(self, settings.groupConnection, sink, std::move(handlers));
        schedule();
        const auto work = asio::make_work_guard(context);
        context.run();
        controlFeed.reset();
    }

    const GatewaySettings settings;
    transport::EventSink& sink;
    asio::io_context context { 1 };
    transport::Metrics metrics;
    const RequestHasher hasher;
    routing::Router router;
    asio::steady_timer timer;
    asio::steady_timer stopTimer;
    bool timerSet = false;
    TimePoint timerExpiry;
    std::unordered_map<std::uint64_t, Exchange> exchanges;
    std::unordered_map<ConnectionId, InFlightAttempt> inFlightAttempts;
    transport::RawHttpClient client;
    transport::RawHttpServer callers;
    transport::RawHttpServer ready;
    std::optional<transport::RawHttpServer> metricsServer;
    std::optional<transport::RelayServer> relay;
    transport::LatencyHistogram& latency;
    policy::IsolationDetector isolation;
    // True once a server list has been received.
    bool hasServerList = false;
    // The document version in the last reply of a leader, the time of that reply, and the boot time at which it was asked for.
    std::uint64_t versionInForce = 0;
    TimePoint versionConfirmedAt;
    TimePoint versionAskedAt;
    policy::SuspensionDetector suspension;
    bool stopping = false;
    bool wasReady = false;
    TimePoint stopStartedAt;
    // Revision of the router's crash records up to which they were passed to the control feed.
    std::uint64_t sharedCrashRevision = 0;
    std::optional<ControlFeed> controlFeed;
};

GatewayDaemon::GatewayDaemon(const GatewaySettings& settings, transport::EventSink& sink)
    : m_implementation(std::make_unique<Implementation>(settings, sink))
{
}

GatewayDaemon::~GatewayDaemon() = default;

void GatewayDaemon::run() { m_implementation->runLoop(); }

void GatewayDaemon::stop()
{
    asio::post(m_implementation->context, [implementation = m_implementation.get(), requestedAt = transport::monotonicNow()] { implementation->beginStop(requestedAt); });
}

void GatewayDaemon::reload(const GatewaySettings& changed)
{
    const GatewaySettings& settings = m_implementation->settings;
    logSettingsThatNeedRestart({
                                   { "name", changed.name == settings.name },
                                   { "data_centre", changed.dataCentre == settings.dataCentre },
                                   { "callers", changed.callers == settings.callers },
                                   { "ready", changed.ready == settings.ready },
                                   { "metrics", changed.metrics == settings.metrics },
                                   { "relay", changed.relay == settings.relay },
                                   { "grace", changed.gracePeriod == settings.gracePeriod },
                                   { "group.group_port", changed.groupConnection.groupPort == settings.groupConnection.groupPort },
                                   { "group.link_key", changed.groupConnection.linkKey == settings.groupConnection.linkKey },
                                   { "repeats", changed.additionalAttempts == settings.additionalAttempts },
                                   { "accounts", changed.keyRevocationLimit == settings.keyRevocationLimit },
                               },
        m_implementation->sink);
    asio::post(m_implementation->context, [implementation = m_implementation.get(), seeds = changed.groupConnection.seeds]() mutable {
        if (implementation->controlFeed)
            implementation->controlFeed->setSeeds(std::move(seeds));
    });
}

} // namespace curranttrail
