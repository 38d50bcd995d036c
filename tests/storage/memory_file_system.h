#pragma once

#include "core/random.h"
#include "storage/file_system.h"

#include <fmt/format.h>

#include <algorithm>
#include <cerrno>
#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::tests {

// Thrown in place of a file operation to simulate a crash of the process.
struct SimulatedCrash { };

// In-memory disk that distinguishes written from synced bytes and names. It outlives the file systems opened on it.
class MemoryDisk {
public:
    // A modification of a file that its last sync does not cover.
    struct Change {
        std::uint64_t offset = 0;
        std::string bytes;
        bool truncates = false;
    };
    struct Node {
        std::string current;
        std::string durable;
        std::vector<Change> unsynced {};
    };
    using Names = std::map<std::string, std::shared_ptr<Node>>;
    // A name that was created, renamed or removed since the last sync of the folder.
    struct NameChange {
        // Empty for a new file.
        std::string from;
        // Empty for a removed file.
        std::string to;
        std::shared_ptr<Node> node;
    };

    Names current;
    Names durable;
    std::vector<NameChange> unsyncedNames;
    bool locked = false;
    // Number of modifying operations until a simulated crash, 0 for no crash.
    std::uint64_t operationsUntilCrash = 0;
    // If not 0, modifying file operations fail with this error; append() writes half of the bytes first.
    int failure = 0;

    // Called by each operation that modifies the disk. Returns true if the operation must simulate a crash.
    bool crashDue() { return operationsUntilCrash > 0 && --operationsUntilCrash == 0; }

    // Makes the bytes of a file durable, but not its name: that takes a sync of the folder.
    static void syncFile(Node& node)
    {
        node.durable = node.current;
        node.unsynced.clear();
    }

    void syncFolder()
    {
        durable = current;
        unsyncedNames.clear();
    }

    // Simulates a power failure: each unsynced write is present, missing or torn, and each unsynced name is kept or lost, independently
    // of the others. Sometimes all of them are lost.
    void losePower(Random& random)
    {
        const bool losesAll = random() % 4 == 0;
        Names kept = durable;
        for (const NameChange& change : unsyncedNames) {
            if (losesAll || random() % 2 == 0)
                continue;
            if (!change.to.empty())
                kept[change.to] = change.node;
            if (!change.from.empty())
                kept.erase(change.from);
        }
        for (auto& [name, node] : kept) {
            if (!losesAll) {
                for (const Change& change : node->unsynced)
                    keepInPart(*node, change, random);
            }
            node->current = node->durable;
            node->unsynced.clear();
        }
        current = durable = kept;
        unsyncedNames.clear();
        operationsUntilCrash = 0;
        locked = false;
    }

    // Simulates a killed process: written data survives because the operating system keeps it.
    void killProcess()
    {
        operationsUntilCrash = 0;
        locked = false;
    }

    void erase()
    {
        current.clear();
        durable.clear();
        unsyncedNames.clear();
        locked = false;
    }

    // Returns a copy of the durable content.
    Names copy() const
    {
        Names names;
        for (const auto& [name, node] : durable)
            names[name] = std::make_shared<Node>(Node { node->durable, node->durable });
        return names;
    }

private:
    static void keepInPart(Node& node, const Change& change, Random& random)
    {
        const std::uint64_t outcome = random() % 3;
        if (outcome == 0)
            return;
        if (change.truncates) {
            node.durable.resize(change.offset);
            return;
        }
        std::string bytes = outcome == 1 ? change.bytes : change.bytes.substr(0, random() % (change.bytes.size() + 1));
        if (outcome == 2 && !bytes.empty() && random() % 3 == 0)
            bytes[random() % bytes.size()] ^= static_cast<char>(1 + random() % 255);
        if (bytes.empty())
            return;
        // A missing write before this one leaves a hole.
        node.durable.resize(std::max<std::size_t>(node.durable.size(), change.offset + bytes.size()));
        node.durable.replace(change.offset, bytes.size(), bytes);
    }
};

