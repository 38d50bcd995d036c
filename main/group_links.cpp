#include "main/group_links.h"

#include "control/quota_messages.h"
#include "control/serialization.h"
#include "main/control_events.h"
#include "transport/control_protocol.h"

#include <utility>

namespace curranttrail {

using transport::FrameResponder;
using transport::IncomingFrame;
using transport::MessageType;

namespace {
    constexpr std::size_t kMaximumFrameBytes = 16u << 20;
    constexpr std::chrono::milliseconds kKeepAliveInterval { 150 };
    // Shorter than the minimum election timeout, so that a silent connection is replaced before its followers start an election.
    constexpr std::chrono::milliseconds kReceiveTimeout { 450 };
    // The server side also serves entry instances, which send less often than replicas.
    constexpr std::chrono::milliseconds kServerReceiveTimeout { 3'000 };
    // Far longer than a round trip within a region. The operating system resends a lost connection request, as to a machine that
    // is about to start, only after a second.
    constexpr std::chrono::milliseconds kConnectTimeout { 200 };
    constexpr std::chrono::milliseconds kHandshakeTimeout { 600 };
    constexpr std::chrono::milliseconds kMaximumBackoff { 100 };
    // Twice as many as a group has members.
    constexpr std::size_t kMaximumClients = 64;
    // A client that is neither used for this time nor of a member is closed.
    constexpr std::chrono::seconds kUnusedClientTimeout { 10 };
    // An instance of an earlier build does not reply, and reads no further once a connection has many requests without a reply. It is then
    // asked for a reply only now and then.
    constexpr unsigned kMaximumUnansweredJoins = 8;
    constexpr unsigned kJoinProbeInterval = 32;

    std::uint16_t number(MessageType type)
    {
        return static_cast<std::uint16_t>(type);
    }
}

transport::LinkOptions groupLinkOptions(const std::string& name, const std::string& key, transport::EventSink& sink)
{
    transport::LinkOptions options;
    options.name = name;
    options.clusterKey = key;
    options.maximumBodyBytes = kMaximumFrameBytes;
    options.keepAliveInterval = kKeepAliveInterval;
    options.receiveTimeout = kReceiveTimeout;
    options.connectTimeout = kConnectTimeout;
    options.handshakeTimeout = kHandshakeTimeout;
    options.maximumBackoff = kMaximumBackoff;
    options.stamp = [&sink] { return sink.clock().stamp(); };
    options.observe = [&sink](std::uint64_t stamp) { sink.clock().observe(stamp); };
    options.log = [&sink](const LogEvent& event) { sink.log(event); };
    return options;
}

GroupLinks::GroupLinks(const InstanceName& self, const transport::Endpoint& bind, const std::string& key, transport::EventSink& sink)
    : m_self(self)
    , m_sink(sink)
    , m_options(groupLinkOptions(self, key, sink))
{
    transport::LinkOptions serverOptions = m_options;
    serverOptions.receiveTimeout = kServerReceiveTimeout;
    m_server = std::make_unique<transport::FrameServer>(m_loop, serverOptions, bind.address, bind.port,
        [this](const IncomingFrame& frame, const FrameResponder& respond) { receive(frame, respond); });
}

GroupLinks::~GroupLinks()
{
    stop();
}

void GroupLinks::start(Handlers handlers)
{
    m_loop.runAndWait([&] { m_handlers = std::move(handlers); });
}

void GroupLinks::stop()
{
    std::map<InstanceName, Peer> peers;
    {
        const std::lock_guard lock(m_mutex);
        m_stopped = true;
        peers.swap(m_peers);
    }
    // Runs after all closings that are scheduled.
    m_loop.runAndWait([this] { closeRetired(); });
    peers.clear();
    m_server.reset();
}

void GroupLinks::setMembers(std::set<InstanceName> members)
{
    {
        const std::lock_guard lock(m_mutex);
        m_members = std::move(members);
        const std::chrono::steady_clock::time_point oldest = std::chrono::steady_clock::now() - kUnusedClientTimeout;
        for (auto it = m_peers.begin(); it != m_peers.end();) {
            const auto current = it++;
            if (!m_members.contains(current->first) && current->second.usedAt < oldest)
                retire(current);
        }
    }
    closeRetired();
}

std::size_t GroupLinks::clients() const
{
    const std::lock_guard lock(m_mutex);
    return m_peers.size();
}

// Retires the client that has been unused for the longest time and is not of a member. Returns false if there is none.
bool GroupLinks::makeRoom()
{
    auto oldest = m_peers.end();
    for (auto it = m_peers.begin(); it != m_peers.end(); ++it) {
        if (!m_members.contains(it->first) && (oldest == m_peers.end() || it->second.usedAt < oldest->second.usedAt))
            oldest = it;
    }
    if (oldest == m_peers.end())
        return false;
    m_sink.log(events::kPeerClientClosed, { { "peer", oldest->first }, { "clients", std::to_string(m_peers.size()) } });
    retire(oldest);
    // Closing a client completes its requests, whose callbacks use this object.
    m_loop.post([this] { closeRetired(); });
    return true;
}

void GroupLinks::retire(std::map<InstanceName, Peer>::iterator peer)
{
    m_unansweredJoins.erase(peer->first);
    m_retired.push_back(std::move(peer->second.client));
    m_peers.erase(peer);
}

void GroupLinks::closeRetired()
{
    std::vector<std::unique_ptr<transport::FrameClient>> retired;
    const std::lock_guard lock(m_mutex);
    retired.swap(m_retired);
}

transport::FrameClient* GroupLinks::clientFor(const InstanceName& name)
{
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    const auto it = m_peers.find(name);
    if (it != m_peers.end()) {
        it->second.usedAt = now;
        return it->second.client.get();
    }
    const std::optional<transport::Endpoint> endpoint = transport::parseEndpoint(name);
    if (!endpoint || m_stopped)
        return nullptr;
    if (m_peers.size() >= kMaximumClients && !makeRoom()) {
        m_sink.log(events::kPeerClientRefused, { { "peer", name }, { "clients", std::to_string(m_peers.size()) } });
        return nullptr;
    }
    Peer peer { std::make_unique<transport::FrameClient>(m_loop, m_options, endpoint->address, endpoint->port), now };
    return m_peers.emplace(name, std::move(peer)).first->second.client.get();
}

void GroupLinks::sendToPeer(const InstanceName& to, const control::PeerMessage& message)
{
    const std::lock_guard lock(m_mutex);
    if (transport::FrameClient* client = clientFor(to))
        client->send(number(MessageType::Replica), encode(transport::ReplicaMessage { m_self, control::encodePeerMessage(message) }));
}

void GroupLinks::requestJoin(const InstanceName& to, Micros timeout, std::function<void(const control::JoinReply&)> callback)
{
    const std::lock_guard lock(m_mutex);
    transport::FrameClient* client = to == m_self ? nullptr : clientFor(to);
    if (!client)
        return;
    const unsigned unanswered = m_unansweredJoins[to]++;
    if (unanswered >= kMaximumUnansweredJoins && unanswered % kJoinProbeInterval != 0) {
        client->send(number(MessageType::JoinGroup), control::encodeJoin({ m_self }));
        return;
    }
    client->request(number(MessageType::JoinGroup), control::encodeJoin({ m_self }), timeout, [this, to, callback = std::move(callback)](const transport::RequestResult& result) {
        const std::optional<control::JoinReply> reply = result.status == transport::RequestStatus::Answered ? control::decodeJoinReply(result.body) : std::nullopt;
        if (result.status != transport::RequestStatus::Unknown) {
            const std::lock_guard lock(m_mutex);
            m_unansweredJoins.erase(to);
        }
        if (reply)
            callback(*reply);
    });
}

void GroupLinks::requestLeave(const InstanceName& to, Micros timeout, std::function<void(control::LeaveOutcome)> callback)
{
    const std::lock_guard lock(m_mutex);
    transport::FrameClient* client = to == m_self ? nullptr : clientFor(to);
    if (!client)
        return;
    client->request(number(MessageType::LeaveGroup), control::encodeLeave({ m_self }), timeout, [callback = std::move(callback)](const transport::RequestResult& result) {
        const std::optional<control::LeaveReply> reply = result.status == transport::RequestStatus::Answered ? control::decodeLeaveReply(result.body) : std::nullopt;
        if (reply)
            callback(reply->outcome);
    });
}

void GroupLinks::receive(const IncomingFrame& frame, const FrameResponder& respond)
{
    if (frame.type == number(MessageType::Watch) && respond) {
        std::optional<control::WatchRequest> request = control::decodeWatch(frame.body);
        if (!request)
            refuse(frame, "the watch request is malformed");
        else if (m_handlers.watch)
            m_handlers.watch(std::move(*request), respond);
        return;
    }
    if (frame.type == number(MessageType::FetchDocument) && respond) {
        const std::optional<control::DocumentPartRequest> request = control::decodeDocumentPartRequest(frame.body);
        if (!request)
            refuse(frame, "the request for a part of the document is malformed");
        else if (m_handlers.fetchDocument)
            m_handlers.fetchDocument(*request, respond);
        return;
    }
    if (frame.type == number(MessageType::ReportQuotas) && respond) {
        std::optional<policy::QuotaReport> report = control::decodeQuotaReport(frame.body);
        if (!report)
            refuse(frame, "the report of quotas is malformed");
        else if (m_handlers.reportQuotas)
            m_handlers.reportQuotas(std::move(*report), respond);
        return;
    }
    if (frame.type == number(MessageType::JoinGroup)) {
        const std::optional<control::JoinRequest> join = control::decodeJoin(frame.body);
        if (!join || join->name != frame.from || !transport::parseEndpoint(join->name))
            refuse(frame, "the join request is malformed");
        else if (m_handlers.join)
            m_handlers.join(join->name, respond ? [respond](const control::JoinReply& reply) { respond(control::encodeJoinReply(reply)); } : std::function<void(const control::JoinReply&)> {});
        return;
    }
    if (frame.type == number(MessageType::LeaveGroup) && respond) {
        const std::optional<control::LeaveRequest> leave = control::decodeLeave(frame.body);
        if (!leave || leave->name != frame.from)
            refuse(frame, "the leave request is malformed");
        else if (m_handlers.leave)
            m_handlers.leave(leave->name, [respond](control::LeaveOutcome outcome) { respond(control::encodeLeaveReply({ outcome })); });
        return;
    }
    const std::optional<transport::ReplicaMessage> replica = transport::decode<transport::ReplicaMessage>(frame.body);
    std::optional<control::PeerMessage> message = replica ? control::decodePeerMessage(replica->message) : std::nullopt;
    if (frame.type != number(MessageType::Replica) || !message || replica->from != frame.from)
        refuse(frame, "not a message of a replica of this group");
    else if (m_handlers.peer)
        m_handlers.peer(frame.from, std::move(*message));
}

void GroupLinks::refuse(const IncomingFrame& frame, std::string_view reason)
{
    m_sink.log(events::kMessageRefused, { { "from", frame.from }, { "type", std::to_string(frame.type) }, { "reason", std::string { reason } } });
}

} // namespace curranttrail
