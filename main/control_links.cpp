#include "main/control_links.h"

#include "control/serialization.h"
#include "main/control_events.h"
#include "transport/control_protocol.h"

#include <utility>

namespace curranttrail {

using transport::FrameResponder;
using transport::IncomingFrame;
using transport::MessageType;
using transport::RequestResult;
using transport::RequestStatus;
using transport::SubmitResult;
using transport::SubmitStatus;

namespace {

    constexpr std::size_t kMaximumFrameBytes = 4 << 20;

    std::uint16_t number(MessageType type)
    {
        return static_cast<std::uint16_t>(type);
    }

    // Returns the submit status for the result of a command that this process proposed or forwarded.
    SubmitStatus statusOf(const control::CommandResult& result)
    {
        switch (result.status) {
        case control::CommandStatus::NotLeader:
        case control::CommandStatus::StorageFailed:
            return SubmitStatus::NotProposed;
        case control::CommandStatus::OutcomeUnknown:
            return SubmitStatus::Unknown;
        default:
            return SubmitStatus::Answered;
        }
    }

    // Returns the command if its sender may submit it. Class changes come only from replicas of the group, which received them
    // through their administration API.
    std::optional<control::Command> commandOf(const transport::SubmitCommand& submitted, bool fromGroup)
    {
        if (const control::SetClass* change = std::get_if<control::SetClass>(&submitted.command))
            return fromGroup ? std::optional<control::Command> { *change } : std::nullopt;
        if (const control::ClaimRequest* claim = std::get_if<control::ClaimRequest>(&submitted.command))
            return *claim;
        return std::get<control::SettleClaimRequest>(submitted.command);
    }

} // namespace

// A command and its callback, which runs at the result or at the timeout, whichever comes first.
struct ControlLinks::PendingCommand {
    control::Command command;
    transport::SubmitCallback callback;
    std::atomic<bool> done { false };

