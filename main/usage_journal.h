#pragma once

#include "storage/file_system.h"
#include "usage/ledger_state.h"
#include "usage/messages.h"

#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail {

// The journal of a usage ledger: append-only segment files "usage-N" of framed records, numbered from 1, and "checkpoint-N" with
// the ledger's state before the first entry of segment N, so that a start replays one segment only.
class UsageJournal {
public:
    // Size at which a new segment starts. Larger segments make a start slower; smaller ones make more files.
    static constexpr std::size_t kSegmentBytes = 8 << 20;

    // Opens the folder. Throws std::runtime_error if another process holds the folder or if it cannot be read.
    explicit UsageJournal(std::unique_ptr<storage::FileSystem> files);

    // Passes the newest checkpoint, if there is one, to `restore` and then every entry after it to `replay`. Truncates an incomplete
    // last record. Throws std::runtime_error if a segment cannot be read or is damaged before the last record.
    void recover(const std::function<void(const usage::LedgerCheckpoint&)>& restore, const std::function<void(const usage::JournalEntry&)>& replay);

    // Appends the entries and syncs. On failure none of them counts as written and the same entries must be appended again.
    bool append(const std::vector<usage::JournalEntry>& entries);

    // Starts a new segment if the current one is large enough. The checkpoint must cover exactly the entries appended so far.
    void rollOver(const std::function<usage::LedgerCheckpoint()>& checkpoint);

    // Returns the records of a chain within the range, ordered by number.
    std::vector<usage::SignedRecord> records(const usage::ChainId& chain, std::uint64_t first, std::uint64_t last);

    // Returns the content of a segment, or nothing if there is none with this number.
    std::optional<std::string> segment(std::uint64_t number);

private:
    std::string readSegment(std::uint64_t number, bool isLast);
    bool openLastSegment();

    std::unique_ptr<storage::FileSystem> m_fileSystem;
    std::unique_ptr<storage::File> m_lastSegment;
    std::uint64_t m_lastSegmentNumber = 1;
    std::uint64_t m_lastSegmentBytes = 0;
    std::uint64_t m_checkpointNumber = 0;
    // True if bytes of a failed append may follow the last synced record.
    bool m_hasUnsyncedTail = false;
};

// Decodes the framed records of a segment up to the first that is incomplete or damaged. Returns the number of bytes decoded.
std::size_t readUsageEntries(std::string_view bytes, const std::function<void(const usage::JournalEntry&)>& onEntry);

} // namespace curranttrail
