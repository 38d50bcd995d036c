#include "main/feed_publisher.h"

#include "main/feed_events.h"

#include <fmt/format.h>

#include <algorithm>
#include <random>
#include <utility>

namespace curranttrail {

namespace {
    // Shorter than the watcher's time-out, so that a silent leader is noticed by the missing answer.
    constexpr Micros kMostWait { 400'000 };
    // An entry instance that has not asked for this long no longer counts for the shares of the others.
    constexpr Micros kEntryLifetime { 6'000'000 };

    // The time for which a server stays cold shrinks with every list and is no news by itself.
    bool sameServers(const routing::ServerList& a, const routing::ServerList& b)
    {
        return std::equal(a.begin(), a.end(), b.begin(), b.end(), [](routing::ServerRecord left, const routing::ServerRecord& right) {
            left.coldFor = right.coldFor;
            return left == right;
        });
    }
}

FeedPublisher::FeedPublisher(transport::FrameLoop& loop, ControlRuntime& runtime, transport::EventSink& sink)
    : m_loop(loop)
    , m_runtime(runtime)
    , m_sink(sink)
{
    std::random_device device;
    m_version.epoch = (static_cast<std::uint64_t>(device()) << 32) | device();
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
        const bool news = document.version > waiting.request.documentVersion;
        control::HeldDocument held { document.version, news ? document.content : std::string {} };
        m_loop.post([this, waiting, status, held = std::move(held), wait = mayWait && leads && !news] {
            if (wait && (!m_servers || waiting.request.list == m_version))
                m_waiting.push_back(waiting);
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
    reply.entryInstances = entryInstances(now);
    reply.documentVersion = document.version;
    if (!document.content.empty())
        reply.document = document.content;
    reply.list = m_version;
    if (m_servers && waiting.request.list != m_version)
        reply.servers = *m_servers;
    reply.listAge = std::chrono::duration_cast<Micros>(now - m_listedAt);
    waiting.respond(control::encodeWatchReply(reply));
}

std::vector<InstanceName> FeedPublisher::entryInstances(TimePoint now)
{
    std::erase_if(m_seen, [now](const auto& seen) { return now - seen.second > kEntryLifetime; });
    std::vector<InstanceName> names;
    for (const auto& [name, at] : m_seen)
        names.push_back(name);
    return names;
}

void FeedPublisher::setServers(routing::ServerList servers)
{
    m_loop.post([this, servers = std::move(servers)]() mutable {
        m_listedAt = transport::monotonicNow();
        if (m_servers && sameServers(*m_servers, servers))
            return;
        m_servers = std::make_shared<const routing::ServerList>(std::move(servers));
        ++m_version.revision;
        m_sink.log(events::kServerListChanged, { { "revision", fmt::to_string(m_version.revision) }, { "servers", fmt::to_string(m_servers->size()) } });
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

void FeedPublisher::tick()
{
    const TimePoint now = transport::monotonicNow();
    std::vector<Waiting> due;
    std::erase_if(m_waiting, [&](Waiting& waiting) {
        if (now - waiting.since < kMostWait)
            return false;
        due.push_back(std::move(waiting));
        return true;
    });
    for (Waiting& waiting : due)
        answer(std::move(waiting), false);
}

} // namespace curranttrail
