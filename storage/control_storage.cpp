#include "storage/control_storage.h"

#include "control/serialization.h"
#include "storage/events.h"
#include "storage/record_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <charconv>
#include <cstring>
#include <utility>

namespace curranttrail::storage {

namespace {

    constexpr std::string_view kJournalPrefix = "journal-";
    constexpr std::string_view kSnapshotPrefix = "snapshot-";
    constexpr std::string_view kTemporaryName = "snapshot.tmp";
    // Bounds the time to read one journal file and the disk space of obsolete records that cannot be removed yet.
    constexpr std::uint64_t kMaximumSegmentBytes = 16u << 20;

    std::string journalName(std::uint64_t number) { return fmt::format("{}{:016}", kJournalPrefix, number); }
    std::string snapshotName(std::uint64_t index) { return fmt::format("{}{:016}", kSnapshotPrefix, index); }
    std::string headerOf(std::uint64_t number) { return frameRecord(fmt::format("curranttrail journal {}", number)); }

    std::optional<std::uint64_t> numberOf(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix))
            return std::nullopt;
        const std::string_view digits = name.substr(prefix.size());
        std::uint64_t number = 0;
        const auto [end, ec] = std::from_chars(digits.data(), digits.data() + digits.size(), number);
        if (ec != std::errc {} || end != digits.data() + digits.size())
            return std::nullopt;
        return number;
    }

    std::vector<std::uint64_t> numbersOf(const std::vector<std::string>& names, std::string_view prefix)
    {
        std::vector<std::uint64_t> numbers;
        for (const std::string& name : names) {
            if (const std::optional<std::uint64_t> number = numberOf(name, prefix))
                numbers.push_back(*number);
        }
        std::sort(numbers.begin(), numbers.end());
        return numbers;
    }

    StorageError damaged(std::string file, std::uint64_t offset, std::string message)
    {
        return { StorageErrorKind::Damaged, std::move(file), offset, std::move(message) };
    }

    control::LogIndex lastIndexOf(const control::RecoveredState& state)
    {
        if (!state.entries.empty())
            return state.entries.back().index;
        return state.snapshot ? state.snapshot->lastIndex : 0;
    }

    // Replays one journal record into the state. Returns a description of the problem if it is invalid, else an empty string.
    std::string replay(control::JournalRecord record, control::RecoveredState& state)
    {
        if (record.hardState) {
            state.hardState = *record.hardState;
            state.empty = false;
        }
        if (record.entries.empty())
            return {};
        state.empty = false;
        const control::LogIndex first = record.entries.front().index;
        if (first > lastIndexOf(state) + 1)
            return fmt::format("expected an entry with an index up to {}, found {}", lastIndexOf(state) + 1, first);
        while (!state.entries.empty() && state.entries.back().index >= first)
            state.entries.pop_back();
        const control::LogIndex covered = state.snapshot ? state.snapshot->lastIndex : 0;
        control::LogIndex index = first;
        for (control::LogEntry& entry : record.entries) {
            if (entry.index != index)
                return fmt::format("expected an entry with the index {}, found {}", index, entry.index);
            ++index;
            if (entry.index > covered)
                state.entries.push_back(std::move(entry));
        }
        return {};
    }

} // namespace

std::string StorageError::text() const { return fmt::format("{} at offset {}: {}", file, offset, message); }

ControlStorage::ControlStorage(std::unique_ptr<FileSystem> files)
    : m_fileSystem(std::move(files))
{
}

ControlStorage::ControlStorage(std::string folder)
    : ControlStorage(makePosixFileSystem(std::move(folder)))
{
}

ControlStorage::OpenResult ControlStorage::open()
{
    m_segments.clear();
    m_journal.reset();
    m_snapshotName.clear();
    m_snapshotBytes = 0;
    m_tailDirty = false;
    m_hardState = {};
    if (const ErrorNumber error = m_fileSystem->openFolder()) {
        if (error == EWOULDBLOCK)
            return StorageError { StorageErrorKind::Locked, "lock", 0, "expected an unlocked data folder, found a lock held by another process" };
        return ioError("lock", 0, "open the folder of", error);
    }
    std::vector<std::string> names;
    if (const ErrorNumber error = m_fileSystem->list(names))
        return ioError("", 0, "list the folder of", error);
    control::RecoveredState state;
    std::optional<StorageError> error = readSnapshot(names, state);
    if (!error)
        error = readSegments(names, state);
    if (!error)
        error = makeDurable();
    if (error) {
        if (error->kind == StorageErrorKind::Damaged)
            m_events.push_back({ &kStorageDamaged, { { "file", error->file }, { "offset", fmt::to_string(error->offset) }, { "problem", error->message } } });
        return *error;
    }
    m_hardState = state.hardState;
    m_events.push_back({ &kStorageOpened, { { "empty", state.empty ? "true" : "false" }, { "last_index", fmt::to_string(lastIndexOf(state)) }, { "journal_bytes", fmt::to_string(journalBytes()) } } });
    return state;
}

