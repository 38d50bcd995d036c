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

// The entries of a usage ledger on disk: files "usage-N" of framed records, numbered from 1, appended to and never changed,
// and "checkpoint-N" with the ledger's state before the first entry of file N, so that a start replays one file only.
class UsageJournal {
public:
    // Larger files would make a start slower; smaller ones would make more of them.
    static constexpr std::size_t kSegmentBytes = 8 << 20;

    // Opens the folder and cuts off an incomplete last record. Throws std::runtime_error if the folder is held by another
    // process, cannot be read, or is damaged before the last record.
    explicit UsageJournal(std::unique_ptr<storage::FileSystem> files);

    // Gives the newest checkpoint, if there is one, and then every entry after it.
    void recover(const std::function<void(const usage::LedgerCheckpoint&)>& restore, const std::function<void(const usage::JournalEntry&)>& replay);

    // Appends and syncs. On failure nothing counts as written and the same entries are to be appended again.
    bool append(const std::vector<usage::JournalEntry>& entries);

    // Starts a new file if the current one is large enough. The checkpoint must hold exactly what has been appended.
    void rollOver(const std::function<usage::LedgerCheckpoint()>& checkpoint);

    // Records of a chain within the range, in order of number.
    std::vector<usage::SignedRecord> records(const usage::ChainId& chain, std::uint64_t first, std::uint64_t last);

    // The content of a file; nothing if there is none with the number.
    std::optional<std::string> segment(std::uint64_t number);

private:
    std::string readSegment(std::uint64_t number, bool isLast);
    bool openLastSegment();

    std::unique_ptr<storage::FileSystem> m_fileSystem;
    std::unique_ptr<storage::File> m_lastSegment;
    std::uint64_t m_lastSegmentNumber = 1;
    std::uint64_t m_lastSegmentBytes = 0;
    std::uint64_t m_checkpointNumber = 0;
    // Bytes of a failed append may lie behind the last synced record.
    bool m_hasUnsyncedTail = false;
};

// Decodes the framed records of a file. Stops at the first that is incomplete or damaged and returns the bytes read until then.
std::size_t readUsageEntries(std::string_view bytes, const std::function<void(const usage::JournalEntry&)>& onEntry);

} // namespace curranttrail
