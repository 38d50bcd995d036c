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

namespace curranttrail::tests {

// Thrown in place of a file operation to simulate a crash of the process.
struct SimulatedCrash { };

// In-memory disk that distinguishes written from synced bytes and names. It outlives the file systems opened on it.
class MemoryDisk {
public:
    struct Node {
        std::string current;
        std::string durable;
    };
    using Names = std::map<std::string, std::shared_ptr<Node>>;

    Names current;
    Names durable;
    bool locked = false;
    // Number of modifying operations until a simulated crash, 0 for no crash.
    std::uint64_t operationsUntilCrash = 0;
    // If not 0, modifying file operations fail with this error; append() writes half of the bytes first.
    int failure = 0;

    // Called by each operation that modifies the disk. Returns true if the operation must simulate a crash.
    bool crashDue() { return operationsUntilCrash > 0 && --operationsUntilCrash == 0; }

    // Simulates a power failure: unsynced bytes survive in part and may be corrupted, unsynced names may be lost.
    void losePower(Random& random)
    {
        Names kept = random() % 2 == 0 ? durable : current;
        for (auto& [name, node] : kept) {
            if (node->current == node->durable)
                continue;
            const std::string& longer = node->current.size() > node->durable.size() ? node->current : node->durable;
            const std::size_t commonBytes = std::min(node->current.size(), node->durable.size());
            std::string bytes = longer.substr(0, commonBytes + random() % (longer.size() - commonBytes + 1));
            if (bytes.size() > commonBytes && random() % 3 == 0)
                bytes[commonBytes + random() % (bytes.size() - commonBytes)] ^= static_cast<char>(1 + random() % 255);
            node->current = node->durable = bytes;
        }
        current = durable = kept;
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
        m_node->current.resize(size);
        return 0;
    }

    storage::ErrorNumber sync() override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        if (m_disk.failure != 0)
            return m_disk.failure;
        m_node->durable = m_node->current;
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
        if (!node)
            node = std::make_shared<MemoryDisk::Node>();
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
        m_disk.current[to] = it->second;
        m_disk.current.erase(it);
        return 0;
    }

    storage::ErrorNumber remove(const std::string& name) override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        return m_disk.current.erase(name) == 1 ? 0 : ENOENT;
    }

    storage::ErrorNumber syncFolder() override
    {
        if (m_disk.crashDue())
            throw SimulatedCrash {};
        m_disk.durable = m_disk.current;
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
