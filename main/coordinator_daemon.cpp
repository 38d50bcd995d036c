#include "main/coordinator_daemon.h"

#include "control/member_change_planner.h"
#include "control/server_list_schedule.h"
#include "control/state_machine.h"
#include "core/random.h"
#include "main/control_runtime.h"
#include "main/crash_api.h"
#include "main/document_api.h"
#include "main/document_publisher.h"
#include "main/evacuation_api.h"
#include "main/events.h"
#include "main/feed_events.h"
#include "main/feed_publisher.h"
#include "main/group_links.h"
#include "main/group_search.h"
#include "main/quota_publisher.h"
#include "main/server_list_poller.h"
#include "main/settings_change.h"
#include "transport/http_router.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"

#include <fmt/format.h>

#include <algorithm>
#include <functional>
#include <future>
#include <map>
#include <set>

namespace curranttrail {

namespace {
    // Interval of the checks of the group's members, of pending watch requests and for a missing leader.
    constexpr Micros kTickInterval { 100'000 };
    // Times for a group that spans data centres and runs on small shares of a processor.
    constexpr Micros kHeartbeatInterval { 100'000 };
    constexpr Micros kMinimumElectionTimeout { 500'000 };
    constexpr Micros kMaximumElectionTimeout { 900'000 };
    constexpr Micros kLeaseDuration { 420'000 };
    // Documents are large, so few log entries are kept behind a snapshot.
    constexpr std::size_t kCompactionEntries = 48;
    constexpr std::size_t kRetainedEntries = 12;
    constexpr std::size_t kMinimumVoters = 3;
    // While this instance stops it asks the members again at this interval to let it leave the group.
    constexpr Micros kLeaveInterval { 200'000 };
    // Time that is kept for the open requests of operators while this instance leaves the group, and for the end of its threads.
    constexpr std::chrono::milliseconds kRequestStopTime { 500 };
    constexpr std::chrono::milliseconds kFinalStopTime { 500 };
}

struct CoordinatorDaemon::Implementation {
    Implementation(const CoordinatorSettings& given, transport::EventSink& eventSink)
        : settings(given)
        , self(settings.group.text())
        , sink(eventSink)
        , links(self, settings.group, settings.groupConnection.linkKey, sink)
        , runtime(reducerOptions(settings), settings.dataFolder, sink,
              [this](const InstanceName& to, const control::PeerMessage& message) { links.sendToPeer(to, message); })
        , search(self, settings.groupConnection, links, runtime, sink)
        , memberChangePlanner(std::max<std::size_t>(kMinimumVoters, static_cast<std::size_t>(2 * settings.toleratedDiskLosses + 1)))
        , publisher(links.loop(), runtime, sink, [this] { return quotaPublisher.limited(); })
        , quotaPublisher(links.loop(), runtime, sink, [this] { publisher.limitsChanged(); })
        , documentPublisher(links.loop(), runtime)
        , poller(threads, settings.serverList, settings.listCallsPerSecond, sink, [this](routing::ServerList servers, TimePoint fetchStartedAt) { publish(std::move(servers), fetchStartedAt); })
        , api(runtime, sink, settings.http.port)
        , evacuationApi(runtime, links.loop(), publisher, sink, settings.http.port)
        , crashApi(runtime, links.loop(), publisher, sink, settings.http.port)
        , serverList(settings.serverList)
        , listCallsPerSecond(settings.listCallsPerSecond)
    {
        api.addRoutes(router);
        evacuationApi.addRoutes(router);
        crashApi.addRoutes(router);
        transport::HttpServerOptions options;
        options.bind = settings.http;
        options.maximumBodyBytes = control::kMaximumDocumentBytes;
        server.emplace(threads, options, [this](transport::HttpRequest request, const transport::Responder& responder) { router(std::move(request), responder); });
        if (settings.metrics.port == 0)
            return;
        transport::addHealthRoutes(healthRouter, sink, metrics, [] { return std::nullopt; });
        options.bind = settings.metrics;
        metricsServer.emplace(threads, options, [this](transport::HttpRequest request, const transport::Responder& responder) { healthRouter(std::move(request), responder); });
    }

    static control::ControlOptions reducerOptions(const CoordinatorSettings& settings)
    {
        control::ControlOptions options;
        options.name = settings.group.text();
        // A group is formed only by the first start of its seeds; every other instance learns the members from the log.
        for (const transport::Endpoint& seed : settings.groupConnection.seeds)
            options.initialVoters.insert(memberName(settings.groupConnection, seed));
        const bool isSeed = options.initialVoters.contains(options.name);
        options.bootstrap = settings.bootstrap && isSeed;
        if (!isSeed)
            options.initialVoters.clear();
        options.seed = generateSeed();
        options.heartbeat = kHeartbeatInterval;
        options.minimumElectionTimeout = kMinimumElectionTimeout;
        options.maximumElectionTimeout = kMaximumElectionTimeout;
        options.lease = kLeaseDuration;
        options.compactionEntries = kCompactionEntries;
        options.retainedEntries = kRetainedEntries;
        return options;
    }

    void start()
    {
        GroupLinks::Handlers handlers;
        handlers.peer = [this](const InstanceName& from, control::PeerMessage message) { runtime.receive(from, std::move(message)); };
        handlers.join = [this](const InstanceName& name, std::function<void(const control::JoinReply&)> respond) {
            memberChangePlanner.recordJoinRequest(name, transport::monotonicNow());
            search.takeRequest(name, std::move(respond));
        };
        handlers.leave = [this](const InstanceName& name, std::function<void(control::LeaveOutcome)> respond) {
            memberChangePlanner.recordLeaveRequest(name, transport::monotonicNow());
            pendingLeaves[name] = std::move(respond);
            checkGroup();
        };
        handlers.watch = [this](control::WatchRequest request, transport::FrameResponder respond) { publisher.watch(std::move(request), std::move(respond)); };
        handlers.fetchDocument = [this](const control::DocumentPartRequest& request, transport::FrameResponder respond) { documentPublisher.fetch(request, std::move(respond)); };
        handlers.reportQuotas = [this](policy::QuotaReport report, transport::FrameResponder respond) { quotaPublisher.report(std::move(report), std::move(respond)); };
        runtime.onLeader([this](const control::LeaderChanged& change) {
            quotaPublisher.leaderChanged(change);
            publisher.leaderChanged(change);
            // A new leader fetches the server list without waiting for the next tick.
            if (change.leads)
                checkGroup();
        });
        runtime.onDocument([this](std::uint64_t) {
            quotaPublisher.documentChanged();
            publisher.committedStateChanged();
        });
        runtime.onEvacuations([this] { publisher.committedStateChanged(); });
        runtime.start();
        links.start(std::move(handlers));
        scheduleTick();
    }

    void scheduleTick()
    {
        links.loop().after(kTickInterval, [this] {
            publisher.tick();
            documentPublisher.tick();
            quotaPublisher.tick(metrics);
            checkGroup();
            scheduleTick();
        });
    }

    void checkGroup()
    {
        runtime.view([this](const control::ControlReducer& reducer, TimePoint now) { checkGroup(reducer, now); });
    }

    // Runs on the control thread and continues on the event loop.
    void checkGroup(const control::ControlReducer& reducer, TimePoint now)
    {
        const control::ReplicaStatus status = reducer.status(now);
        updateMetrics(status);
        metrics.gauge("curranttrail_evacuated_data_centres", "Data centres whose servers get no requests, as far as this replica knows.").set(static_cast<double>(reducer.state().evacuatedDataCentres.size()));
        control::GroupStatus groupStatus { self, status.voters, status.learners, reducer.memberHealth(now), reducer.membersRecorded(), reducer.membersCommitted() };
        links.loop().post([this, status, groupStatus = std::move(groupStatus)] { manageGroup(status, groupStatus); });
    }

    void manageGroup(const control::ReplicaStatus& status, const control::GroupStatus& groupStatus)
    {
        const TimePoint now = transport::monotonicNow();
        std::set<InstanceName> members = search.seedNames();
        members.insert(status.voters.begin(), status.voters.end());
        members.insert(status.learners.begin(), status.learners.end());
        links.setMembers(std::move(members));
        fetchServers(status, now);
        if (isLeaving())
            continueLeaving(status, now);
        if (status.role != control::Role::Leader) {
            pendingLeaves.clear();
            if (isLeaving())
                return;
            search.update(status, now);
            return;
        }
        if (!status.leaseValid)
            return;
        search.introduceToSeeds(status);
        answerLeaves(groupStatus);
        if (isMemberChangePending)
            return;
        const std::optional<control::ChangeMembers> change = memberChangePlanner.nextChange(groupStatus, now);
        if (!change)
            return;
        isMemberChangePending = true;
        sink.log(events::kMembersProposed, { { "voters", fmt::format("{}", fmt::join(change->voters, ",")) }, { "learners", fmt::format("{}", fmt::join(change->learners, ",")) } });
        runtime.submit(*change, [this, removesSelf = !change->voters.contains(self)](const control::CommandResult& result) {
            const bool isAccepted = result.status == control::CommandStatus::Accepted;
            if (!isAccepted)
                sink.log(events::kMembersRefused, { { "status", std::string { nameOf(control::kCommandStatusNames, result.status) } }, { "reason", result.message } });
            links.loop().post([this, isAccepted, removesSelf] { endMemberChange(isAccepted, removesSelf); });
        });
    }

    void fetchServers(const control::ReplicaStatus& status, TimePoint now)
    {
        const std::size_t sharers = std::max(status.voters.size() + status.learners.size(), search.seedCount());
        const std::optional<control::ServerListSchedule::Fetch> fetch = listSchedule.next(status, sharers, now);
        if (!fetch)
            return;
        if (fetch->withoutLeader != std::exchange(fetchesWithoutLeader, fetch->withoutLeader) && fetch->withoutLeader)
            sink.log(events::kServerListWithoutLeader, { { "for_us", fmt::to_string(status.timeWithoutLeader.count()) }, { "sharers", fmt::to_string(sharers) } });
        poller.setSource(serverList, listCallsPerSecond * fetch->rateShare);
        poller.poll();
    }

    void endMemberChange(bool isAccepted, bool removesSelf)
    {
        isMemberChangePending = false;
        if (!isAccepted)
            return;
        isRemoved = isRemoved || removesSelf;
        if (isRemoved || !pendingLeaves.empty())
            checkGroup();
    }

    // Tells members that want to leave whether the group counts them no longer.
    void answerLeaves(const control::GroupStatus& groupStatus)
    {
        std::erase_if(pendingLeaves, [&](const auto& pending) {
            const std::optional<control::LeaveOutcome> outcome = memberChangePlanner.outcomeOfLeave(groupStatus, pending.first);
            if (outcome)
                pending.second(*outcome);
            return outcome.has_value();
        });
    }

    // Asks the group to count this instance no longer, and waits for the outcome within the limit. A group that is larger than it has to
    // be could otherwise not afford the next loss until it notices that this instance has ended.
    void leaveGroup(std::chrono::milliseconds limit)
    {
        const std::shared_ptr<std::promise<void>> ended = std::make_shared<std::promise<void>>();
        std::future<void> done = ended->get_future();
        sink.log(events::kLeaveRequested);
        links.loop().post([this, ended] {
            leaveEnded = [ended] { ended->set_value(); };
            checkGroup();
        });
        if (done.wait_for(limit) != std::future_status::ready)
            sink.log(events::kLeaveEnded, { { "outcome", "unknown" } });
        links.loop().runAndWait([this] { leaveEnded = {}; });
    }

    bool isLeaving() const { return static_cast<bool>(leaveEnded); }

    void continueLeaving(const control::ReplicaStatus& status, TimePoint now)
    {
        // The leader goes on until the others can see that its removal is committed.
        if (isRemoved) {
            if (status.role != control::Role::Leader)
                endLeaving(control::LeaveOutcome::Left);
            return;
        }
        if (status.role == control::Role::Leader) {
            memberChangePlanner.recordLeaveRequest(self, now);
            pendingLeaves[self] = [this](control::LeaveOutcome outcome) { endLeaving(outcome); };
            return;
        }
        if (status.voters.empty()) {
            endLeaving(control::LeaveOutcome::Left);
            return;
        }
        // A group of the minimum size has no leader while all its members stop.
        if (status.voters.contains(self) && status.voters.size() <= memberChangePlanner.minimumVoters() && status.learners.empty()) {
            endLeaving(control::LeaveOutcome::Needed);
            return;
        }
        if (now - lastLeave < kLeaveInterval)
            return;
        lastLeave = now;
        for (const InstanceName& voter : status.voters)
            links.requestLeave(voter, kLeaveInterval * 2, [this](control::LeaveOutcome outcome) { endLeaving(outcome); });
    }

    void endLeaving(control::LeaveOutcome outcome)
    {
        if (!isLeaving())
            return;
        sink.log(events::kLeaveEnded, { { "outcome", std::string { nameOf(control::kLeaveOutcomeNames, outcome) } } });
        std::exchange(leaveEnded, {})();
    }

    void publish(routing::ServerList servers, TimePoint fetchStartedAt)
    {
        links.loop().post([this, servers = std::move(servers), fetchStartedAt]() mutable {
            // A list that is too old is fetched again at the next tick.
            if (!publisher.setServers(std::move(servers), fetchStartedAt))
                listSchedule.fetchAtOnce();
        });
    }

    void updateMetrics(const control::ReplicaStatus& status)
    {
        metrics.gauge("curranttrail_control_term", "Term of this replica.").set(static_cast<double>(status.term));
        metrics.gauge("curranttrail_control_commit_index", "Index of the last committed entry.").set(static_cast<double>(status.commitIndex));
        metrics.gauge("curranttrail_control_leads", "1 if this replica leads with a valid lease.").set(status.role == control::Role::Leader && status.leaseValid ? 1 : 0);
        metrics.gauge("curranttrail_control_voters", "Voters of the group.").set(static_cast<double>(status.voters.size()));
        metrics.gauge("curranttrail_control_learners", "Learners of the group.").set(static_cast<double>(status.learners.size()));
        metrics.gauge("curranttrail_control_repairing", "1 if this replica is under repair and does not vote.").set(status.repairing ? 1 : 0);
        metrics.gauge("curranttrail_control_without_leader_seconds", "Time since this replica last heard from a leader, 0 at the leader.").set(std::chrono::duration<double>(status.timeWithoutLeader).count());
    }

    void reload(const CoordinatorSettings& changed)
    {
        logSettingsThatNeedRestart({
                                       { "name", changed.name == settings.name },
                                       { "data_centre", changed.dataCentre == settings.dataCentre },
                                       { "data_folder", changed.dataFolder == settings.dataFolder },
                                       { "http", changed.http == settings.http },
                                       { "metrics", changed.metrics == settings.metrics },
                                       { "stop_limit", changed.stopTimeout == settings.stopTimeout },
                                       { "group.address", changed.group == settings.group },
                                       { "group.group_port", changed.groupConnection.groupPort == settings.groupConnection.groupPort },
                                       { "group.link_key", changed.groupConnection.linkKey == settings.groupConnection.linkKey },
                                       { "group.lost_disks", changed.toleratedDiskLosses == settings.toleratedDiskLosses },
                                   },
            sink);
        links.loop().post([this, changed] {
            search.setSeeds(changed.groupConnection.seeds);
            if (changed.serverList == serverList && changed.listCallsPerSecond == listCallsPerSecond)
                return;
            sink.log(events::kServerListMoved, { { "from", serverList.text() }, { "to", changed.serverList.text() }, { "calls_per_second", fmt::to_string(changed.listCallsPerSecond) } });
            serverList = changed.serverList;
            listCallsPerSecond = changed.listCallsPerSecond;
            listSchedule.fetchAtOnce();
        });
    }

    void finishRequests(std::chrono::milliseconds limit)
    {
        const std::shared_ptr<std::promise<void>> idle = std::make_shared<std::promise<void>>();
        std::future<void> done = idle->get_future();
        limit = std::max(limit, std::chrono::milliseconds { 1 });
        server->stop(limit, [idle] { idle->set_value(); });
        if (done.wait_for(limit + kFinalStopTime / 2) != std::future_status::ready)
            sink.log(events::kDrainTimedOut);
    }

    void stop(std::chrono::milliseconds limit)
    {
        if (!server)
            return;
        if (limit.count() > 0) {
            const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + limit - kFinalStopTime;
            server->retireConnections();
            leaveGroup(std::max(std::chrono::milliseconds { 0 }, limit - kRequestStopTime - kFinalStopTime));
            finishRequests(std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now()));
        }
        server.reset();
        metricsServer.reset();
        threads.stop();
        runtime.stop();
        links.stop();
    }

    const CoordinatorSettings settings;
    const InstanceName self;
    transport::EventSink& sink;
    transport::Metrics metrics;
    transport::IoThreads threads { 1 };
    GroupLinks links;
    ControlRuntime runtime;
    // Used only on the event loop's thread.
    GroupSearch search;
    control::MemberChangePlanner memberChangePlanner;
    FeedPublisher publisher;
    QuotaPublisher quotaPublisher;
    DocumentPublisher documentPublisher;
    ServerListPoller poller;
    DocumentApi api;
    EvacuationApi evacuationApi;
    CrashApi crashApi;
    // Settings that may change while the process runs.
    transport::Endpoint serverList;
    double listCallsPerSecond = 0;
    control::ServerListSchedule listSchedule;
    // True if the last fetch of the list was started because no leader was known.
    bool fetchesWithoutLeader = false;
    TimePoint lastLeave;
    // Members that wait to hear whether they have left the group.
    std::map<InstanceName, std::function<void(control::LeaveOutcome)>> pendingLeaves;
    // Set while this instance leaves the group.
    std::function<void()> leaveEnded;
    bool isMemberChangePending = false;
    // True once this instance, as the leader, has committed its own removal.
    bool isRemoved = false;
    transport::HttpRouter router;
    transport::HttpRouter healthRouter;
    std::optional<transport::HttpServer> server;
    std::optional<transport::HttpServer> metricsServer;
};

CoordinatorDaemon::CoordinatorDaemon(const CoordinatorSettings& settings, transport::EventSink& sink)
    : m_implementation(std::make_unique<Implementation>(settings, sink))
{
}

CoordinatorDaemon::~CoordinatorDaemon()
{
    stop(std::chrono::milliseconds { 0 });
}

void CoordinatorDaemon::start() { m_implementation->start(); }

void CoordinatorDaemon::reload(const CoordinatorSettings& changed) { m_implementation->reload(changed); }

void CoordinatorDaemon::stop(std::chrono::milliseconds limit) { m_implementation->stop(limit); }

} // namespace curranttrail
