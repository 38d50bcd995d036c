#include "main/feed_publisher.h"

#include "control/member_directory.h"
#include "core/random.h"
#include "main/feed_events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail {

namespace {
    // Shorter than the watchers' timeout, so that a watcher detects a silent leader by the missing reply.
    constexpr Micros kMaximumWait { 250'000 };
    // Maximum wait for a leader. Short, because in a partition the leader may be in another part of the group.
    constexpr Micros kMaximumWaitWithoutLeader { 150'000 };
    // An entry instance that has sent no watch request for this long no longer counts when limits are divided among instances.
    constexpr Micros kEntryInstanceTimeout { 6'000'000 };
    // Changes of crash records are collected for this time, since many may come from many instances at once.
    constexpr Micros kCrashPublishInterval { 200'000 };
    // Servers that leave are named without a leader only while the list that names them is fetched anew all the time.
    constexpr Micros kUnconfirmedListLifetime { 3'000'000 };
}

FeedPublisher::FeedPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink, LimitedAccounts limitedAccounts)
    : m_loop(loop)
    , m_runtime(runtime)
    , m_sink(sink)
    , m_limitedAccounts(std::move(limitedAccounts))
    , m_history(generateSeed())
    , m_crashes(generateSeed())
    , m_entryListVersion { m_history.version().epoch, 0 }
{
}

void FeedPublisher::watch(control::WatchRequest request, transport::FrameResponder respond)
{
    m_watchingInstances[request.instance.name] = { request.instance, transport::monotonicNow() };
    m_crashes.takeRequest(request, transport::monotonicNow());
    request.crashes.clear();
    replyOrWait({ std::move(request), std::move(respond), transport::monotonicNow() }, true);
}

void FeedPublisher::replyOrWait(PendingWatch pending, bool mayWait)
{
    m_runtime.view([this, pending = std::move(pending), mayWait](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        const control::CommittedDocument& document = reducer.state().document;
        const bool leads = status.role == control::Role::Leader && status.leaseValid;
        const bool withoutLeader = !leads && (!status.leader || status.role == control::Role::Leader);
        const std::uint64_t knownVersion = pending.request.documentVersion & control::kDocumentVersionMask;
        const bool fetchesDocument = (pending.request.documentVersion & control::kFetchesDocumentBit) != 0;
        const bool hasNewDocument = leads && document.version > knownVersion;
        CommittedState committed { { document.version, hasNewDocument && !fetchesDocument ? document.content : std::string {} }, reducer.state().evacuatedDataCentres };
        m_loop.post([this, pending, status, committed = std::move(committed), leads, withoutLeader, wait = mayWait && !hasNewDocument]() mutable {
            const bool hasNewServerList = leads && m_history.known() && pending.request.serverListVersion != m_history.version();
            pending.withoutLeader = withoutLeader;
            if (wait && (withoutLeader || (leads && !hasNewServerList)))
                m_pendingWatches.push_back(std::move(pending));
            else
                reply(pending, status, committed);
        });
    });
}

void FeedPublisher::reply(const PendingWatch& pending, const control::ReplicaStatus& status, const CommittedState& committed)
{
    const TimePoint now = transport::monotonicNow();
    control::WatchReply reply;
    reply.leads = status.role == control::Role::Leader && status.leaseValid;
    reply.leader = status.leader;
    reply.members = control::recordedMembers(status);
    updateEntryInstances(now);
    reply.entryListVersion = m_entryListVersion;
    control::ListVersion heldEntryList = pending.request.entryListVersion;
    heldEntryList.revision &= ~control::kReadsExtensionBit;
    if (heldEntryList != m_entryListVersion)
        reply.entryInstances = m_entryInstances;
    reply.documentVersion = committed.document.version;
    if (!committed.document.content.empty())
        reply.document = committed.document.content;
    reply.serverListVersion = m_history.version();
    if (reply.leads && m_history.known() && pending.request.serverListVersion != reply.serverListVersion) {
        reply.serverChanges = m_history.changesSince(pending.request.serverListVersion);
        if (!reply.serverChanges)
            reply.servers = m_history.servers();
    }
    reply.serverListAge = std::chrono::duration_cast<Micros>(now - m_serverListTime);
    const bool readsExtension = control::readsExtension(pending.request);
    if (readsExtension && reply.leads)
        reply.evacuatedDataCentres.assign(committed.evacuatedDataCentres.begin(), committed.evacuatedDataCentres.end());
    if (readsExtension && !reply.leads && !reply.leader && m_history.known() && reply.serverListAge < kUnconfirmedListLifetime) {
        for (const routing::ServerRecord& record : m_history.servers()) {
            if (record.leaving)
                reply.leavingServers.push_back(record.instance);
        }
    }
    m_crashes.fill(reply, pending.request.crashVersion, now);
    if (reply.leads && (pending.request.documentVersion & control::kKnowsQuotasBit) != 0)
        reply.limitedAccounts = m_limitedAccounts();
    pending.respond(control::encodeWatchReply(reply));
}

void FeedPublisher::updateEntryInstances(TimePoint now)
{
    std::erase_if(m_watchingInstances, [now](const auto& seen) { return now - seen.second.lastWatch > kEntryInstanceTimeout; });
    std::vector<control::EntryInstance> instances;
    for (const auto& [name, watching] : m_watchingInstances)
        instances.push_back(watching.instance);
    if (instances == m_entryInstances)
        return;
    m_entryInstances = std::move(instances);
    ++m_entryListVersion.revision;
}

bool FeedPublisher::setServers(routing::ServerList servers, TimePoint fetchStartedAt)
{
    const Micros age = std::chrono::duration_cast<Micros>(transport::monotonicNow() - fetchStartedAt);
    if (!m_history.accepts(fetchStartedAt)) {
        m_sink.log(events::kServerListOutdated, { { "servers", fmt::to_string(servers.size()) }, { "age_us", fmt::to_string(age.count()) } });
        return false;
    }
    m_serverListTime = fetchStartedAt;
    if (!m_history.set(std::move(servers), fetchStartedAt))
        return true;
    m_sink.log(events::kServerListChanged, { { "revision", fmt::to_string(m_history.version().revision) }, { "servers", fmt::to_string(m_history.servers().size()) }, { "age_us", fmt::to_string(age.count()) } });
    replyToAll();
    return true;
}

void FeedPublisher::committedStateChanged()
{
    m_loop.post([this] { replyToAll(); });
}

void FeedPublisher::replyToAll()
{
    for (PendingWatch& pending : std::exchange(m_pendingWatches, {}))
        replyOrWait(std::move(pending), false);
}

void FeedPublisher::leaderChanged(const control::LeaderChanged& change)
{
    m_loop.post([this, change] {
        if (change.leads)
            m_history.beginTerm(change.term, generateSeed(), transport::monotonicNow());
        for (PendingWatch& pending : std::exchange(m_pendingWatches, {}))
            replyOrWait(std::move(pending), true);
    });
}

void FeedPublisher::tick()
{
    const TimePoint now = transport::monotonicNow();
    m_crashes.expire(now);
    const bool publishesCrashes = now - m_crashesPublishedAt >= kCrashPublishInterval;
    if (publishesCrashes)
        m_crashesPublishedAt = now;
    std::vector<PendingWatch> due;
    std::erase_if(m_pendingWatches, [&](PendingWatch& pending) {
        const bool lacksCrashes = publishesCrashes && m_crashes.hasNews(pending.request.crashVersion);
        if (!lacksCrashes && now - pending.waitStartedAt < (pending.withoutLeader ? kMaximumWaitWithoutLeader : kMaximumWait))
            return false;
        due.push_back(std::move(pending));
        return true;
    });
    for (PendingWatch& pending : due)
        replyOrWait(std::move(pending), false);
}

} // namespace curranttrail
