#pragma once

#include "core/event_log.h"

#include <array>

// Log events of the journal and snapshot storage, numbered 6000 to 6999.
namespace curranttrail::storage {

inline constexpr EventDescription kStorageOpened { 6000, "storage_opened", Severity::Information, "The data folder was opened and read." };
inline constexpr EventDescription kTailTruncated { 6001, "tail_truncated", Severity::Warning, "An incomplete or damaged last record of the journal was truncated, as is normal after a crash during a write." };
inline constexpr EventDescription kStorageDamaged { 6002, "storage_damaged", Severity::Error, "A file is damaged; its folder must be quarantined and the replica repaired from its group." };
inline constexpr EventDescription kFolderSetAside { 6003, "folder_set_aside", Severity::Warning, "The damaged files were moved to a subfolder; the replica starts with empty storage." };
inline constexpr EventDescription kSnapshotWritten { 6004, "snapshot_written", Severity::Information, "A snapshot was written durably and obsolete files were removed." };
inline constexpr EventDescription kWriteFailed { 6005, "write_failed", Severity::Error, "A file operation failed; the write will be retried." };
inline constexpr EventDescription kRemoveFailed { 6006, "remove_failed", Severity::Warning, "An obsolete file could not be removed; the next start retries the removal." };

inline constexpr std::array<const EventDescription*, 7> kStorageEvents {
    &kStorageOpened, &kTailTruncated, &kStorageDamaged, &kFolderSetAside, &kSnapshotWritten, &kWriteFailed, &kRemoveFailed
};

} // namespace curranttrail::storage
