#include "main/control_feed.h"

#include "control/quota_messages.h"
#include "main/feed_events.h"
#include "main/group_links.h"
#include "transport/control_protocol.h"

#include <fmt/format.h>

#include <algorithm>
#include <utility>
#include <vector>

namespace curranttrail {

namespace {
    // A leader answers a watch request within 0.35 s even if nothing has changed. An instance that is cut off detects it after this
    // time, and its callers wait until then.
    constexpr Micros kWatchTimeout { 600'000 };
    // The first reply of a leader contains the document and the complete list, for hundreds of watchers at the same time.
    constexpr Micros kFirstWatchTimeout { 950'000 };
    constexpr std::chrono::milliseconds kKeepAliveInterval { 1'000 };
    constexpr std::chrono::milliseconds kReceiveTimeout { 1'500 };
    // A part takes long if a link is narrow and shared. Replies to watch requests show meanwhile that the control instance is alive.
    constexpr Micros kPartTimeout { 2'000'000 };
    // Instances of earlier builds do not answer requests for parts. Until the first part arrives this instance may wait in vain.
    constexpr Micros kFirstPartTimeout { 600'000 };
    // An instance that sent no parts may be of a later build after this time.
    constexpr Micros kPartProbeInterval { 60'000'000 };
    // Shorter than credits live; a leader of an earlier build does not answer.
    constexpr Micros kQuotaTimeout { 500'000 };
    constexpr Micros kFailureRetryDelay { 100'000 };
    // Short, because a control instance without a leader delays its reply already.
    constexpr Micros kNoLeaderRetryDelay { 50'000 };
    // Redirects between replicas that name each other as leader end after this number.
    constexpr unsigned kMaximumRedirects = 3;
    // Longer than an election takes, so that a change of leader is not reported.
    constexpr Micros kMissingLeaderReportDelay { 2'000'000 };
    constexpr Micros kMissingLeaderReportInterval { 5'000'000 };

    transport::LinkOptions feedOptions(const InstanceName& name, const std::string& key, transport::EventSink& sink)
    {
        transport::LinkOptions options = groupLinkOptions(name, key, sink);
        options.keepAliveInterval = kKeepAliveInterval;
        options.receiveTimeout = kReceiveTimeout;
        return options;
    }
}

ControlFeed::ControlFeed(const control::EntryInstance& instance, GroupConnection groupConnection, transport::EventSink& sink, Handlers handlers)
    : m_name(instance.name)
    , m_groupConnection(std::move(groupConnection))
    , m_sink(sink)
    , m_handlers(std::move(handlers))
    , m_options(feedOptions(instance.name, m_groupConnection.linkKey, sink))
{
    m_nextWatch.instance = instance;
    m_loop.post([this] {
        connectToNext();
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
    m_loop.post([this, seeds = std::move(seeds)]() mutable { m_groupConnection.seeds = std::move(seeds); });
}

void ControlFeed::withdrawRelay()
{
    m_loop.post([this] { m_nextWatch.instance.relay.clear(); });
}

void ControlFeed::shareCrashes(std::vector<policy::CrashRecord> records)
{
    m_loop.post([this, records = std::move(records)] { m_crashes.update(records, transport::monotonicNow()); });
}

void ControlFeed::reportQuotas(const policy::QuotaReport& report)
{
    m_loop.post([this, bytes = control::encodeQuotaReport(report)] { sendQuotaReport(bytes); });
}

void ControlFeed::sendQuotaReport(const std::string& report)
{
    if (!m_handlers.quotasReplied)
        return;
    if (!m_client || !m_following) {
        m_handlers.quotasReplied(std::nullopt);
        return;
    }
    m_client->request(static_cast<std::uint16_t>(transport::MessageType::ReportQuotas), report, kQuotaTimeout, [this](const transport::RequestResult& result) {
        if (m_handlers.quotasReplied)
            m_handlers.quotasReplied(result.status == transport::RequestStatus::Answered ? control::decodeQuotaReply(result.body) : std::nullopt);
    });
}

void ControlFeed::watch()
{
    if (!m_handlers.reply || !m_client)
        return;
    m_crashes.fill(m_nextWatch, transport::monotonicNow());
    m_nextWatch.documentVersion = m_sendsParts ? m_transfer.announced() | control::kFetchesDocumentBit | control::kKnowsQuotasBit : m_transfer.received();
    control::WatchRequest request = m_nextWatch;
    if (!m_sendsParts)
        request.entryListVersion.revision |= control::kReadsExtensionBit;
    m_client->request(static_cast<std::uint16_t>(transport::MessageType::Watch), control::encodeWatch(request), m_following ? kWatchTimeout : kFirstWatchTimeout,
        [this, requestSentAt = transport::bootTimeNow()](const transport::RequestResult& result) {
            if (m_handlers.reply)
                handleResult(result, requestSentAt);
        });
}

void ControlFeed::watchAfter(Micros delay)
{
    m_loop.after(delay, [this] { watch(); });
}

void ControlFeed::handleResult(const transport::RequestResult& result, TimePoint requestSentAt)
{
    std::optional<control::WatchReply> reply = result.status == transport::RequestStatus::Answered ? control::decodeWatchReply(result.body) : std::nullopt;
    if (reply) {
        handleReply(std::move(*reply), requestSentAt);
        return;
    }
    const bool isAnswered = result.status == transport::RequestStatus::Answered;
    reportLost(isAnswered ? "the reply is malformed" : "no reply");
    reportMissingLeader(isAnswered ? "malformed_reply" : "no_reply");
    // This callback runs inside the client, so the client is replaced only after it has returned.
    m_loop.post([this] {
        connectToNext();
        watchAfter(kFailureRetryDelay);
    });
}

void ControlFeed::handleReply(control::WatchReply reply, TimePoint requestSentAt)
{
    if (!reply.leads) {
        m_members.addNamed(reply.members);
        reportLost("the instance is not the leader");
        reportMissingLeader(reply.leader ? "names_" + *reply.leader : "knows_no_leader");
        takeLeavingServers(std::move(reply.leavingServers), reply.serverListAge);
        const bool redirect = reply.leader && *reply.leader != m_target && ++m_redirects <= kMaximumRedirects;
        m_loop.post([this, redirect, leader = reply.leader.value_or("")] {
            if (redirect)
                connectTo(leader);
            else
                connectToNext();
            watchAfter(redirect ? Micros { 0 } : kNoLeaderRetryDelay);
        });
        return;
    }
    if (!reply.members.empty())
        m_members.setMembers({ reply.members.begin(), reply.members.end() });
    m_redirects = 0;
    m_outcomes.clear();
    if (!std::exchange(m_following, true))
        m_sink.log(events::kFeedRegained, { { "leader", m_target }, { "version", std::to_string(reply.documentVersion) } });
    m_isAliveSinceRequest = true;
    m_transfer.announce(reply.documentVersion);
    if (reply.document)
        m_transfer.recordReceived(reply.documentVersion);
    if (reply.servers || reply.serverChanges)
        m_nextWatch.serverListVersion = reply.serverListVersion;
    if (reply.entryInstances)
        m_nextWatch.entryListVersion = reply.entryListVersion;
    std::vector<policy::CrashRecord> crashes = m_crashes.takeReply(reply, transport::monotonicNow());
    m_handlers.reply(std::move(reply), std::move(crashes), requestSentAt);
    watch();
    fetchNextPart();
}

void ControlFeed::fetchNextPart()
{
    if (m_isFetchingPart || !m_sendsParts || !m_client || !m_transfer.isNeeded())
        return;
    m_isFetchingPart = true;
    m_partRequestedAt = transport::monotonicNow();
    m_isAliveSinceRequest = false;
    m_client->request(static_cast<std::uint16_t>(transport::MessageType::FetchDocument), control::encodeDocumentPartRequest(m_transfer.nextRequest()), m_hasSentPart ? kPartTimeout : kFirstPartTimeout,
        [this](const transport::RequestResult& result) {
            m_isFetchingPart = false;
            if (m_handlers.reply)
                handlePart(result);
        });
}

// After a failure the next reply to a watch request continues the transfer.
void ControlFeed::handlePart(const transport::RequestResult& result)
{
    const TimePoint now = transport::monotonicNow();
    if (result.status != transport::RequestStatus::Answered) {
        if (m_hasSentPart || !m_isAliveSinceRequest || now - m_partRequestedAt < kFirstPartTimeout)
            return;
        m_sendsParts = false;
        m_sendsNoPartsUntil[m_target] = now + kPartProbeInterval;
        return;
    }
    m_hasSentPart = true;
    const std::optional<control::DocumentPart> part = control::decodeDocumentPart(result.body);
    const control::DocumentTransfer::Result taken = part ? m_transfer.take(*part) : control::DocumentTransfer::Refused { "the reply is malformed" };
    if (const control::DocumentTransfer::Refused* refused = std::get_if<control::DocumentTransfer::Refused>(&taken)) {
        m_sink.log(events::kDocumentPartRefused, { { "control", m_target }, { "wanted", std::to_string(m_transfer.announced()) }, { "version", std::to_string(part ? part->version : 0) }, { "reason", std::string { refused->reason } } });
        return;
    }
    if (const control::DocumentTransfer::Document* document = std::get_if<control::DocumentTransfer::Document>(&taken))
        m_handlers.document(document->content);
    fetchNextPart();
}

void ControlFeed::takeLeavingServers(std::vector<std::string> servers, Micros age)
{
    if (servers.empty())
        return;
    // Changes since the last list would not name a server that is still in use, so the next leader sends its whole list.
    m_nextWatch.serverListVersion = {};
    m_handlers.serversLeaving(std::move(servers), age);
}

void ControlFeed::reportLost(std::string_view reason)
{
    if (!std::exchange(m_following, false))
        return;
    m_handlers.disconnected();
    m_sink.log(events::kFeedLost, { { "control", m_target }, { "reason", std::string { reason } }, { "version", std::to_string(m_transfer.received()) } });
}

// One line shows why no control instance served as the leader.
void ControlFeed::reportMissingLeader(std::string_view reason)
{
    const TimePoint now = transport::monotonicNow();
    if (m_outcomes.empty()) {
        m_leaderlessSince = now;
        m_nextLeaderReport = now + kMissingLeaderReportDelay;
    }
    m_outcomes[m_target] = reason;
    if (now < m_nextLeaderReport)
        return;
    m_nextLeaderReport = now + kMissingLeaderReportInterval;
    std::vector<std::string> outcomes;
    for (const auto& [target, outcome] : m_outcomes)
        outcomes.push_back(fmt::format("{}={}", target, outcome));
    m_sink.log(events::kNoControlLeader, { { "for_us", fmt::to_string((now - m_leaderlessSince).count()) }, { "tried", fmt::format("{}", fmt::join(outcomes, ",")) }, { "known", fmt::format("{}", fmt::join(knownInstances(), ",")) }, { "version", fmt::to_string(m_transfer.received()) } });
}

void ControlFeed::connectTo(const InstanceName& name)
{
    m_target = name;
    m_client.reset();
    const TimePoint now = transport::monotonicNow();
    std::erase_if(m_sendsNoPartsUntil, [now](const auto& known) { return now >= known.second; });
    m_sendsParts = !m_sendsNoPartsUntil.contains(name);
    m_hasSentPart = false;
    if (const std::optional<transport::Endpoint> endpoint = transport::parseEndpoint(name); endpoint && m_handlers.reply)
        m_client = std::make_unique<transport::FrameClient>(m_loop, m_options, endpoint->address, endpoint->port);
}

std::set<InstanceName> ControlFeed::knownInstances() const
{
    std::set<InstanceName> known = m_members.all();
    for (const transport::Endpoint& seed : m_groupConnection.seeds)
        known.insert(memberName(m_groupConnection, seed));
    return known;
}

// Connects to the known instance that follows the current one in the order of names.
void ControlFeed::connectToNext()
{
    m_redirects = 0;
    const std::set<InstanceName> known = knownInstances();
    if (known.empty())
        return;
    auto next = known.upper_bound(m_target);
    // Entry instances start at different members, so that they do not all connect to the same one first.
    if (m_target.empty())
        std::advance(next = known.begin(), static_cast<std::ptrdiff_t>(std::hash<std::string> {}(m_name) % known.size()));
    connectTo(next == known.end() ? *known.begin() : *next);
}

} // namespace curranttrail
