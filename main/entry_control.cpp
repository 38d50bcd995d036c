#include "main/entry_control.h"

#include "main/events.h"

#include <algorithm>

namespace curranttrail {

using transport::MessageType;
using transport::SubmitResult;
using transport::SubmitStatus;

namespace {

    // Long enough that a claim has expired in the control group before its settlement is abandoned.
    constexpr Micros kSettlementRetryPeriod { 900'000'000 };
    constexpr Micros kSettlementTimeout { 2'000'000 };
    constexpr Micros kInitialBackoff { 200'000 };
    constexpr Micros kMaximumBackoff { 10'000'000 };
    // Settlements beyond this number are dropped. Their claims stay unsettled, which is safe: no other request with the same id runs.
    constexpr std::size_t kMaximumOpenSettlements = 65'536;
    constexpr Micros kUsageTimeout { 2'000'000 };

    query::ClaimOutcome outcomeOf(const SubmitResult& result)
    {
        if (result.status != SubmitStatus::Answered)
            return query::ClaimOutcome::Unavailable;
        switch (result.result.status) {
        case control::CommandStatus::ClaimGranted:
            return query::ClaimOutcome::Granted;
        case control::CommandStatus::ClaimDuplicate:
            return query::ClaimOutcome::Duplicate;
        case control::CommandStatus::ClaimExpired:
            return query::ClaimOutcome::Expired;
        default:
            return query::ClaimOutcome::Unavailable;
        }
    }

} // namespace

struct EntryControl::Settlement {
    OwnerName owner;
    control::SettleClaimRequest command;
    TimePoint retryDeadline;
    Micros backoff = kInitialBackoff;
    bool isFailureLogged = false;
};

EntryControl::EntryControl(
    const EntrySettings& settings, std::uint64_t incarnation, transport::EventSink& sink, ReducerThread& reducers, ConfigurationCallback onConfiguration, ConfirmationCallback onConfirmation)
    : m_name(settings.name)
    , m_owner(settings.owner)
    , m_dataCentre(settings.dataCentre)
    , m_incarnation(incarnation)
    , m_sink(sink)
    , m_reducers(reducers)
    , m_onConfiguration(std::move(onConfiguration))
    , m_onConfirmation(std::move(onConfirmation))
    , m_selector(settings.dataCentre)
{
    m_linkOptions.name = m_name;
    m_linkOptions.clusterKey = transport::readClusterKey(settings.clusterKeyFile);
    m_linkOptions.maximumBodyBytes = 4'194'304;
    m_linkOptions.stamp = [&sink] { return sink.clock().stamp(); };
    m_linkOptions.observe = [&sink](std::uint64_t stamp) { sink.clock().observe(stamp); };
    m_linkOptions.log = [&sink](const LogEvent& event) { sink.log(event); };
    m_clientOptions = clientOptions(settings);
    m_server = std::make_unique<transport::FrameServer>(m_loop, m_linkOptions, settings.frames.address, settings.frames.port,
        [this](const transport::IncomingFrame& frame, const transport::FrameResponder& respond) { handlePeerRequest(frame, respond); });
    m_reducers.addWakeup([this] { return m_selector.nextWakeup(); }, [this](TimePoint now) { applyConfiguration(m_selector.tick(now), now); });
}

EntryControl::~EntryControl()
{
    stop();
}

transport::ControlClientOptions EntryControl::clientOptions(const EntrySettings& settings) const
{
    transport::ControlClientOptions options;
    options.link = m_linkOptions;
    for (const PartnerInstance& instance : settings.control)
        options.instances[instance.owner].push_back({ instance.name, instance.address.address, instance.address.port });
    return options;
}

void EntryControl::start()
{
    m_client = std::make_unique<transport::ControlClient>(
        m_loop, m_clientOptions, [this](const InstanceName&, const transport::ConfigurationAnswer& answer) { handleConfiguration(answer); });
    m_client->setReportedVersions({ m_name, m_dataCentre, m_owner, {} });
}

void EntryControl::stop()
{
    m_stopped = true;
    // Tasks that run on the loop now may still use the client; later ones see that the instance has stopped.
    m_loop.runAndWait([] {});
    m_client.reset();
    m_server.reset();
}

void EntryControl::handleConfiguration(const transport::ConfigurationAnswer& answer)
{
    m_reducers.post([this, answer](TimePoint now) {
        applyConfiguration(m_selector.handleAnswer(answer, now), now);
        if (answer.leaderWithLease)
            m_onConfirmation(answer.controlOwner, now);
    });
}

void EntryControl::applyConfiguration(const std::shared_ptr<const ClassTable>& classes, TimePoint now)
{
    if (!classes)
        return;
    {
        const std::lock_guard lock(m_mutex);
        for (const auto& [owner, configuration] : *classes) {
            const auto it = m_activeClasses->find(owner);
            if (it == m_activeClasses->end() || it->second.version != configuration.version)
                m_sink.log(events::kConfigurationLoaded, { { "owner", owner }, { "version", std::to_string(configuration.version.value) } });
        }
        m_activeClasses = classes;
    }
    m_onConfiguration(classes, now);
    // Reported only after the reducer has applied it.
    m_client->setReportedVersions({ m_name, m_dataCentre, m_owner, m_selector.versions() });
}

void EntryControl::handlePeerRequest(const transport::IncomingFrame& frame, const transport::FrameResponder& respond)
{
    const std::optional<transport::FetchConfiguration> request = transport::decode<transport::FetchConfiguration>(frame.body);
    if (frame.type != static_cast<std::uint16_t>(MessageType::FetchConfiguration) || !request || !respond)
        return;
    std::shared_ptr<const ClassTable> activeClasses;
    {
        const std::lock_guard lock(m_mutex);
        activeClasses = m_activeClasses;
    }
    transport::ConfigurationAnswer answer;
    answer.servingEntry = m_serving;
    answer.dataCentre = m_dataCentre;
    for (const auto& [owner, configuration] : *activeClasses) {
        answer.versions[owner] = configuration.version;
        const auto knownVersion = request->held.find(owner);
        if (knownVersion == request->held.end() || knownVersion->second < configuration.version)
            answer.classes[owner] = configuration;
    }
    respond(encode(answer));
}

void EntryControl::fetchFrom(const InstanceName& name, const transport::Endpoint& address)
{
    if (m_client)
        m_client->fetchFrom({ name, address.address, address.port });
}

std::string EntryControl::claimHolder(QueryId query) const
{
    // Each query is a holder of its own, so that a second query with the same request id is not granted the first one's claim.
    return m_name + "/" + std::to_string(m_incarnation) + "/" + std::to_string(query.value);
}

void EntryControl::claim(const query::RequestClaim& request, ClaimCallback callback)
{
    const control::ClaimRequest command { request.requestId, claimHolder(request.query), request.issuedAt, transport::wallClockNow() };
    // Ends before the query's deadline, so that the caller is told of the missing quorum instead of a timeout. The client
    // may detect its timeout up to one retry delay late.
    const Micros timeout = std::max(request.timeout * 9 / 10 - Micros { m_clientOptions.retryDelay }, request.timeout / 2);
    m_client->submit(request.owner, { command }, timeout, [query = request.query, callback = std::move(callback)](const SubmitResult& result) {
        callback({ query, outcomeOf(result), result.result.earlier });
    });
}

void EntryControl::settle(const query::SettleClaim& settlement)
{
    if (m_openSettlements >= kMaximumOpenSettlements)
        return;
    ++m_openSettlements;
    const std::shared_ptr<Settlement> open = std::make_shared<Settlement>(Settlement { settlement.owner,
        { settlement.requestId, claimHolder(settlement.query), settlement.outcome }, transport::monotonicNow() + kSettlementRetryPeriod });
    submitSettlement(open);
}

void EntryControl::submitSettlement(const std::shared_ptr<Settlement>& settlement)
{
    m_client->submit(settlement->owner, { settlement->command }, kSettlementTimeout,
        [this, settlement](const SubmitResult& result) { handleSettlementResult(settlement, result); });
}

void EntryControl::handleSettlementResult(const std::shared_ptr<Settlement>& settlement, const SubmitResult& result)
{
    // Invalid means that this holder has no claim to settle: it was never recorded, or is settled already.
    const bool recorded = result.status == SubmitStatus::Answered
        && (result.result.status == control::CommandStatus::Accepted || result.result.status == control::CommandStatus::Invalid);
    if (recorded || transport::monotonicNow() >= settlement->retryDeadline) {
        --m_openSettlements;
        if (recorded)
            m_sink.log(events::kClaimSettled, { { "owner", settlement->owner }, { "request", settlement->command.requestId }, { "outcome", std::string { nameOf(kVerdictNames, settlement->command.outcome) } } });
        return;
    }
    if (!settlement->isFailureLogged)
        m_sink.log(events::kClaimSettlementRepeated, { { "owner", settlement->owner }, { "request", settlement->command.requestId }, { "reason", result.message } });
    settlement->isFailureLogged = true;
    const Micros backoff = settlement->backoff;
    settlement->backoff = std::min(backoff * 2, kMaximumBackoff);
    m_loop.after(backoff, [this, settlement] {
        if (!m_stopped)
            submitSettlement(settlement);
    });
}

void EntryControl::shipUsage(const OwnerName& owner, std::string batch, std::function<void(std::string)> callback)
{
    if (!m_client)
        return;
    m_client->requestFrom(owner, "", MessageType::ShipUsage, std::move(batch), kUsageTimeout, [callback = std::move(callback)](const transport::RequestResult& result) {
        if (result.status == transport::RequestStatus::Answered)
            callback(result.body);
    });
}

} // namespace curranttrail
