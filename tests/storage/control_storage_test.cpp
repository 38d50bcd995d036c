#include "storage/control_storage.h"

#include "storage/events.h"
#include "tests/stand_ins/temporary_folder.h"
#include "tests/storage/memory_file_system.h"

#include <boost/test/unit_test.hpp>

#include <filesystem>
#include <fstream>

#include <unistd.h>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::storage;
using namespace curranttrail::tests;

namespace {

LogEntry entryOf(LogIndex index, Term term = 1) { return { term, index, ClaimRequest { "request-" + std::to_string(index), "holder", 1, 2 } }; }

WriteJournal entriesOf(LogIndex first, LogIndex last, Term term = 1)
{
    WriteJournal write;
    for (LogIndex index = first; index <= last; ++index)
        write.entries.push_back(entryOf(index, term));
    return write;
}

WriteJournal hardStateOf(Term term)
{
    WriteJournal write;
    write.hardState = HardState { term, "r1", 5 };
    return write;
}

WriteJournal snapshotOf(LogIndex index, Term term = 1, bool replaces = false)
{
    WriteJournal write;
    write.snapshot = Snapshot { index, term, {} };
    write.snapshot->state.configuration.owner = "nile";
    write.replaceEntries = replaces;
    return write;
}

std::unique_ptr<ControlStorage> storageOn(MemoryDisk& disk) { return std::make_unique<ControlStorage>(std::make_unique<MemoryFileSystem>(disk)); }

RecoveredState reopen(MemoryDisk& disk)
{
    const std::unique_ptr<ControlStorage> storage = storageOn(disk);
    const ControlStorage::OpenResult result = storage->open();
    const StorageError* error = std::get_if<StorageError>(&result);
    BOOST_REQUIRE_MESSAGE(!error, (error ? error->text() : ""));
    return std::get<RecoveredState>(result);
}

// Returns writes of all kinds: hard states, entries, entries that replace a suffix, and snapshots of both kinds.
std::vector<WriteJournal> exampleWrites()
{
    return { hardStateOf(1), entriesOf(1, 5), entriesOf(4, 8, 2), snapshotOf(6, 2), hardStateOf(3), entriesOf(9, 12, 3), snapshotOf(9, 3), entriesOf(11, 14, 4),
        snapshotOf(20, 5, true), entriesOf(21, 22, 5), hardStateOf(6) };
}

// Formats a recovered state as "term/snapshot index", followed by "index:term" of each entry.
std::string summaryOf(const RecoveredState& state)
{
    std::string text = std::to_string(state.hardState.term) + '/' + std::to_string(state.snapshot ? state.snapshot->lastIndex : 0);
    for (const LogEntry& entry : state.entries)
        text += ' ' + std::to_string(entry.index) + ':' + std::to_string(entry.term);
    return text;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlStorages)

// Guards against a restart that loses or reorders writes, or restores overwritten ones.
BOOST_AUTO_TEST_CASE(RestartRecoversAllWrites)
{
    MemoryDisk disk;
    const std::vector<std::string> expected { "1/0", "1/0 1:1 2:1 3:1 4:1 5:1", "1/0 1:1 2:1 3:1 4:2 5:2 6:2 7:2 8:2", "1/6 7:2 8:2", "3/6 7:2 8:2", "3/6 7:2 8:2 9:3 10:3 11:3 12:3",
        "3/9 10:3 11:3 12:3", "3/9 10:3 11:4 12:4 13:4 14:4", "3/20", "3/20 21:5 22:5", "6/20 21:5 22:5" };
    BOOST_TEST(reopen(disk).empty);
    const std::vector<WriteJournal> writes = exampleWrites();
    for (std::size_t n = 0; n < writes.size(); ++n) {
        {
            const std::unique_ptr<ControlStorage> storage = storageOn(disk);
            storage->open();
            BOOST_REQUIRE(!storage->write(writes[n]));
        }
        const RecoveredState state = reopen(disk);
        BOOST_TEST(summaryOf(state) == expected[n]);
        BOOST_TEST(!state.empty);
    }
    BOOST_TEST(reopen(disk).hardState.repairId == 5u);
}

// Guards against a crash at any file operation that loses an acknowledged write or leaves files that cannot be read.
BOOST_AUTO_TEST_CASE(CrashAtAnyOperationKeepsAcknowledgedWrites)
{
    Random random(11);
    const std::vector<WriteJournal> writes = exampleWrites();
    for (std::uint64_t step = 1; step < 120; ++step) {
        for (int variant = 0; variant < 6; ++variant) {
            MemoryDisk disk;
            std::size_t acknowledged = 0;
            std::unique_ptr<ControlStorage> storage = storageOn(disk);
            try {
                storage->open();
                disk.operationsUntilCrash = step;
                for (; acknowledged < writes.size(); ++acknowledged)
                    BOOST_REQUIRE(!storage->write(writes[acknowledged]));
            } catch (const SimulatedCrash&) {
            }
            storage.reset();
            if (variant % 3 == 2) {
                disk.killProcess();
                reopen(disk);
            }
            disk.losePower(random);
            const std::string found = summaryOf(reopen(disk));
            // The write in progress may or may not have taken effect.
            const auto summaryAfter = [&writes](std::size_t count) {
                MemoryDisk whole;
                const std::unique_ptr<ControlStorage> reference = storageOn(whole);
                reference->open();
                for (std::size_t n = 0; n < count; ++n)
                    reference->write(writes[n]);
                whole.locked = false;
                return summaryOf(reopen(whole));
            };
            const bool isExpected = found == summaryAfter(acknowledged) || (acknowledged < writes.size() && found == summaryAfter(acknowledged + 1));
            BOOST_TEST(isExpected, "step " << step << " after " << acknowledged << " writes found " << found);
        }
    }
}

// Guards against a failed append that leaves a partial record in front of the next one.
BOOST_AUTO_TEST_CASE(FailedWriteIsRetriedCompletely)
{
    for (int error : { ENOSPC, EIO }) {
        MemoryDisk disk;
        const std::vector<WriteJournal> writes = exampleWrites();
        std::unique_ptr<ControlStorage> storage = storageOn(disk);
        storage->open();
        for (const WriteJournal& write : writes) {
            disk.failure = error;
            for (int n = 0; n < 3; ++n) {
                const std::optional<StorageError> failure = storage->write(write);
                BOOST_REQUIRE((failure && failure->kind == StorageErrorKind::Io && !failure->file.empty()));
            }
            disk.failure = 0;
            BOOST_REQUIRE(!storage->write(write));
        }
        storage.reset();
        BOOST_TEST(summaryOf(reopen(disk)) == "6/20 21:5 22:5");
    }
}

// Guards against reading corrupted bytes as content. Only a flipped bit in the last record may be treated as a torn write.
BOOST_AUTO_TEST_CASE(FlippedBitIsDetected)
{
    MemoryDisk disk;
    {
        const std::unique_ptr<ControlStorage> storage = storageOn(disk);
        storage->open();
        for (const WriteJournal& write : { hardStateOf(1), entriesOf(1, 5), snapshotOf(3), entriesOf(6, 7), hardStateOf(2) })
            BOOST_REQUIRE(!storage->write(write));
    }
    const std::string whole = summaryOf(reopen(disk));
    const MemoryDisk::Names copy = disk.copy();
    for (const auto& [name, node] : copy) {
        for (std::size_t at = 0; at < node->current.size(); ++at) {
            MemoryDisk damaged;
            damaged.current = damaged.durable = disk.copy();
            damaged.current[name]->current[at] ^= static_cast<char>(1 << (at % 8));
            const std::unique_ptr<ControlStorage> storage = storageOn(damaged);
            const ControlStorage::OpenResult result = storage->open();
            if (const StorageError* error = std::get_if<StorageError>(&result)) {
                BOOST_TEST((error->kind == StorageErrorKind::Damaged && error->file == name && !error->message.empty()));
                std::string folder;
                BOOST_TEST(!storage->quarantineFiles(folder));
                BOOST_TEST(std::get<RecoveredState>(storage->open()).empty);
                continue;
            }
            const std::string found = summaryOf(std::get<RecoveredState>(result));
            BOOST_TEST((found == whole || found == "1/3 4:1 5:1 6:1 7:1"), name << " at " << at << ": " << found);
        }
    }
}

// Guards against a missing file that is not detected.
BOOST_AUTO_TEST_CASE(MissingFileIsReportedAsDamage)
{
    MemoryDisk disk;
    {
        const std::unique_ptr<ControlStorage> storage = storageOn(disk);
        storage->open();
        for (const WriteJournal& write : { entriesOf(1, 5), snapshotOf(3), entriesOf(6, 7) })
            BOOST_REQUIRE(!storage->write(write));
    }
    const MemoryDisk::Names copy = disk.copy();
    BOOST_TEST(copy.size() == 3u);
    for (const auto& [name, node] : copy) {
        if (name == copy.rbegin()->first || name == std::next(copy.begin())->first)
            continue;
        MemoryDisk damaged;
        damaged.current = damaged.durable = disk.copy();
        damaged.current.erase(name);
        BOOST_TEST(std::holds_alternative<StorageError>(storageOn(damaged)->open()));
    }
}

// Guards against obsolete journal files and snapshots that accumulate on the disk.
BOOST_AUTO_TEST_CASE(SnapshotsBoundTheJournalSize)
{
    MemoryDisk disk;
    const std::unique_ptr<ControlStorage> storage = storageOn(disk);
    storage->open();
    std::uint64_t maximumJournalBytes = 0;
    for (LogIndex index = 1; index <= 5'000; ++index) {
        BOOST_REQUIRE(!storage->write(entriesOf(index, index)));
        if (index % 100 == 0)
            BOOST_REQUIRE(!storage->write(snapshotOf(index)));
        maximumJournalBytes = std::max(maximumJournalBytes, storage->journalBytes());
    }
    BOOST_TEST(maximumJournalBytes < 100'000u);
    BOOST_TEST(disk.current.size() == 2u);
}

// Guards against two processes using one folder, and against writes that are lost on a real file system.
BOOST_AUTO_TEST_CASE(FilesOnDiskAreLockedAndPersistent)
{
    const stand_ins::TemporaryFolder folder;
    const std::string path = (folder.path() / "data").string();
    {
        ControlStorage storage(path);
        BOOST_TEST(std::get<RecoveredState>(storage.open()).empty);
        for (const WriteJournal& write : exampleWrites())
            BOOST_REQUIRE(!storage.write(write));
        ControlStorage second(path);
        const ControlStorage::OpenResult refused = second.open();
        BOOST_TEST((std::get<StorageError>(refused).kind == StorageErrorKind::Locked));
    }
    {
        ControlStorage storage(path);
        BOOST_TEST(summaryOf(std::get<RecoveredState>(storage.open())) == "6/20 21:5 22:5");
    }
    std::filesystem::path last;
    for (const std::filesystem::directory_entry& file : std::filesystem::directory_iterator(path)) {
        if (file.path().filename().string().starts_with("journal-"))
            last = std::max(last, file.path());
    }
    std::ofstream(last, std::ios::app) << "CTR1 torn";
    {
        ControlStorage storage(path);
        BOOST_TEST(summaryOf(std::get<RecoveredState>(storage.open())) == "6/20 21:5 22:5");
        const std::vector<LogEvent> events = storage.takeEvents();
        BOOST_TEST((events.front().description == &kTailTruncated));
    }
    std::fstream(last, std::ios::in | std::ios::out).seekp(60).put('!');
    ControlStorage storage(path);
    BOOST_TEST((std::get<StorageError>(storage.open()).kind == StorageErrorKind::Damaged));
    std::string aside;
    BOOST_TEST(!storage.quarantineFiles(aside));
    BOOST_TEST(std::get<RecoveredState>(storage.open()).empty);
    BOOST_TEST(std::filesystem::exists(std::filesystem::path(path) / aside / last.filename()));
}

BOOST_AUTO_TEST_SUITE_END()
