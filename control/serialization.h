#pragma once

#include "control/messages.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Binary encoding of control messages on disk and between processes: a format version, then cereal's portable binary format.
// Decoders accept only complete input of the current version within the size limits, and return std::nullopt for any other input.
namespace curranttrail::control {

// Version 2 added the configuration document to the commands and the state. Commands and states without evacuated data centres are
// encoded as before there were evacuations.
inline constexpr std::uint8_t kFormatVersion = 2;
// Limit for a command, a result or a peer message that carries no snapshot.
inline constexpr std::size_t kMaximumMessageBytes = 4u << 20;
// Limit for a snapshot or a peer message that carries one.
inline constexpr std::size_t kMaximumSnapshotBytes = 256u << 20;

// One record of the journal.
struct JournalRecord {
    std::optional<HardState> hardState;
    std::vector<LogEntry> entries;
};

// Content of a snapshot file.
struct SnapshotRecord {
    // Number of the first journal file to replay after the snapshot.
    std::uint64_t firstSegment = 0;
    HardState hardState;
    Snapshot snapshot;
};

std::string encodePeerMessage(const PeerMessage& message);
std::optional<PeerMessage> decodePeerMessage(std::string_view bytes);

std::string encodeCommand(const Command& command);
std::optional<Command> decodeCommand(std::string_view bytes);

std::string encodeCommandResult(const CommandResult& result);
std::optional<CommandResult> decodeCommandResult(std::string_view bytes);

std::string encodeConfiguration(const OwnerConfiguration& configuration);
std::optional<OwnerConfiguration> decodeConfiguration(std::string_view bytes);

std::string encodeJournalRecord(const JournalRecord& record);
std::optional<JournalRecord> decodeJournalRecord(std::string_view bytes);

std::string encodeSnapshotRecord(const SnapshotRecord& record);
std::optional<SnapshotRecord> decodeSnapshotRecord(std::string_view bytes);

} // namespace curranttrail::control
