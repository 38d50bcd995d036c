#include "control/state_machine.h"

#include <fmt/format.h>
#include <openssl/sha.h>

#include <algorithm>
#include <cmath>
#include <utility>

namespace curranttrail::control {

namespace {

    bool isNameCharacter(char c)
    {
        return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-';
    }

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= kMaximumNameLength && std::all_of(text.begin(), text.end(), isNameCharacter);
    }

    bool isPrintable(const std::string& text, std::size_t maximumLength)
    {
        return !text.empty() && text.size() <= maximumLength && std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c <= '~'; });
    }

    // Dots and colons are allowed too, since an instance may be named by its address.
    bool isInstanceName(const std::string& text)
    {
        return !text.empty() && text.size() <= kMaximumNameLength && std::all_of(text.begin(), text.end(), [](char c) { return isNameCharacter(c) || c == '.' || c == ':'; });
    }

    // The platform names the data centres, so capital letters are allowed as well.
    bool isDataCentreName(const std::string& text)
    {
        return !text.empty() && text.size() <= kMaximumNameLength && std::all_of(text.begin(), text.end(), [](char c) { return isNameCharacter(c) || (c >= 'A' && c <= 'Z') || c == '.'; });
    }

    bool areInstanceNames(const std::set<InstanceName>& names)
    {
        return std::all_of(names.begin(), names.end(), isInstanceName);
    }

    // The digested text contains the lengths of the names, so that different changes never yield the same text.
    std::string digestOf(const SetClass& change)
    {
        const ClassTarget& target = change.target;
        const std::string text = fmt::format("{}:{}|{}:{}|{}:{}|{}|{:a}|{}|{:a}|{}", target.name.size(), target.name, target.owner.size(), target.owner,
            target.collection.size(), target.collection, change.expectedVersion.value, target.percentile, target.latency.count(), target.minimumCoverage, target.repeatable);
        std::string digest(SHA256_DIGEST_LENGTH, '\0');
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), reinterpret_cast<unsigned char*>(digest.data()));
        return digest;
    }

    std::string targetError(const ClassTarget& target, const OwnerName& owner)
    {
        if (!isName(target.name))
            return "the class name is not 1 to 64 characters of [a-z0-9_-]";
        if (!isName(target.collection))
            return "the collection name is not 1 to 64 characters of [a-z0-9_-]";
        if (target.owner != owner)
            return fmt::format("the class belongs to another owner than {}", owner);
        if (!(target.percentile > 0 && target.percentile < 1))
            return "the percentile is not between 0 and 1";
        if (target.latency < Micros { 1'000 } || target.latency > Micros { 60'000'000 })
            return "the latency is not from 1 ms to 60 s";
        if (!(target.minimumCoverage >= 0 && target.minimumCoverage <= 1))
            return "the minimum coverage is not from 0 to 1";
        return {};
    }

    std::string commandError(const NoOperation&, const OwnerName&) { return {}; }
    std::string commandError(const ConfirmMembers&, const OwnerName&) { return {}; }

    std::string commandError(const SetClass& command, const OwnerName& owner)
    {
        if (!isPrintable(command.changeId, kMaximumIdLength))
            return "the change id is not 1 to 128 printable characters";
        return targetError(command.target, owner);
    }

    std::string commandError(const ClaimRequest& command, const OwnerName&)
    {
        if (!isPrintable(command.requestId, kMaximumIdLength))
            return "the request id is not 1 to 128 printable characters";
        if (!isPrintable(command.holder, kMaximumHolderLength))
            return "the holder is not 1 to 256 printable characters";
        return {};
    }

    std::string commandError(const SettleClaimRequest& command, const OwnerName&)
    {
        if (!isPrintable(command.requestId, kMaximumIdLength) || !isPrintable(command.holder, kMaximumHolderLength))
            return "the request id or the holder is not printable";
        return {};
    }

    std::string commandError(const ChangeMembers& command, const OwnerName&)
    {
        if (command.voters.empty())
            return "a group needs at least one voter";
        if (command.voters.size() + command.learners.size() > kMaximumMembers)
            return "a group has at most 32 members";
        if (!areInstanceNames(command.voters) || !areInstanceNames(command.learners))
            return "an instance name is not 1 to 64 characters of [a-z0-9_.:-]";
        for (const InstanceName& name : command.learners) {
            if (command.voters.contains(name))
                return "an instance is both voter and learner";
        }
        return {};
    }

    std::string commandError(const SetDocument& command, const OwnerName&)
    {
        if (command.version == 0)
            return "the document version is 0";
        if (command.content.size() > kMaximumDocumentBytes)
            return "the document is larger than 2 MiB";
        return {};
    }

    std::string commandError(const SetEvacuation& command, const OwnerName&)
    {
        return isDataCentreName(command.dataCentre) ? std::string {} : "the data centre's name is not 1 to 64 characters of [A-Za-z0-9._-]";
    }

    CommandResult makeResult(CommandStatus status, std::string message = {})
    {
        CommandResult result;
        result.status = status;
        result.message = std::move(message);
        return result;
    }

} // namespace

std::string invalidReason(const Command& command, const OwnerName& owner)
{
    return std::visit([&owner](const auto& content) { return commandError(content, owner); }, command);
}

StateMachine::StateMachine(const OwnerName& owner, const std::set<InstanceName>& voters)
{
    m_state.configuration.owner = owner;
    m_state.voters = voters;
}

CommandResult StateMachine::apply(const Command& command)
{
    return std::visit([this](const auto& content) { return applyCommand(content); }, command);
}

void StateMachine::restore(MachineState state)
{
    m_state = std::move(state);
    m_firstPosition = 0;
    m_changePositions.clear();
    for (std::uint64_t n = 0; n < m_state.changes.size(); ++n)
        m_changePositions[m_state.changes[n].changeId] = n;
    m_claimExpiry.clear();
    for (const auto& [id, claim] : m_state.claims)
        m_claimExpiry.emplace(claim.retainUntil, id);
}

std::optional<CommandResult> StateMachine::earlierResult(const SetClass& change) const
{
    const auto it = m_changePositions.find(change.changeId);
    if (it == m_changePositions.end())
        return std::nullopt;
    const ChangeRecord& record = m_state.changes[it->second - m_firstPosition];
    if (record.contentDigest != digestOf(change))
        return makeResult(CommandStatus::Invalid, "the change id was used for another change");
    return record.result;
}

CommandResult StateMachine::applyCommand(const NoOperation&) { return makeResult(CommandStatus::Accepted); }

CommandResult StateMachine::applyCommand(const SetClass& command)
{
    if (const std::optional<CommandResult> earlier = earlierResult(command))
        return *earlier;
    CommandResult result = changeClass(command);
    m_changePositions[command.changeId] = m_firstPosition + m_state.changes.size();
    m_state.changes.push_back({ command.changeId, digestOf(command), result });
    if (m_state.changes.size() > kMaximumChangeRecords) {
        m_changePositions.erase(m_state.changes.front().changeId);
        m_state.changes.pop_front();
        ++m_firstPosition;
    }
    return result;
}

CommandResult StateMachine::changeClass(const SetClass& command)
{
    OwnerConfiguration& configuration = m_state.configuration;
    // Validates again, since a replica that runs an older version may have proposed the entry.
    const std::string reason = commandError(command, configuration.owner);
    if (!reason.empty())
        return makeResult(CommandStatus::Invalid, reason);

    const auto it = configuration.classes.find(command.target.name);
    const ConfigurationVersion current = it == configuration.classes.end() ? ConfigurationVersion {} : it->second.version;
    if (current != command.expectedVersion) {
        CommandResult conflict = makeResult(CommandStatus::VersionConflict, fmt::format("the class is at version {}", current.value));
        conflict.version = current;
        return conflict;
    }
    if (it == configuration.classes.end() && configuration.classes.size() >= kMaximumClasses)
        return makeResult(CommandStatus::Invalid, "the owner has too many classes");

    ++configuration.version.value;
    ClassTarget& target = configuration.classes[command.target.name];
    target = command.target;
    target.version = configuration.version;
    CommandResult result = makeResult(CommandStatus::Accepted);
    result.version = configuration.version;
    return result;
}

CommandResult StateMachine::applyCommand(const ClaimRequest& command)
{
    m_state.latestProposalTime = std::max(m_state.latestProposalTime, command.proposedAt);
    dropExpiredClaims();

    const UnixMillis now = m_state.latestProposalTime;
    const auto it = m_state.claims.find(command.requestId);
    if (it != m_state.claims.end() && it->second.outcome != Verdict::NotRun)
        return handleRepeatedClaim(it->second, command);
    if (command.issuedAt < now - kClaimRetentionMillis)
        return makeResult(CommandStatus::ClaimExpired, "the request id is older than the retention window");
    if (command.issuedAt > now + kMaximumClaimFutureMillis)
        return makeResult(CommandStatus::ClaimExpired, "the request id was issued in the future");
    if (it != m_state.claims.end())
        return handleRepeatedClaim(it->second, command);
    if (m_state.claims.size() >= kMaximumClaims)
        return makeResult(CommandStatus::Invalid, "too many claims are held");

    Claim claim;
    claim.holder = command.holder;
    claim.issuedAt = command.issuedAt;
    claim.retainUntil = std::max(command.issuedAt, now) + kClaimRetentionMillis;
    m_claimExpiry.emplace(claim.retainUntil, command.requestId);
    m_state.claims.emplace(command.requestId, std::move(claim));
    return makeResult(CommandStatus::ClaimGranted);
}

CommandResult StateMachine::handleRepeatedClaim(Claim& claim, const ClaimRequest& command)
{
    if (claim.outcome == Verdict::NotRun && claim.releasedBy.size() < kMaximumReleases) {
        claim.holder = command.holder;
        claim.outcome.reset();
        claim.retainUntil = std::max(claim.retainUntil, m_state.latestProposalTime + kClaimRetentionMillis);
        m_claimExpiry.emplace(claim.retainUntil, command.requestId);
        return makeResult(CommandStatus::ClaimGranted);
    }
    if (claim.holder == command.holder && !claim.outcome)
        return makeResult(CommandStatus::ClaimGranted);
    CommandResult duplicate = makeResult(CommandStatus::ClaimDuplicate);
    duplicate.earlier = claim.outcome.value_or(Verdict::MayHaveRun);
    return duplicate;
}

CommandResult StateMachine::applyCommand(const SettleClaimRequest& command)
{
    const auto it = m_state.claims.find(command.requestId);
    if (it == m_state.claims.end())
        return makeResult(CommandStatus::Invalid, "the request id is not claimed");
    Claim& claim = it->second;
    if (claim.holder != command.holder)
        return makeResult(CommandStatus::Invalid, "the request id is claimed by another holder");
    if (claim.outcome)
        return claim.outcome == command.outcome ? makeResult(CommandStatus::Accepted) : makeResult(CommandStatus::Invalid, "the claim is settled");

    claim.outcome = command.outcome;
    if (command.outcome != Verdict::NotRun)
        return makeResult(CommandStatus::Accepted);
    // A holder that released the id before may have been granted it again, so this may be a late repetition of that settlement.
    if (std::find(claim.releasedBy.begin(), claim.releasedBy.end(), command.holder) != claim.releasedBy.end())
        claim.outcome = Verdict::MayHaveRun;
    else
        claim.releasedBy.push_back(command.holder);
    return makeResult(CommandStatus::Accepted);
}

CommandResult StateMachine::applyCommand(const ChangeMembers& command)
{
    m_state.membersConfirmed = m_state.membersConfirmed && m_state.voters == command.voters;
    m_state.voters = command.voters;
    m_state.learners = command.learners;
    return makeResult(CommandStatus::Accepted);
}

CommandResult StateMachine::applyCommand(const ConfirmMembers&)
{
    m_state.membersConfirmed = true;
    return makeResult(CommandStatus::Accepted);
}

CommandResult StateMachine::applyCommand(const SetDocument& command)
{
    if (command.version > m_state.document.version)
        m_state.document = { command.version, command.content };
    CommandResult result = makeResult(CommandStatus::Accepted);
    result.version.value = m_state.document.version;
    return result;
}

CommandResult StateMachine::applyCommand(const SetEvacuation& command)
{
    std::set<DataCentreName>& evacuated = m_state.evacuatedDataCentres;
    if (!command.isEvacuated)
        evacuated.erase(command.dataCentre);
    else if (evacuated.size() < kMaximumEvacuations || evacuated.contains(command.dataCentre))
        evacuated.insert(command.dataCentre);
    else
        return makeResult(CommandStatus::Invalid, "too many data centres are evacuated");
    return makeResult(CommandStatus::Accepted);
}

void StateMachine::dropExpiredClaims()
{
    while (!m_claimExpiry.empty() && m_claimExpiry.begin()->first < m_state.latestProposalTime) {
        // A claim that was granted again has a later expiry entry too.
        const auto it = m_state.claims.find(m_claimExpiry.begin()->second);
        if (it != m_state.claims.end() && it->second.retainUntil < m_state.latestProposalTime)
            m_state.claims.erase(it);
        m_claimExpiry.erase(m_claimExpiry.begin());
    }
}

} // namespace curranttrail::control
