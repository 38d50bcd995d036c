#pragma once

#include "control/messages.h"
#include "core/event_log.h"
#include "storage/file_system.h"

#include <cstdint>
#include <deque>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace curranttrail::storage {

enum class StorageErrorKind {
    // Another process holds the lock on the folder.
    Locked,
    // A file operation failed. A later retry may succeed.
    Io,
    // A file is damaged. The folder must be quarantined and the replica repaired from its group.
    Damaged,
};

struct StorageError {
    StorageErrorKind kind = StorageErrorKind::Io;
    std::string file;
    std::uint64_t offset = 0;
    // Expected and actual content at the offset.
    std::string message;

    std::string text() const;
};

// Persistent storage of one control replica: its journal and its snapshot in one folder.
//
// Files: "lock"; "journal-N", numbered without gaps, each a header followed by records with a length and a CRC-32C; "snapshot-N",
// where N is the last log index that it covers. A snapshot contains the number of the first journal file to replay after it.
class ControlStorage {
public:
    explicit ControlStorage(std::unique_ptr<FileSystem> files);
    // Uses a folder of the operating system's file system.
    explicit ControlStorage(std::string folder);

    using OpenResult = std::variant<control::RecoveredState, StorageError>;
    // Locks the folder and reads it. An incomplete or damaged last record is truncated unless a valid record follows it.
    OpenResult open();
    // Moves all files into a subfolder, so that the next open() starts empty. To be called after open() returned Damaged.
    // Returns nothing on success.
    std::optional<StorageError> quarantineFiles(std::string& folder);

    // Appends and syncs. After an error the write has not taken effect, and the same write must be retried before any later one.
    std::optional<StorageError> write(const control::WriteJournal& write);

    // Total size of the journal files.
    std::uint64_t journalBytes() const;
    std::uint64_t snapshotBytes() const { return m_snapshotBytes; }
    // Returns the log events since the last call and clears them.
    std::vector<LogEvent> takeEvents();

private:
    struct Segment {
        std::uint64_t number = 0;
        // End offset of the last synced record.
        std::uint64_t size = 0;
        // Highest entry index in the segment, 0 if it has no entries.
        control::LogIndex lastIndex = 0;
    };

    std::optional<StorageError> readSnapshot(const std::vector<std::string>& names, control::RecoveredState& state);
    std::optional<StorageError> readSegments(const std::vector<std::string>& names, control::RecoveredState& state);
    std::optional<StorageError> readSegment(Segment& segment, bool isLast, control::RecoveredState& state);
    std::optional<StorageError> makeDurable();
    std::optional<StorageError> truncateTail(const std::string& name, std::uint64_t size);
    std::optional<StorageError> appendRecord(const std::string& payload, control::LogIndex lastIndex);
    std::optional<StorageError> startSegment();
    std::optional<StorageError> writeSnapshot(const control::WriteJournal& write);
    std::optional<StorageError> writeSnapshotFile(const std::string& name, const std::string& bytes);
    void removeObsoleteFiles(const std::string& snapshotName);
    StorageError ioError(const std::string& file, std::uint64_t offset, std::string_view operation, ErrorNumber error);

    std::unique_ptr<FileSystem> m_fileSystem;
    std::deque<Segment> m_segments;
    std::unique_ptr<File> m_journal;
    // True if the file may contain bytes after the last synced record. They are truncated before the next append.
    bool m_tailDirty = false;
    control::HardState m_hardState;
    std::string m_snapshotName;
    std::uint64_t m_snapshotBytes = 0;
    std::vector<LogEvent> m_events;
};

} // namespace curranttrail::storage