class MemoryFile : public storage::File {
public:
    MemoryFile(MemoryDisk& disk, std::shared_ptr<MemoryDisk::Node> node)
        : m_disk(disk)
        , m_node(std::move(node))
    {
    }

    storage::ErrorNumber append(std::string_view bytes) override
    {
        const bool crash = m_disk.crashDue();
        if (crash || m_disk.failure != 0)
            bytes = bytes.substr(0, bytes.size() / 2);
        if (!bytes.empty())
            m_node->unsynced.push_back({ m_node->current.size(), std::string { bytes }, false });
        m_node->current += bytes;
        if (crash)
            throw SimulatedCrash {};
        return m_disk.failure;
    }

    storage::ErrorNumber truncate(std::uint64_t size) override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        if (m_disk.failure != 0)
            return m_disk.failure;
        if (size != m_node->current.size())
            m_node->unsynced.push_back({ size, {}, true });
        m_node->current.resize(size);
        return 0;
    }

    storage::ErrorNumber sync() override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        if (m_disk.failure != 0)
            return m_disk.failure;
        MemoryDisk::syncFile(*m_node);
        return 0;
    }

private:
    MemoryDisk& m_disk;
    std::shared_ptr<MemoryDisk::Node> m_node;
};

// FileSystem on a MemoryDisk that simulates the disk's crashes and errors.
class MemoryFileSystem : public storage::FileSystem {
public:
    explicit MemoryFileSystem(MemoryDisk& disk)
        : m_disk(disk)
    {
    }
    ~MemoryFileSystem() override
    {
        if (m_holdsLock)
            m_disk.locked = false;
    }
    MemoryFileSystem(const MemoryFileSystem&) = delete;
    MemoryFileSystem& operator=(const MemoryFileSystem&) = delete;

    storage::ErrorNumber openFolder() override
    {
        if (m_disk.locked && !m_holdsLock)
            return EWOULDBLOCK;
        m_disk.locked = m_holdsLock = true;
        return 0;
    }

    storage::ErrorNumber list(std::vector<std::string>& names) override
    {
        names.clear();
        for (const auto& [name, node] : m_disk.current) {
            if (name.find('/') == std::string::npos)
                names.push_back(name);
        }
        return 0;
    }

    storage::ErrorNumber read(const std::string& name, std::string& bytes) override
    {
        const auto it = m_disk.current.find(name);
        if (it == m_disk.current.end())
            return ENOENT;
        bytes = it->second->current;
        return 0;
    }

    storage::ErrorNumber open(const std::string& name, std::unique_ptr<storage::File>& file) override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        std::shared_ptr<MemoryDisk::Node>& node = m_disk.current[name];
        if (!node) {
            node = std::make_shared<MemoryDisk::Node>();
            m_disk.unsyncedNames.push_back({ {}, name, node });
        }
        file = std::make_unique<MemoryFile>(m_disk, node);
        return 0;
    }

    storage::ErrorNumber rename(const std::string& from, const std::string& to) override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        const auto it = m_disk.current.find(from);
        if (it == m_disk.current.end())
            return ENOENT;
        m_disk.unsyncedNames.push_back({ from, to, it->second });
        m_disk.current[to] = it->second;
        m_disk.current.erase(it);
        return 0;
    }

    storage::ErrorNumber remove(const std::string& name) override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        if (m_disk.current.erase(name) == 0)
            return ENOENT;
        m_disk.unsyncedNames.push_back({ name, {}, nullptr });
        return 0;
    }

    storage::ErrorNumber syncFolder() override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        m_disk.syncFolder();
        return 0;
    }

    storage::ErrorNumber quarantineFiles(std::string& name) override
    {
        std::vector<std::string> names;
        list(names);
        name = fmt::format("damaged-{}", m_disk.current.size());
        for (const std::string& file : names) {
            if (const storage::ErrorNumber error = rename(file, fmt::format("{}/{}", name, file)))
                return error;
        }
        return syncFolder();
    }

private:
    MemoryDisk& m_disk;
    bool m_holdsLock = false;
};

} // namespace curranttrail::tests
