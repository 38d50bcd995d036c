#include "main/feed_publisher.h"

#include "core/random.h"
#include "main/feed_events.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>

namespace curranttrail {

namespace {
    // Shorter than the watcher's time-out, so that a silent leader is noticed by the missing answer.
    constexpr Micros kMostWait { 250'000 };
    // Without a leader a watcher waits here for one, but not so long that it is kept from the part of a group that has one.
    constexpr Micros kMostWaitWithoutLeader { 150'000 };
    // The leader fetches the list each second, so an older one is from before another instance led.
    constexpr Micros kMostListAge { 2'000'000 };
    // An entry instance that has not asked for this long no longer counts for the shares of the others.
    constexpr Micros kEntryLifetime { 6'000'000 };
}

FeedPublisher::FeedPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink)
    : m_loop(loop)
    , m_runtime(runtime)
    , m_sink(sink)
    , m_history(drawSeed())
    , m_entryList { m_history.version().epoch, 0 }
{
}

void FeedPublisher::watch(control::WatchRequest request, transport::FrameResponder respond)
{
    m_seen[request.instance] = transport::monotonicNow();
    answer({ std::move(request), std::move(respond), transport::monotonicNow() }, true);
}

void FeedPublisher::answer(Waiting waiting, bool mayWait)
{
    m_runtime.view([this, waiting = std::move(waiting), mayWait](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        const control::HeldDocument& document = reducer.state().document;
        const bool leads = status.role == control::Role::Leader && status.leaseValid;
        const bool withoutLeader = !leads && (!status.leader || status.role == control::Role::Leader);
        const bool news = leads && document.version > waiting.request.documentVersion;
        control::HeldDocument held { document.version, news ? document.content : std::string {} };
        m_loop.post([this, waiting, status, held = std::move(held), leads, withoutLeader, wait = mayWait && !news]() mutable {
            const bool listNews = leads && m_history.known() && waiting.request.list != m_history.version();
            waiting.withoutLeader = withoutLeader;
            if (wait && (withoutLeader || (leads && !listNews)))
                m_waiting.push_back(std::move(waiting));
            else
                reply(waiting, status, held);
        });
    });
}

void FeedPublisher::reply(const Waiting& waiting, const control::ReplicaStatus& status, const control::HeldDocument& document)
{
    const TimePoint now = transport::monotonicNow();
    control::WatchReply reply;
    reply.leads = status.role == control::Role::Leader && status.leaseValid;
    reply.leader = status.leader;
    reply.members.assign(status.voters.begin(), status.voters.end());
    reply.members.insert(reply.members.end(), status.learners.begin(), status.learners.end());
    updateEntryInstances(now);
    reply.entryList = m_entryList;
    if (waiting.request.entryList != m_entryList)
        reply.entryInstances = m_entryInstances;
    reply.documentVersion = document.version;
    if (!document.content.empty())
        reply.document = document.content;
    reply.list = m_history.version();
    if (reply.leads && m_history.known() && waiting.request.list != reply.list) {
        reply.serverChanges = m_history.changesSince(waiting.request.list);
        if (!reply.serverChanges)
            reply.servers = m_history.servers();
    }
    reply.listAge = std::chrono::duration_cast<Micros>(now - m_listedAt);
    waiting.respond(control::encodeWatchReply(reply));
}

void FeedPublisher::updateEntryInstances(TimePoint now)
{
    std::erase_if(m_seen, [now](const auto& seen) { return now - seen.second > kEntryLifetime; });
    std::vector<InstanceName> names;
    for (const auto& [name, at] : m_seen)
        names.push_back(name);
    if (names == m_entryInstances)
        return;
    m_entryInstances = std::move(names);
    ++m_entryList.revision;
}

void FeedPublisher::setServers(routing::ServerList servers)
{
    m_loop.post([this, servers = std::move(servers)]() mutable {
        m_listedAt = transport::monotonicNow();
        if (!m_history.set(std::move(servers)))
            return;
        m_sink.log(events::kServerListChanged, { { "revision", fmt::to_string(m_history.version().revision) }, { "servers", fmt::to_string(m_history.servers().size()) } });
        answerAll();
    });
}

void FeedPublisher::documentChanged()
{
    m_loop.post([this] { answerAll(); });
}

void FeedPublisher::answerAll()
{
    for (Waiting& waiting : std::exchange(m_waiting, {}))
        answer(std::move(waiting), false);
}

void FeedPublisher::leaderChanged(bool leads)
{
    m_loop.post([this, leads] {
        // A list from an earlier time as leader would bring back servers that have left since.
        if (leads && transport::monotonicNow() - m_listedAt > kMostListAge)
            m_history = control::ServerListHistory(drawSeed());
        for (Waiting& waiting : std::exchange(m_waiting, {}))
            answer(std::move(waiting), true);
    });
}

void FeedPublisher::tick()
{
    const TimePoint now = transport::monotonicNow();
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](Waiting& waiting) {
        if (now - waiting.since < (waiting.withoutLeader ? kMostWaitWithoutLeader : kMostWait))
            return false;
        due.push_back(std::move(waiting));
        return true;
    });
    for (Waiting& waiting : due)
        answer(std::move(waiting), false);
}

} // namespace curranttrail
