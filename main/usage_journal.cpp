#include "main/usage_journal.h"

#include "storage/record_format.h"

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cstring>
#include <map>
#include <stdexcept>

namespace curranttrail {

namespace {

    std::string segmentName(std::uint64_t number)
    {
        return fmt::format("usage-{}", number);
    }

    std::string checkpointName(std::uint64_t number)
    {
        return fmt::format("checkpoint-{}", number);
    }

    // Returns the number that follows the prefix, or nothing for other names.
    std::optional<std::uint64_t> numberAfterPrefix(std::string_view name, std::string_view prefix)
    {
        if (!name.starts_with(prefix))
            return std::nullopt;
        name.remove_prefix(prefix.size());
        std::uint64_t number = 0;
        const std::from_chars_result result = std::from_chars(name.data(), name.data() + name.size(), number);
        return result.ec == std::errc {} && result.ptr == name.data() + name.size() ? std::optional<std::uint64_t> { number } : std::nullopt;
    }

    void throwOnError(storage::ErrorNumber error, const std::string& what)
    {
        if (error != 0)
            throw std::runtime_error(fmt::format("usage ledger: {}: {}", what, std::strerror(error)));
    }

} // namespace

std::size_t readUsageEntries(std::string_view bytes, const std::function<void(const usage::JournalEntry&)>& onEntry)
{
    std::size_t offset = 0;
    while (offset < bytes.size()) {
        const storage::RecordView record = storage::readRecord(bytes.substr(offset));
        if (record.state != storage::RecordState::Valid)
            break;
        const std::optional<usage::JournalEntry> entry = usage::decodeJournalEntry(record.payload);
        if (!entry)
            break;
        onEntry(*entry);
        offset += storage::kRecordHeaderBytes + record.payload.size();
    }
    return offset;
}

UsageJournal::UsageJournal(std::unique_ptr<storage::FileSystem> files)
    : m_fileSystem(std::move(files))
{
    throwOnError(m_fileSystem->openFolder(), "the folder cannot be opened");
    std::vector<std::string> names;
    throwOnError(m_fileSystem->list(names), "the folder cannot be listed");
    for (const std::string& name : names) {
        m_lastSegmentNumber = std::max(m_lastSegmentNumber, numberAfterPrefix(name, "usage-").value_or(0));
        m_checkpointNumber = std::max(m_checkpointNumber, numberAfterPrefix(name, "checkpoint-").value_or(0));
    }
    throwOnError(openLastSegment() ? 0 : EIO, "the last segment cannot be opened");
}

bool UsageJournal::openLastSegment()
{
    return m_fileSystem->open(segmentName(m_lastSegmentNumber), m_lastSegment) == 0 && m_fileSystem->syncFolder() == 0;
}

std::string UsageJournal::readSegment(std::uint64_t number, bool isLast)
{
    std::string bytes;
    throwOnError(m_fileSystem->read(segmentName(number), bytes), segmentName(number) + " cannot be read");
    const std::size_t valid = readUsageEntries(bytes, [](const usage::JournalEntry&) {});
    if (valid == bytes.size())
        return bytes;
    // After a crash only the last record can be incomplete; anything else is damage that must not be truncated as if it were the end.
    if (!isLast || storage::containsRecord(std::string_view { bytes }.substr(valid + 1)))
        throw std::runtime_error(fmt::format("usage ledger: {} is damaged at byte {}", segmentName(number), valid));
    bytes.resize(valid);
    throwOnError(m_lastSegment->truncate(valid), "the incomplete last record cannot be truncated");
    throwOnError(m_lastSegment->sync(), "the last segment cannot be synced");
    return bytes;
}

void UsageJournal::recover(
    const std::function<void(const usage::LedgerCheckpoint&)>& restore, const std::function<void(const usage::JournalEntry&)>& replay)
{
    std::uint64_t first = 1;
    if (m_checkpointNumber > 0) {
        std::string bytes;
        throwOnError(m_fileSystem->read(checkpointName(m_checkpointNumber), bytes), "the checkpoint cannot be read");
        const storage::RecordView record = storage::readRecord(bytes);
        const std::optional<usage::LedgerCheckpoint> checkpoint
            = record.state == storage::RecordState::Valid ? usage::decodeLedgerCheckpoint(record.payload) : std::nullopt;
        // All segments are kept, so a damaged checkpoint only makes the replay longer.
        if (checkpoint) {
            restore(*checkpoint);
            first = m_checkpointNumber;
        }
    }
    for (std::uint64_t number = first; number <= m_lastSegmentNumber; ++number) {
        const std::string bytes = readSegment(number, number == m_lastSegmentNumber);
        readUsageEntries(bytes, replay);
        m_lastSegmentBytes = bytes.size();
    }
}

bool UsageJournal::append(const std::vector<usage::JournalEntry>& entries)
{
    std::string bytes;
    for (const usage::JournalEntry& entry : entries)
        bytes += storage::frameRecord(usage::encode(entry));
    if (m_hasUnsyncedTail && m_lastSegment->truncate(m_lastSegmentBytes) != 0)
        return false;
    m_hasUnsyncedTail = true;
    if (m_lastSegment->append(bytes) != 0 || m_lastSegment->sync() != 0)
        return false;
    m_hasUnsyncedTail = false;
    m_lastSegmentBytes += bytes.size();
    return true;
}

void UsageJournal::rollOver(const std::function<usage::LedgerCheckpoint()>& checkpoint)
{
    if (m_lastSegmentBytes < kSegmentBytes || m_hasUnsyncedTail)
        return;
    const std::uint64_t next = m_lastSegmentNumber + 1;
    std::unique_ptr<storage::File> file;
    const std::string temporary = "new-checkpoint";
    m_fileSystem->remove(temporary);
    if (m_fileSystem->open(temporary, file) != 0 || file->append(storage::frameRecord(usage::encode(checkpoint()))) != 0 || file->sync() != 0)
        return;
    // The segment is created before the checkpoint that refers to it.
    std::unique_ptr<storage::File> segment;
    if (m_fileSystem->open(segmentName(next), segment) != 0 || m_fileSystem->syncFolder() != 0 || m_fileSystem->rename(temporary, checkpointName(next)) != 0)
        return;
    m_fileSystem->syncFolder();
    m_lastSegment = std::move(segment);
    m_lastSegmentNumber = next;
    m_lastSegmentBytes = 0;
    m_checkpointNumber = next;
}

std::vector<usage::SignedRecord> UsageJournal::records(const usage::ChainId& chain, std::uint64_t first, std::uint64_t last)
{
    std::map<std::uint64_t, usage::SignedRecord> found;
    // Another ledger usually lacks recent records, so the newest segments are read first.
    for (std::uint64_t number = m_lastSegmentNumber; number >= 1 && found.size() < last - first + 1; --number) {
        const std::optional<std::string> bytes = segment(number);
        if (!bytes)
            break;
        readUsageEntries(*bytes, [&](const usage::JournalEntry& entry) {
            const usage::SignedRecord* record = std::get_if<usage::SignedRecord>(&entry);
            if (record && record->record.chain == chain && record->record.number >= first && record->record.number <= last)
                found.emplace(record->record.number, *record);
        });
    }
    std::vector<usage::SignedRecord> records;
    records.reserve(found.size());
    for (auto& [number, record] : found)
        records.push_back(std::move(record));
    return records;
}

std::optional<std::string> UsageJournal::segment(std::uint64_t number)
{
    std::string bytes;
    if (number < 1 || number > m_lastSegmentNumber || m_fileSystem->read(segmentName(number), bytes) != 0)
        return std::nullopt;
    if (number == m_lastSegmentNumber)
        bytes.resize(std::min<std::size_t>(bytes.size(), m_lastSegmentBytes));
    return bytes;
}

} // namespace curranttrail
