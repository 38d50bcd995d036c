#include "control/serialization.h"

#include "control/value_encoding.h"

#include <cereal/archives/portable_binary.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/map.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/set.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/variant.hpp>

#include <utility>

namespace curranttrail {

template <typename Archive, typename Tag>
void serialize(Archive& archive, StrongId<Tag>& id)
{
    archive(id.value);
}

template <typename Archive>
void serialize(Archive& archive, ClassTarget& target)
{
    archive(target.name, target.owner, target.collection, target.percentile, target.latency, target.minimumCoverage, target.repeatable, target.version);
}

template <typename Archive>
void serialize(Archive& archive, OwnerConfiguration& configuration)
{
    archive(configuration.owner, configuration.version, configuration.classes);
}

} // namespace curranttrail

namespace curranttrail::control {

namespace {

    // Loads sequences element by element, so that a corrupt count fails at the end of the input and not in a large allocation.
    template <typename Archive, typename Sequence>
    void serializeSequence(Archive& archive, Sequence& sequence)
    {
        cereal::size_type size = sequence.size();
        archive(cereal::make_size_tag(size));
        if constexpr (Archive::is_loading::value) {
            sequence.clear();
            for (cereal::size_type n = 0; n < size; ++n)
                archive(sequence.emplace_back());
        } else {
            for (auto& element : sequence)
                archive(element);
        }
    }

    template <typename Archive, typename Enum, std::size_t size>
    void serializeEnum(Archive& archive, Enum& value, const std::array<EnumName<Enum>, size>&)
    {
        std::uint8_t number = static_cast<std::uint8_t>(value);
        archive(number);
        if (number >= size)
            throw cereal::Exception("an encoded enumerator is out of range");
        value = static_cast<Enum>(number);
    }

} // namespace

template <typename Archive>
void serialize(Archive&, NoOperation&)
{
}

template <typename Archive>
void serialize(Archive&, ConfirmMembers&)
{
}

template <typename Archive>
void serialize(Archive& archive, SetClass& command)
{
    archive(command.changeId, command.expectedVersion, command.target);
}

template <typename Archive>
void serialize(Archive& archive, ClaimRequest& command)
{
    archive(command.requestId, command.holder, command.issuedAt, command.proposedAt);
}

template <typename Archive>
void serialize(Archive& archive, SettleClaimRequest& command)
{
    archive(command.requestId, command.holder);
    serializeEnum(archive, command.outcome, kVerdictNames);
}

template <typename Archive>
void serialize(Archive& archive, ChangeMembers& command)
{
    archive(command.voters, command.learners);
}

template <typename Archive>
void serialize(Archive& archive, SetDocument& command)
{
    archive(command.version, command.content);
}

template <typename Archive>
void serialize(Archive& archive, SetEvacuation& command)
{
    archive(command.dataCentre, command.isEvacuated);
}

template <typename Archive>
void serialize(Archive& archive, CommittedDocument& document)
{
    archive(document.version, document.content);
}

template <typename Archive>
void serialize(Archive& archive, LogEntry& entry)
{
    archive(entry.term, entry.index, entry.command);
}

template <typename Archive>
void serialize(Archive& archive, CommandResult& result)
{
    serializeEnum(archive, result.status, kCommandStatusNames);
    archive(result.version);
    serializeEnum(archive, result.earlier, kVerdictNames);
    archive(result.leader, result.message);
}

template <typename Archive>
void serialize(Archive& archive, Claim& claim)
{
    archive(claim.holder, claim.issuedAt, claim.retainUntil);
    bool settled = claim.outcome.has_value();
    archive(settled);
    if (settled) {
        Verdict outcome = claim.outcome.value_or(Verdict::NotRun);
        serializeEnum(archive, outcome, kVerdictNames);
        claim.outcome = outcome;
    }
    serializeSequence(archive, claim.releasedBy);
}

template <typename Archive>
void serialize(Archive& archive, ChangeRecord& record)
{
    archive(record.changeId, record.contentDigest, record.result);
}

template <typename Archive>
void serialize(Archive& archive, MachineState& state)
{
    archive(state.configuration, state.document);
    serializeSequence(archive, state.changes);
    archive(state.claims, state.latestProposalTime, state.voters, state.learners);
}

template <typename Archive>
void serialize(Archive& archive, Snapshot& snapshot)
{
    archive(snapshot.lastIndex, snapshot.lastTerm, snapshot.state);
}

template <typename Archive>
void serialize(Archive& archive, HardState& state)
{
    archive(state.term, state.votedFor, state.repairId);
}

template <typename Archive>
void serialize(Archive& archive, VoteRequest& message)
{
    archive(message.term, message.preVote, message.lastIndex, message.lastTerm, message.receiverStart);
}

template <typename Archive>
void serialize(Archive& archive, VoteReply& message)
{
    archive(message.term, message.preVote, message.granted, message.repairId, message.start, message.conditional, message.leads);
}

template <typename Archive>
void serialize(Archive& archive, AppendRequest& message)
{
    archive(message.term, message.previousIndex, message.previousTerm, message.commitIndex, message.round, message.repairId, message.repairIndex, message.repairRequired);
    serializeSequence(archive, message.entries);
}

template <typename Archive>
void serialize(Archive& archive, AppendReply& message)
{
    // Earlier builds send in the flag whether the sender is under repair, which the id says too, and do not read it. Its opposite says that
    // the sender knows ConfirmMembers.
    bool flag = (message.repairId != 0) != message.knowsConfirmation;
    archive(message.term, message.success, message.matchIndex, message.round, flag, message.repairId);
    message.knowsConfirmation = flag != (message.repairId != 0);
}

template <typename Archive>
void serialize(Archive& archive, InstallSnapshot& message)
{
    archive(message.term, message.round, message.snapshot);
}

template <typename Archive>
void serialize(Archive& archive, JournalRecord& record)
{
    archive(record.hardState);
    serializeSequence(archive, record.entries);
}

template <typename Archive>
void serialize(Archive& archive, SnapshotRecord& record)
{
    archive(record.firstSegment, record.hardState, record.snapshot);
}

using detail::decodeValue;
using detail::encodeValue;

namespace {

