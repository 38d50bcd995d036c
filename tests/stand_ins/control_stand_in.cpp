#include "tests/stand_ins/control_stand_in.h"

namespace curranttrail::stand_ins {

using transport::FrameResponder;
using transport::IncomingFrame;
using transport::MessageType;

namespace {

    transport::LinkOptions linkOptions(const OwnerName& owner, const std::string& clusterKey)
    {
        transport::LinkOptions options;
        options.name = owner + "-control";
        options.clusterKey = clusterKey;
        return options;
    }

} // namespace

ControlStandIn::ControlStandIn(const OwnerName& owner, const std::string& clusterKey)
    : m_configuration { owner, {}, {} }
    , m_server(m_loop, linkOptions(owner, clusterKey), "127.0.0.1", 0, [this](const IncomingFrame& frame, const FrameResponder& respond) { answer(frame, respond); })
{
}

void ControlStandIn::setClass(const ClassTarget& target)
{
    const std::lock_guard lock(m_mutex);
    ++m_configuration.version.value;
    ClassTarget& held = m_configuration.classes[target.name];
    held = target;
    held.owner = m_configuration.owner;
    held.version = m_configuration.version;
}

void ControlStandIn::setLeading(bool leading)
{
    const std::lock_guard lock(m_mutex);
    m_leading = leading;
}

void ControlStandIn::setDelay(Micros delay)
{
    const std::lock_guard lock(m_mutex);
    m_delay = delay;
}

std::string ControlStandIn::claimState(const std::string& requestId) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_claims.find(requestId);
    if (it == m_claims.end())
        return "none";
    return it->second.outcome ? std::string { nameOf(kVerdictNames, *it->second.outcome) } : "held";
}

std::uint64_t ControlStandIn::subqueriesBilled() const
{
    const std::lock_guard lock(m_mutex);
    std::uint64_t sum = 0;
    for (const auto& [id, units] : m_records)
        sum += units.subqueries;
    return sum;
}

std::string ControlStandIn::acknowledge(const std::string& batch)
{
    const std::optional<usage::Batch> decoded = usage::decodeBatch(batch);
    if (!decoded)
        return "";
    std::uint64_t last = 0;
    for (const usage::SignedRecord& record : decoded->records) {
        m_records[{ decoded->chain, record.record.number }] = record.record.units;
        last = record.record.number;
    }
    return usage::encode(usage::Acknowledgement { decoded->chain, last });
}

void ControlStandIn::answer(const IncomingFrame& frame, const FrameResponder& respond)
{
    if (!respond)
        return;
    const std::lock_guard lock(m_mutex);
    if (frame.type == static_cast<std::uint16_t>(MessageType::FetchConfiguration)) {
        if (const auto request = transport::decode<transport::FetchConfiguration>(frame.body))
            respond(encode(configuration(*request)));
    } else if (frame.type == static_cast<std::uint16_t>(MessageType::SubmitCommand)) {
        if (const auto command = transport::decode<transport::SubmitCommand>(frame.body))
            respondAfterDelay(respond, transport::encode(run(*command)));
    } else if (frame.type == static_cast<std::uint16_t>(MessageType::ShipUsage)) {
        respondAfterDelay(respond, acknowledge(frame.body));
    }
}

void ControlStandIn::respondAfterDelay(const transport::FrameResponder& respond, std::string body)
{
    if (m_delay.count() == 0)
        respond(std::move(body));
    else
        m_loop.after(m_delay, [respond, body = std::move(body)] { respond(body); });
}

transport::ConfigurationAnswer ControlStandIn::configuration(const transport::FetchConfiguration& request) const
{
    const OwnerName& owner = m_configuration.owner;
    transport::ConfigurationAnswer answer;
    answer.versions[owner] = m_configuration.version;
    answer.controlOwner = owner;
    answer.leaderWithLease = m_leading;
    const auto held = request.held.find(owner);
    if (held == request.held.end() || held->second < m_configuration.version)
        answer.classes[owner] = m_configuration;
    return answer;
}

control::CommandResult ControlStandIn::run(const transport::SubmitCommand& command)
{
    control::CommandResult result;
    result.status = control::CommandStatus::NotLeader;
    if (!m_leading)
        return result;
    if (const auto* claim = std::get_if<control::ClaimRequest>(&command.command)) {
        Claim& held = m_claims[claim->requestId];
        const bool granted = held.holder.empty() || (held.holder == claim->holder && !held.outcome) || held.outcome == Verdict::NotRun;
        if (granted)
            held = { claim->holder, std::nullopt };
        result.status = granted ? control::CommandStatus::ClaimGranted : control::CommandStatus::ClaimDuplicate;
        result.earlier = held.outcome.value_or(Verdict::MayHaveRun);
    } else if (const auto* settle = std::get_if<control::SettleClaimRequest>(&command.command)) {
        const auto it = m_claims.find(settle->requestId);
        const bool valid = it != m_claims.end() && it->second.holder == settle->holder;
        if (valid)
            it->second.outcome = settle->outcome;
        result.status = valid ? control::CommandStatus::Accepted : control::CommandStatus::Invalid;
    }
    return result;
}

} // namespace curranttrail::stand_ins
