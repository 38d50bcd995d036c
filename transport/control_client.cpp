#include "transport/control_client.h"

#include <algorithm>
#include <set>

namespace curranttrail::transport {

namespace {

    using Clock = std::chrono::steady_clock;

    std::uint16_t wireType(MessageType type)
    {
        return static_cast<std::uint16_t>(type);
    }

} // namespace

class ControlClient::Implementation : public std::enable_shared_from_this<ControlClient::Implementation> {
public:
    Implementation(EventLoop& loop, ControlClientOptions options, ConfigurationCallback onConfiguration);

    void start();
    void stop();
    void setReportedVersions(ReportVersions report);
    void beginSubmit(const OwnerName& owner, const SubmitCommand& command, Micros timeout, SubmitCallback callback);
    void fetchFrom(const ControlEndpoint& endpoint);
    void requestFrom(const OwnerName& owner, const InstanceName& instance, MessageType type, std::string body, Micros timeout,
        RequestCallback callback);
    std::vector<InstanceName> connectedInstances(const OwnerName& owner) const;

private:
    struct Replica {
        InstanceName name;
        std::unique_ptr<FrameClient> client;
    };

    struct Group {
        std::vector<Replica> replicas;
        // Index of the replica to poll next.
        std::size_t nextPoll = 0;
        // Index of the replica that receives the next command.
        std::size_t lastKnownLeader = 0;
    };

    struct Submission {
        OwnerName owner;
        std::string body;
        Clock::time_point deadline;
        SubmitCallback callback;
        std::size_t replica = 0;
        // True if an earlier attempt may have been proposed.
        bool possiblyProposed = false;
        std::string message = "no control instance could be reached";
    };

    void poll();
    void pollGroup(Group& group);
    void reportPeriodically();
    void report();
    void handleAnswer(const InstanceName& from, const RequestResult& result);
    void updateLastKnownLeader(const InstanceName& from, const ConfigurationAnswer& answer);
    void attemptSubmission(const std::shared_ptr<Submission>& submission);
    void handleResult(const std::shared_ptr<Submission>& submission, const RequestResult& reply);
    void retrySubmission(const std::shared_ptr<Submission>& submission, const std::optional<InstanceName>& leader);
    void finish(const std::shared_ptr<Submission>& submission);
    static std::optional<std::size_t> find(const Group& group, const InstanceName& name);

