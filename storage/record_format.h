#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

// Record framing of journal and snapshot files: marker, payload length, CRC-32C of length and payload, payload. Integers are
// little-endian.
namespace curranttrail::storage {

inline constexpr std::size_t kRecordHeaderBytes = 12;

enum class RecordState {
    Valid,
    // The bytes end before the end of the record.
    Incomplete,
    // The marker or the checksum is wrong.
    Damaged,
};

struct RecordView {
    RecordState state = RecordState::Damaged;
    std::string_view payload;
    // Expected and actual content if the record is not valid.
    std::string problem;
};

std::string frameRecord(std::string_view payload);
// Parses the record at the start of the bytes.
RecordView readRecord(std::string_view bytes);
// Returns true if a valid record starts anywhere in the bytes.
bool containsRecord(std::string_view bytes);

} // namespace curranttrail::storage
