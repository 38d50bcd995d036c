#include "main/control_feed.h"

#include "main/feed_events.h"
#include "main/group_links.h"
#include "transport/control_protocol.h"

#include <algorithm>
#include <utility>

namespace curranttrail {

namespace {
    // A leader answers a watch within 0.35 s even without news. Callers of an instance that is cut off wait until this has passed.
    constexpr Micros kWatchLimit { 600'000 };
    // The first reply of a leader carries the document and the whole list, for hundreds of watchers at the same time.
    constexpr Micros kFirstWatchLimit { 950'000 };
    constexpr std::chrono::milliseconds kKeepAlive { 1'000 };
    constexpr std::chrono::milliseconds kSilenceLimit { 1'500 };
    constexpr Micros kPauseAfterFailure { 100'000 };
    // A control instance without a leader lets a watcher wait before it answers, so little more is added here.
    constexpr Micros kPauseWithoutLeader { 50'000 };
    // Replicas that name each other as leader are given up after this many steps.
    constexpr unsigned kMostRedirects = 3;

    transport::LinkOptions feedOptions(const InstanceName& name, const std::string& key, transport::EventSink& sink)
    {
        transport::LinkOptions options = groupLinkOptions(name, key, sink);
        options.keepAliveInterval = kKeepAlive;
        options.receiveTimeout = kSilenceLimit;
        return options;
    }
}

ControlFeed::ControlFeed(const InstanceName& name, GroupContact contact, transport::EventSink& sink, Handlers handlers)
    : m_name(name)
    , m_contact(std::move(contact))
    , m_sink(sink)
    , m_handlers(std::move(handlers))
    , m_options(feedOptions(name, m_contact.linkKey, sink))
{
    m_held.instance = name;
    m_loop.post([this] {
        targetNext();
        watch();
    });
}

ControlFeed::~ControlFeed()
{
    m_loop.runAndWait([this] {
        m_handlers = {};
        m_client.reset();
    });
}

void ControlFeed::setSeeds(std::vector<transport::Endpoint> seeds)
{
    m_loop.post([this, seeds = std::move(seeds)]() mutable { m_contact.seeds = std::move(seeds); });
}

void ControlFeed::watch()
{
    if (!m_handlers.reply || !m_client)
        return;
    m_client->request(static_cast<std::uint16_t>(transport::MessageType::Watch), control::encodeWatch(m_held), m_following ? kWatchLimit : kFirstWatchLimit,
        [this](const transport::RequestResult& result) {
            if (m_handlers.reply)
                take(result);
        });
}

void ControlFeed::watchAfter(Micros pause)
{
    m_loop.after(pause, [this] { watch(); });
}

void ControlFeed::take(const transport::RequestResult& result)
{
    std::optional<control::WatchReply> reply = result.status == transport::RequestStatus::Answered ? control::decodeWatchReply(result.body) : std::nullopt;
    if (reply) {
        takeReply(std::move(*reply));
        return;
    }
    lose(result.status == transport::RequestStatus::Answered ? "the reply is malformed" : "no reply");
    // The callback of a client runs inside it, so it is replaced only afterwards.
    m_loop.post([this] {
        targetNext();
        watchAfter(kPauseAfterFailure);
    });
}

void ControlFeed::takeReply(control::WatchReply reply)
{
    if (!reply.members.empty())
        m_members = { reply.members.begin(), reply.members.end() };
    if (!reply.leads) {
        lose("the instance does not lead");
        const bool redirect = reply.leader && *reply.leader != m_target && ++m_redirects <= kMostRedirects;
        m_loop.post([this, redirect, leader = reply.leader.value_or("")] {
            if (redirect)
                target(leader);
            else
                targetNext();
            watchAfter(redirect ? Micros { 0 } : kPauseWithoutLeader);
        });
        return;
    }
    m_redirects = 0;
    if (!std::exchange(m_following, true))
        m_sink.log(events::kFeedRegained, { { "leader", m_target }, { "version", std::to_string(reply.documentVersion) } });
    m_held.documentVersion = std::max(m_held.documentVersion, reply.documentVersion);
    if (reply.servers || reply.serverChanges)
        m_held.list = reply.list;
    if (reply.entryInstances)
        m_held.entryList = reply.entryList;
    m_handlers.reply(std::move(reply));
    watch();
}

void ControlFeed::lose(std::string_view reason)
{
    if (!std::exchange(m_following, false))
        return;
    m_handlers.lost();
    m_sink.log(events::kFeedLost, { { "control", m_target }, { "reason", std::string { reason } }, { "version", std::to_string(m_held.documentVersion) } });
}

void ControlFeed::target(const InstanceName& name)
{
    m_target = name;
    m_client.reset();
    if (const std::optional<transport::Endpoint> endpoint = transport::parseEndpoint(name); endpoint && m_handlers.reply)
        m_client = std::make_unique<transport::FrameClient>(m_loop, m_options, endpoint->address, endpoint->port);
}

// Takes the instance after the current one among all that are known.
void ControlFeed::targetNext()
{
    m_redirects = 0;
    std::set<InstanceName> known = m_members;
    for (const transport::Endpoint& seed : m_contact.seeds)
        known.insert(memberName(m_contact, seed));
    if (known.empty())
        return;
    auto next = known.upper_bound(m_target);
    // Instances start at different members, so that they do not all ask the same one first.
    if (m_target.empty())
        std::advance(next = known.begin(), static_cast<std::ptrdiff_t>(std::hash<std::string> {}(m_name) % known.size()));
    target(next == known.end() ? *known.begin() : *next);
}

} // namespace curranttrail