    EventLoop& m_loop;
    ControlClientOptions m_options;
    ConfigurationCallback m_onConfiguration;
    // Groups and replicas do not change after construction, so other threads may read them without a lock.
    std::map<OwnerName, Group> m_groups;
    std::map<InstanceName, std::unique_ptr<FrameClient>> m_peers;
    // Submissions whose callback has not been called yet.
    std::set<std::shared_ptr<Submission>> m_submissions;
    ReportVersions m_report;
    bool m_stopped = false;
};

ControlClient::Implementation::Implementation(EventLoop& loop, ControlClientOptions options, ConfigurationCallback onConfiguration)
    : m_loop(loop)
    , m_options(std::move(options))
    , m_onConfiguration(std::move(onConfiguration))
{
    for (const auto& [owner, endpoints] : m_options.instances) {
        Group& group = m_groups[owner];
        for (const ControlEndpoint& endpoint : endpoints)
            group.replicas.push_back({ endpoint.name, std::make_unique<FrameClient>(m_loop, m_options.link, endpoint.address, endpoint.port) });
    }
}

void ControlClient::Implementation::start()
{
    poll();
    reportPeriodically();
}

void ControlClient::Implementation::stop()
{
    // Destroying a client completes its pending requests. Their submissions finish instead of retrying because m_stopped is set.
    m_stopped = true;
    m_peers.clear();
    for (auto& [owner, group] : m_groups) {
        for (Replica& replica : group.replicas)
            replica.client.reset();
    }
    const std::set<std::shared_ptr<Submission>> unfinished = m_submissions;
    for (const std::shared_ptr<Submission>& submission : unfinished)
        finish(submission);
}

void ControlClient::Implementation::poll()
{
    if (m_stopped)
        return;
    for (auto& [owner, group] : m_groups)
        pollGroup(group);
    m_loop.after(m_options.pollInterval, [self = shared_from_this()] { self->poll(); });
}

void ControlClient::Implementation::pollGroup(Group& group)
{
    // Disconnected replicas are skipped because polling one would waste a whole interval.
    for (std::size_t i = 0; i < group.replicas.size(); ++i) {
        Replica& replica = group.replicas[group.nextPoll++ % group.replicas.size()];
        if (!replica.client->connected())
            continue;
        replica.client->request(wireType(MessageType::FetchConfiguration), encode(FetchConfiguration { m_report.inForce }), m_options.pollTimeout,
            [self = shared_from_this(), name = replica.name](const RequestResult& result) { self->handleAnswer(name, result); });
        return;
    }
}

void ControlClient::Implementation::handleAnswer(const InstanceName& from, const RequestResult& result)
{
    if (m_stopped || result.status != RequestStatus::Answered)
        return;
    const std::optional<ConfigurationAnswer> answer = decode<ConfigurationAnswer>(result.body);
    if (!answer)
        return;
    updateLastKnownLeader(from, *answer);
    m_onConfiguration(from, *answer);
}

void ControlClient::Implementation::updateLastKnownLeader(const InstanceName& from, const ConfigurationAnswer& answer)
{
    const auto it = m_groups.find(answer.controlOwner);
    if (it == m_groups.end() || !answer.leaderWithLease)
        return;
    it->second.lastKnownLeader = find(it->second, from).value_or(it->second.lastKnownLeader);
}

std::optional<std::size_t> ControlClient::Implementation::find(const Group& group, const InstanceName& name)
{
    const auto it = std::find_if(group.replicas.begin(), group.replicas.end(), [&](const Replica& replica) { return replica.name == name; });
    if (it == group.replicas.end())
        return std::nullopt;
    return static_cast<std::size_t>(it - group.replicas.begin());
}

void ControlClient::Implementation::reportPeriodically()
{
    if (m_stopped)
        return;
    report();
    m_loop.after(m_options.reportInterval, [self = shared_from_this()] { self->reportPeriodically(); });
}

void ControlClient::Implementation::report()
{
    if (m_report.instance.empty())
        return;
    for (auto& [owner, group] : m_groups) {
        for (Replica& replica : group.replicas)
            replica.client->send(wireType(MessageType::ReportVersions), encode(m_report));
    }
}

void ControlClient::Implementation::setReportedVersions(ReportVersions report)
{
    if (m_stopped)
        return;
    const bool changed = report.inForce != m_report.inForce;
    m_report = std::move(report);
    if (changed)
        this->report();
}

void ControlClient::Implementation::beginSubmit(const OwnerName& owner, const SubmitCommand& command, Micros timeout, SubmitCallback callback)
{
    const auto it = m_groups.find(owner);
    if (m_stopped || it == m_groups.end() || it->second.replicas.empty()) {
        callback({ SubmitStatus::NotProposed, {}, "no control instance is configured for this owner" });
        return;
    }
    const std::shared_ptr<Submission> submission = std::make_shared<Submission>();
    submission->owner = owner;
    submission->body = encode(command);
    submission->deadline = Clock::now() + timeout;
    submission->callback = std::move(callback);
    submission->replica = it->second.lastKnownLeader;
    m_submissions.insert(submission);
    attemptSubmission(submission);
}

void ControlClient::Implementation::attemptSubmission(const std::shared_ptr<Submission>& submission)
{
    if (!m_submissions.contains(submission))
        return;
    const Micros remaining = std::chrono::duration_cast<Micros>(submission->deadline - Clock::now());
    if (m_stopped || remaining <= Micros { 0 }) {
        finish(submission);
        return;
    }
    Group& group = m_groups.at(submission->owner);
    const Micros attemptLimit = std::min<Micros>(remaining, m_options.attemptTimeout);
    group.replicas[submission->replica].client->request(wireType(MessageType::SubmitCommand), submission->body, attemptLimit,
        [self = shared_from_this(), submission](const RequestResult& reply) { self->handleResult(submission, reply); });
}

void ControlClient::Implementation::handleResult(const std::shared_ptr<Submission>& submission, const RequestResult& reply)
{
    if (reply.status != RequestStatus::Answered) {
        submission->possiblyProposed = submission->possiblyProposed || reply.status == RequestStatus::Unknown;
        retrySubmission(submission, std::nullopt);
        return;
    }
    const std::optional<control::CommandResult> result = decode<control::CommandResult>(reply.body);
    if (!result) {
        submission->possiblyProposed = true;
        submission->message = "a control instance sent a malformed reply";
        retrySubmission(submission, std::nullopt);
        return;
    }
    switch (result->status) {
    case control::CommandStatus::NotLeader:
    case control::CommandStatus::StorageFailed:
        submission->message = result->message.empty() ? "no control instance holds a valid leader lease" : result->message;
        retrySubmission(submission, result->leader);
        return;
    case control::CommandStatus::OutcomeUnknown:
        submission->possiblyProposed = true;
        submission->message = result->message;
        retrySubmission(submission, result->leader);
        return;
    default:
        m_groups.at(submission->owner).lastKnownLeader = submission->replica;
        m_submissions.erase(submission);
        submission->callback({ SubmitStatus::Answered, *result, result->message });
    }
}

void ControlClient::Implementation::retrySubmission(const std::shared_ptr<Submission>& submission, const std::optional<InstanceName>& leader)
{
    const Group& group = m_groups.at(submission->owner);
    const std::optional<std::size_t> hinted = leader ? find(group, *leader) : std::nullopt;
    const bool useHint = hinted && *hinted != submission->replica;
    submission->replica = useHint ? *hinted : (submission->replica + 1) % group.replicas.size();
    if (m_stopped) {
        finish(submission);
        return;
    }
    m_loop.after(useHint ? Micros { 0 } : Micros { m_options.retryDelay },
        [self = shared_from_this(), submission] { self->attemptSubmission(submission); });
}

void ControlClient::Implementation::finish(const std::shared_ptr<Submission>& submission)
{
    if (m_submissions.erase(submission) == 0)
        return;
    const SubmitStatus status = submission->possiblyProposed ? SubmitStatus::Unknown : SubmitStatus::NotProposed;
    submission->callback({ status, {}, submission->message });
}

void ControlClient::Implementation::fetchFrom(const ControlEndpoint& endpoint)
{
    if (m_stopped)
        return;
    // Instances are replaced over time. At the limit, clients without a connection are removed before a new one is added.
    constexpr std::size_t kMaximumPeers = 8;
    if (m_peers.size() >= kMaximumPeers)
        std::erase_if(m_peers, [](const auto& peer) { return !peer.second->connected(); });
    std::unique_ptr<FrameClient>& client = m_peers[endpoint.name + '@' + endpoint.address + ':' + std::to_string(endpoint.port)];
    if (!client)
        client = std::make_unique<FrameClient>(m_loop, m_options.link, endpoint.address, endpoint.port);
    client->request(wireType(MessageType::FetchConfiguration), encode(FetchConfiguration { m_report.inForce }), m_options.pollTimeout,
        [self = shared_from_this(), name = endpoint.name](const RequestResult& result) { self->handleAnswer(name, result); });
}

void ControlClient::Implementation::requestFrom(
    const OwnerName& owner, const InstanceName& instance, MessageType type, std::string body, Micros timeout, RequestCallback callback)
{
    const auto it = m_groups.find(owner);
    if (m_stopped || it == m_groups.end()) {
        callback({ RequestStatus::NotSent, {} });
        return;
    }
    for (const Replica& replica : it->second.replicas) {
        if (instance.empty() ? replica.client->connected() : replica.name == instance) {
            replica.client->request(wireType(type), std::move(body), timeout, std::move(callback));
            return;
        }
    }
    callback({ RequestStatus::NotSent, {} });
}

std::vector<InstanceName> ControlClient::Implementation::connectedInstances(const OwnerName& owner) const
{
    std::vector<InstanceName> names;
    const auto it = m_groups.find(owner);
    if (it == m_groups.end())
        return names;
    for (const Replica& replica : it->second.replicas) {
        if (replica.client->connected())
            names.push_back(replica.name);
    }
    return names;
}

ControlClient::ControlClient(EventLoop& loop, ControlClientOptions options, ConfigurationCallback onConfiguration)
    : m_loop(loop)
    , m_implementation(std::make_shared<Implementation>(loop, std::move(options), std::move(onConfiguration)))
{
    m_loop.post([implementation = m_implementation] { implementation->start(); });
}

ControlClient::~ControlClient()
{
    m_loop.runAndWait([this] { m_implementation->stop(); });
}

void ControlClient::setReportedVersions(ReportVersions report)
{
    m_loop.post([implementation = m_implementation, report = std::move(report)]() mutable { implementation->setReportedVersions(std::move(report)); });
}

void ControlClient::submit(const OwnerName& owner, SubmitCommand command, Micros timeout, SubmitCallback callback)
{
    m_loop.post([implementation = m_implementation, owner, command = std::move(command), timeout, callback = std::move(callback)]() mutable {
        implementation->beginSubmit(owner, command, timeout, std::move(callback));
    });
}

void ControlClient::fetchFrom(const ControlEndpoint& endpoint)
{
    m_loop.post([implementation = m_implementation, endpoint] { implementation->fetchFrom(endpoint); });
}

void ControlClient::requestFrom(
    const OwnerName& owner, const InstanceName& instance, MessageType type, std::string body, Micros timeout, RequestCallback callback)
{
    m_loop.post([implementation = m_implementation, owner, instance, type, body = std::move(body), timeout,
                    callback = std::move(callback)]() mutable {
        implementation->requestFrom(owner, instance, type, std::move(body), timeout, std::move(callback));
    });
}

std::vector<InstanceName> ControlClient::connectedInstances(const OwnerName& owner) const
{
    return m_implementation->connectedInstances(owner);
}

} // namespace curranttrail::transport