    // The evacuated data centres and the confirmation of the members follow the value that holds the state. Both are left out as far as they
    // say nothing, so that earlier builds read the state as long as no data centre is evacuated and the members are not confirmed.
    std::string encodeExtension(const MachineState& state)
    {
        if (state.evacuatedDataCentres.empty() && !state.membersConfirmed)
            return {};
        return encodeValue(state.evacuatedDataCentres) + (state.membersConfirmed ? encodeValue(true) : std::string {});
    }

    // Returns false if the bytes are not what encodeExtension() returns.
    bool decodeExtension(std::string_view bytes, MachineState& state)
    {
        if (bytes.empty())
            return true;
        std::string_view rest;
        std::optional<std::set<DataCentreName>> evacuated = decodeValue<std::set<DataCentreName>>(bytes, kMaximumMessageBytes, &rest);
        if (!evacuated || (evacuated->empty() && rest.empty()))
            return false;
        state.evacuatedDataCentres = std::move(*evacuated);
        if (rest.empty())
            return true;
        state.membersConfirmed = decodeValue<bool>(rest, kMaximumMessageBytes).value_or(false);
        return state.membersConfirmed;
    }

} // namespace

std::string encodePeerMessage(const PeerMessage& message)
{
    std::string bytes = encodeValue(message);
    if (const InstallSnapshot* install = std::get_if<InstallSnapshot>(&message))
        bytes += encodeExtension(install->snapshot.state);
    return bytes;
}

std::optional<PeerMessage> decodePeerMessage(std::string_view bytes)
{
    std::string_view extension;
    std::optional<PeerMessage> message = decodeValue<PeerMessage>(bytes, kMaximumSnapshotBytes, &extension);
    if (!message)
        return std::nullopt;
    if (InstallSnapshot* install = std::get_if<InstallSnapshot>(&*message))
        return decodeExtension(extension, install->snapshot.state) ? std::move(message) : std::nullopt;
    return extension.empty() && bytes.size() <= kMaximumMessageBytes ? std::move(message) : std::nullopt;
}

std::string encodeCommand(const Command& command) { return encodeValue(command); }

std::optional<Command> decodeCommand(std::string_view bytes) { return decodeValue<Command>(bytes, kMaximumMessageBytes); }

std::string encodeCommandResult(const CommandResult& result) { return encodeValue(result); }

std::optional<CommandResult> decodeCommandResult(std::string_view bytes) { return decodeValue<CommandResult>(bytes, kMaximumMessageBytes); }

std::string encodeConfiguration(const OwnerConfiguration& configuration) { return encodeValue(configuration); }

std::optional<OwnerConfiguration> decodeConfiguration(std::string_view bytes) { return decodeValue<OwnerConfiguration>(bytes, kMaximumMessageBytes); }

std::string encodeJournalRecord(const JournalRecord& record) { return encodeValue(record); }

std::optional<JournalRecord> decodeJournalRecord(std::string_view bytes) { return decodeValue<JournalRecord>(bytes, kMaximumSnapshotBytes); }

std::string encodeSnapshotRecord(const SnapshotRecord& record) { return encodeValue(record) + encodeExtension(record.snapshot.state); }

std::optional<SnapshotRecord> decodeSnapshotRecord(std::string_view bytes)
{
    std::string_view extension;
    std::optional<SnapshotRecord> record = decodeValue<SnapshotRecord>(bytes, kMaximumSnapshotBytes, &extension);
    return record && decodeExtension(extension, record->snapshot.state) ? std::move(record) : std::nullopt;
}

} // namespace curranttrail::control