// Syncs the state that was read, which counts as durable from now on: a killed process may have left bytes and file names
// that are written but not synced.
std::optional<StorageError> ControlStorage::makeDurable()
{
    if (!m_segments.empty()) {
        const std::string name = journalName(m_segments.back().number);
        if (const ErrorNumber error = m_fileSystem->open(name, m_journal))
            return ioError(name, 0, "open", error);
        if (const ErrorNumber error = m_journal->sync())
            return ioError(name, 0, "sync", error);
    }
    if (const ErrorNumber error = m_fileSystem->syncFolder())
        return ioError("", 0, "sync the folder of", error);
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::quarantineFiles(std::string& folder)
{
    if (const ErrorNumber error = m_fileSystem->quarantineFiles(folder))
        return ioError(folder, 0, "quarantine", error);
    m_events.push_back({ &kFolderSetAside, { { "folder", folder } } });
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::readSnapshot(const std::vector<std::string>& names, control::RecoveredState& state)
{
    const std::vector<std::uint64_t> numbers = numbersOf(names, kSnapshotPrefix);
    if (numbers.empty())
        return std::nullopt;
    const std::string name = snapshotName(numbers.back());
    std::string bytes;
    if (const ErrorNumber error = m_fileSystem->read(name, bytes))
        return ioError(name, 0, "read", error);
    const RecordView view = readRecord(bytes);
    if (view.state != RecordState::Valid)
        return damaged(name, 0, view.problem);
    std::optional<control::SnapshotRecord> record = control::decodeSnapshotRecord(view.payload);
    if (!record)
        return damaged(name, kRecordHeaderBytes, "expected a snapshot of a known format");
    m_segments.push_back({ record->firstSegment, 0, 0 });
    m_snapshotName = name;
    m_snapshotBytes = bytes.size();
    state.hardState = record->hardState;
    state.snapshot = std::move(record->snapshot);
    state.empty = false;
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::readSegments(const std::vector<std::string>& names, control::RecoveredState& state)
{
    const std::uint64_t first = m_segments.empty() ? 1 : m_segments.front().number;
    m_segments.clear();
    std::vector<std::uint64_t> numbers = numbersOf(names, kJournalPrefix);
    std::erase_if(numbers, [first](std::uint64_t number) { return number < first; });
    if (state.snapshot && numbers.empty())
        return damaged(journalName(first), 0, "expected the journal file that follows the snapshot, found none");
    for (std::size_t n = 0; n < numbers.size(); ++n) {
        if (numbers[n] != first + n)
            return damaged(journalName(first + n), 0, fmt::format("expected this file, found {} instead", journalName(numbers[n])));
        Segment segment { numbers[n], 0, 0 };
        if (std::optional<StorageError> error = readSegment(segment, n + 1 == numbers.size(), state))
            return error;
        if (segment.size == 0 && state.snapshot && n == 0)
            return damaged(journalName(first), 0, "expected the journal file that follows the snapshot, found no header");
        if (segment.size > 0)
            m_segments.push_back(segment);
    }
    removeObsoleteFiles(m_snapshotName);
    return std::nullopt;
}

// Reads one journal file. The size stays 0 if startSegment() was interrupted before the header was durable.
std::optional<StorageError> ControlStorage::readSegment(Segment& segment, bool isLast, control::RecoveredState& state)
{
    const std::string name = journalName(segment.number);
    std::string bytes;
    if (const ErrorNumber error = m_fileSystem->read(name, bytes))
        return ioError(name, 0, "read", error);
    const std::string_view all = bytes;
    std::uint64_t offset = 0;
    while (offset < all.size() || offset == 0) {
        const RecordView view = readRecord(all.substr(offset));
        if (view.state != RecordState::Valid) {
            if (!isLast || containsRecord(all.substr(std::min<std::size_t>(offset + 1, all.size()))))
                return damaged(name, offset, view.problem);
            segment.size = offset;
            return truncateTail(name, offset);
        }
        if (offset == 0) {
            if (all.substr(0, kRecordHeaderBytes + view.payload.size()) != headerOf(segment.number))
                return damaged(name, 0, fmt::format("expected the header of journal file {}", segment.number));
        } else {
            std::optional<control::JournalRecord> record = control::decodeJournalRecord(view.payload);
            if (!record)
                return damaged(name, offset, "expected a record of a known format");
            if (!record->entries.empty())
                segment.lastIndex = std::max(segment.lastIndex, record->entries.back().index);
            if (const std::string problem = replay(std::move(*record), state); !problem.empty())
                return damaged(name, offset, problem);
        }
        offset += kRecordHeaderBytes + view.payload.size();
    }
    segment.size = offset;
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::truncateTail(const std::string& name, std::uint64_t size)
{
    m_events.push_back({ &kTailTruncated, { { "file", name }, { "size", fmt::to_string(size) } } });
    if (size == 0) {
        if (const ErrorNumber error = m_fileSystem->remove(name))
            return ioError(name, 0, "remove", error);
        return std::nullopt;
    }
    std::unique_ptr<File> file;
    if (const ErrorNumber error = m_fileSystem->open(name, file))
        return ioError(name, size, "open", error);
    if (const ErrorNumber error = file->truncate(size))
        return ioError(name, size, "truncate", error);
    if (const ErrorNumber error = file->sync())
        return ioError(name, size, "sync", error);
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::write(const control::WriteJournal& write)
{
    if (write.snapshot) {
        if (std::optional<StorageError> error = writeSnapshot(write))
            return error;
    }
    if (!write.hardState && write.entries.empty())
        return std::nullopt;
    if (m_segments.empty() || m_segments.back().size > kMaximumSegmentBytes) {
        if (std::optional<StorageError> error = startSegment())
            return error;
    }
    const control::LogIndex lastIndex = write.entries.empty() ? 0 : write.entries.back().index;
    if (std::optional<StorageError> error = appendRecord(control::encodeJournalRecord({ write.hardState, write.entries }), lastIndex))
        return error;
    if (write.hardState)
        m_hardState = *write.hardState;
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::appendRecord(const std::string& payload, control::LogIndex lastIndex)
{
    Segment& segment = m_segments.back();
    const std::string name = journalName(segment.number);
    if (m_tailDirty) {
        if (const ErrorNumber error = m_journal->truncate(segment.size))
            return ioError(name, segment.size, "truncate", error);
    }
    m_tailDirty = true;
    const std::string bytes = frameRecord(payload);
    if (const ErrorNumber error = m_journal->append(bytes)) {
        // Frees the space immediately. If that fails, the next write truncates the file.
        m_tailDirty = m_journal->truncate(segment.size) != 0;
        return ioError(name, segment.size, "append", error);
    }
    if (const ErrorNumber error = m_journal->sync())
        return ioError(name, segment.size, "sync", error);
    m_tailDirty = false;
    segment.size += bytes.size();
    segment.lastIndex = std::max(segment.lastIndex, lastIndex);
    return std::nullopt;
}

// An interrupted or failed call may leave a file behind. The next call overwrites it; open() removes it.
std::optional<StorageError> ControlStorage::startSegment()
{
    const std::uint64_t number = m_segments.empty() ? 1 : m_segments.back().number + 1;
    const std::string name = journalName(number);
    if (m_tailDirty) {
        const std::string previous = journalName(m_segments.back().number);
        if (const ErrorNumber error = m_journal->truncate(m_segments.back().size))
            return ioError(previous, m_segments.back().size, "truncate", error);
        if (const ErrorNumber error = m_journal->sync())
            return ioError(previous, m_segments.back().size, "sync", error);
        m_tailDirty = false;
    }
    std::unique_ptr<File> file;
    if (const ErrorNumber error = m_fileSystem->open(name, file))
        return ioError(name, 0, "create", error);
    const std::string header = headerOf(number);
    if (const ErrorNumber error = file->truncate(0))
        return ioError(name, 0, "truncate", error);
    if (const ErrorNumber error = file->append(header))
        return ioError(name, 0, "append", error);
    if (const ErrorNumber error = file->sync())
        return ioError(name, 0, "sync", error);
    if (const ErrorNumber error = m_fileSystem->syncFolder())
        return ioError(name, 0, "sync the folder of", error);
    m_journal = std::move(file);
    m_segments.push_back({ number, header.size(), 0 });
    return std::nullopt;
}

// The next journal file is created before the snapshot that refers to it, so that a missing file is detected as damage.
std::optional<StorageError> ControlStorage::writeSnapshot(const control::WriteJournal& write)
{
    const control::Snapshot& snapshot = *write.snapshot;
    if (m_segments.empty() || m_segments.back().size > headerOf(m_segments.back().number).size()) {
        if (std::optional<StorageError> error = startSegment())
            return error;
    }
    control::SnapshotRecord record { m_segments.back().number, m_hardState, snapshot };
    if (!write.replaceEntries) {
        const auto needed = std::find_if(m_segments.begin(), m_segments.end(), [&snapshot](const Segment& segment) { return segment.lastIndex > snapshot.lastIndex; });
        if (needed != m_segments.end())
            record.firstSegment = needed->number;
    }
    const std::string name = snapshotName(snapshot.lastIndex);
    const std::string bytes = frameRecord(control::encodeSnapshotRecord(record));
    if (std::optional<StorageError> error = writeSnapshotFile(name, bytes))
        return error;
    m_snapshotName = name;
    m_snapshotBytes = bytes.size();
    while (m_segments.front().number < record.firstSegment)
        m_segments.pop_front();
    removeObsoleteFiles(name);
    m_events.push_back({ &kSnapshotWritten, { { "file", name }, { "bytes", fmt::to_string(bytes.size()) } } });
    return std::nullopt;
}

std::optional<StorageError> ControlStorage::writeSnapshotFile(const std::string& name, const std::string& bytes)
{
    const std::string temporary { kTemporaryName };
    std::unique_ptr<File> file;
    if (const ErrorNumber error = m_fileSystem->open(temporary, file))
        return ioError(temporary, 0, "create", error);
    if (const ErrorNumber error = file->truncate(0))
        return ioError(temporary, 0, "truncate", error);
    if (const ErrorNumber error = file->append(bytes)) {
        (void)m_fileSystem->remove(temporary);
        return ioError(temporary, 0, "append", error);
    }
    if (const ErrorNumber error = file->sync())
        return ioError(temporary, 0, "sync", error);
    if (const ErrorNumber error = m_fileSystem->rename(temporary, name))
        return ioError(name, 0, "rename", error);
    if (const ErrorNumber error = m_fileSystem->syncFolder())
        return ioError(name, 0, "sync the folder of", error);
    return std::nullopt;
}

// Removes files that neither the snapshot nor the journal needs. A file that cannot be removed is ignored by the next open(),
// which tries to remove it again.
void ControlStorage::removeObsoleteFiles(const std::string& snapshotName)
{
    std::vector<std::string> names;
    if (m_fileSystem->list(names) != 0)
        return;
    for (const std::string& name : names) {
        const std::optional<std::uint64_t> number = numberOf(name, kJournalPrefix);
        const bool isOldJournal = number && !m_segments.empty() && *number < m_segments.front().number;
        const bool isOldSnapshot = numberOf(name, kSnapshotPrefix) && name < snapshotName;
        if (!isOldJournal && !isOldSnapshot && name != kTemporaryName)
            continue;
        if (const ErrorNumber error = m_fileSystem->remove(name))
            m_events.push_back({ &kRemoveFailed, { { "file", name }, { "error", std::strerror(error) } } });
    }
}

std::uint64_t ControlStorage::journalBytes() const
{
    std::uint64_t bytes = 0;
    for (const Segment& segment : m_segments)
        bytes += segment.size;
    return bytes;
}

std::vector<LogEvent> ControlStorage::takeEvents() { return std::exchange(m_events, {}); }

StorageError ControlStorage::ioError(const std::string& file, std::uint64_t offset, std::string_view operation, ErrorNumber error)
{
    StorageError result { StorageErrorKind::Io, file, offset, fmt::format("expected to {} the file, found: {}", operation, std::strerror(error)) };
    m_events.push_back({ &kWriteFailed, { { "file", file }, { "problem", result.message } } });
    return result;
}

} // namespace curranttrail::storage