    void finish(const SubmitResult& result)
    {
        if (done.exchange(true))
            return;
        // Releases the callback now instead of with the timer, because it may hold a connection.
        const transport::SubmitCallback run = std::move(callback);
        run(result);
    }
};

ControlLinks::ControlLinks(const ControlSettings& settings, transport::EventSink& sink, VersionReportTable& versionReports)
    : m_name(settings.name)
    , m_owner(settings.owner)
    , m_dataCentre(settings.dataCentre)
    , m_sink(sink)
    , m_versionReports(versionReports)
    , m_groupOptions(linkOptions(transport::readClusterKey(settings.groupKeyFile), control::kMaximumSnapshotBytes))
    , m_frameOptions(linkOptions(transport::readClusterKey(settings.clusterKeyFile), kMaximumFrameBytes))
    , m_partners(settings.partners)
{
    // Shorter than the group's election timeout, so that a silent connection is replaced before it delays the group for long.
    m_groupOptions.keepAliveInterval = std::chrono::milliseconds { 100 };
    m_groupOptions.receiveTimeout = std::chrono::milliseconds { 500 };
    m_groupOptions.maximumBackoff = std::chrono::milliseconds { 250 };
    m_groupServer = std::make_unique<transport::FrameServer>(m_groupLoop, m_groupOptions, settings.group.address, settings.group.port,
        [this](const IncomingFrame& frame, const FrameResponder& respond) { receiveFromGroup(frame, respond); });
    m_frameServer = std::make_unique<transport::FrameServer>(m_frameLoop, m_frameOptions, settings.frames.address, settings.frames.port,
        [this](const IncomingFrame& frame, const FrameResponder& respond) { receive(frame, respond); });
}

ControlLinks::~ControlLinks()
{
    stop();
}

transport::LinkOptions ControlLinks::linkOptions(const std::string& key, std::size_t maximumBodyBytes) const
{
    transport::LinkOptions options;
    options.name = m_name;
    options.clusterKey = key;
    options.maximumBodyBytes = maximumBodyBytes;
    options.maximumConnections = 8'192;
    options.stamp = [&sink = m_sink] { return sink.clock().stamp(); };
    options.observe = [&sink = m_sink](std::uint64_t stamp) { sink.clock().observe(stamp); };
    options.log = [&sink = m_sink](const LogEvent& event) { sink.log(event); };
    return options;
}

void ControlLinks::start(ControlRuntime& runtime, const std::vector<GroupPeer>& peers, UsageHandlers usage)
{
    for (const GroupPeer& peer : peers)
        m_peerClients[peer.name] = std::make_unique<transport::FrameClient>(m_groupLoop, m_groupOptions, peer.address.address, peer.address.port);
    for (const PartnerInstance& partner : m_partners)
        m_partnerClients[partner.name] = std::make_unique<transport::FrameClient>(m_frameLoop, m_frameOptions, partner.address.address, partner.address.port);
    m_usage = std::move(usage);
    m_runtime = &runtime;
}

void ControlLinks::stop()
{
    m_frameServer.reset();
    m_groupServer.reset();
    m_partnerClients.clear();
    m_peerClients.clear();
}

void ControlLinks::sendToPeer(const InstanceName& to, const control::PeerMessage& message)
{
    const auto it = m_peerClients.find(to);
    if (it != m_peerClients.end())
        it->second->send(number(MessageType::Replica), encode(transport::ReplicaMessage { m_name, control::encodePeerMessage(message) }));
}

void ControlLinks::receiveFromGroup(const IncomingFrame& frame, const FrameResponder& respond)
{
    ControlRuntime* runtime = m_runtime;
    if (!runtime)
        return;
    if (frame.type == number(MessageType::SubmitCommand) && respond) {
        answerCommand(frame, respond, true);
        return;
    }
    if (frame.type == number(MessageType::ExchangeHeads) && !respond) {
        if (m_usage.exchange)
            m_usage.exchange(frame.from, frame.body);
        return;
    }
    const std::optional<transport::ReplicaMessage> replica = transport::decode<transport::ReplicaMessage>(frame.body);
    if (frame.type != number(MessageType::Replica) || !replica || replica->from != frame.from || !m_peerClients.contains(frame.from)) {
        refuse(frame, "not a message of a replica of this group");
        return;
    }
    std::optional<control::PeerMessage> message = control::decodePeerMessage(replica->message);
    if (!message) {
        refuse(frame, "the replica's message is malformed");
        return;
    }
    runtime->receive(frame.from, std::move(*message));
}

void ControlLinks::receive(const IncomingFrame& frame, const FrameResponder& respond)
{
    if (!m_runtime)
        return;
    if (frame.type == number(MessageType::ReportVersions)) {
        if (const std::optional<transport::ReportVersions> report = transport::decode<transport::ReportVersions>(frame.body))
            m_versionReports.record(*report, transport::monotonicNow());
        else
            refuse(frame, "the report is malformed");
        return;
    }
    if (frame.type == number(MessageType::ExchangeHeads)) {
        if (m_usage.exchange && m_partnerClients.contains(frame.from))
            m_usage.exchange(frame.from, frame.body);
        return;
    }
    if (!respond) {
        refuse(frame, "unknown message type");
        return;
    }
    switch (static_cast<MessageType>(frame.type)) {
    case MessageType::FetchConfiguration:
        answerConfiguration(frame, respond);
        return;
    case MessageType::SubmitCommand:
        answerCommand(frame, respond, false);
        return;
    case MessageType::ShipUsage:
        if (m_usage.ship)
            m_usage.ship(frame.body, respond);
        else
            respond({});
        return;
    default:
        refuse(frame, "unknown message type");
    }
}

void ControlLinks::answerConfiguration(const IncomingFrame& frame, const FrameResponder& respond)
{
    const std::optional<transport::FetchConfiguration> fetch = transport::decode<transport::FetchConfiguration>(frame.body);
    if (!fetch) {
        refuse(frame, "the configuration request is malformed");
        return;
    }
    m_runtime.load()->view([this, fetch = *fetch, respond](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        const OwnerConfiguration& configuration = reducer.state().configuration;
        transport::ConfigurationAnswer answer;
        answer.controlOwner = m_owner;
        answer.dataCentre = m_dataCentre;
        answer.leaderWithLease = status.role == control::Role::Leader && status.leaseValid;
        answer.leader = status.leader;
        answer.versions[m_owner] = configuration.version;
        const auto knownVersion = fetch.held.find(m_owner);
        if (knownVersion == fetch.held.end() || knownVersion->second.value < configuration.version.value)
            answer.classes[m_owner] = configuration;
        respond(encode(answer));
    });
}

void ControlLinks::answerCommand(const IncomingFrame& frame, const FrameResponder& respond, bool fromGroup)
{
    const std::optional<transport::SubmitCommand> submitted = transport::decode<transport::SubmitCommand>(frame.body);
    std::optional<control::Command> command = submitted ? commandOf(*submitted, fromGroup) : std::nullopt;
    if (!command) {
        refuse(frame, "the command is malformed or not allowed for its sender");
        control::CommandResult result;
        result.status = control::CommandStatus::Invalid;
        result.message = "the command is malformed or not allowed here";
        respond(transport::encode(result));
        return;
    }
    m_runtime.load()->submit(std::move(*command), [respond](const control::CommandResult& result) { respond(transport::encode(result)); });
}

void ControlLinks::submit(control::Command command, Micros timeout, transport::SubmitCallback callback)
{
    const std::shared_ptr<PendingCommand> pending = std::make_shared<PendingCommand>();
    pending->command = std::move(command);
    pending->callback = std::move(callback);
    m_frameLoop.after(timeout, [pending] { pending->finish({ SubmitStatus::Unknown, {}, "no result within the timeout" }); });
    m_runtime.load()->submit(pending->command, [this, pending, timeout](const control::CommandResult& result) {
        if (result.status == control::CommandStatus::NotLeader && result.leader && *result.leader != m_name)
            forwardToLeader(*result.leader, pending, timeout);
        else
            pending->finish({ statusOf(result), result, result.message });
    });
}

void ControlLinks::forwardToLeader(const InstanceName& leader, const std::shared_ptr<PendingCommand>& pending, Micros timeout)
{
    const auto it = m_peerClients.find(leader);
    const control::SetClass* change = std::get_if<control::SetClass>(&pending->command);
    if (it == m_peerClients.end() || !change) {
        pending->finish({ SubmitStatus::NotProposed, {}, "this instance has no connection to the leader" });
        return;
    }
    const std::string body = encode(transport::SubmitCommand { *change });
    it->second->request(number(MessageType::SubmitCommand), body, timeout, [pending](const RequestResult& reply) {
        if (reply.status == RequestStatus::NotSent) {
            pending->finish({ SubmitStatus::NotProposed, {}, "the leader cannot be reached from this instance" });
            return;
        }
        const std::optional<control::CommandResult> result = transport::decode<control::CommandResult>(reply.body);
        if (reply.status != RequestStatus::Answered || !result)
            pending->finish({ SubmitStatus::Unknown, {}, "the change was sent to the leader, which did not answer" });
        else
            pending->finish({ statusOf(*result), *result, result->message });
    });
}

void ControlLinks::sendToLedger(const InstanceName& to, std::string message)
{
    const auto peer = m_peerClients.find(to);
    const auto partner = m_partnerClients.find(to);
    if (peer != m_peerClients.end())
        peer->second->send(number(MessageType::ExchangeHeads), std::move(message));
    else if (partner != m_partnerClients.end())
        partner->second->send(number(MessageType::ExchangeHeads), std::move(message));
}

void ControlLinks::refuse(const IncomingFrame& frame, std::string_view reason)
{
    m_sink.log(events::kMessageRefused, { { "from", frame.from }, { "type", std::to_string(frame.type) }, { "reason", std::string { reason } } });
}

} // namespace curranttrail
