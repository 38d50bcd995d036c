#pragma once

#include "tests/soak/soak_processes.h"

#include <array>
#include <atomic>
#include <chrono>
#include <cstdint>
#include <string>
#include <vector>

namespace curranttrail::soak {

struct CoordinatorOptions {
    std::string programs;
    std::string folder;
    std::uint16_t basePort = 0;
    std::uint16_t listPort = 0;
};

// The coordinators of a soak run. A member is a place in the group; the process that fills it changes when it is replaced, and
// each process has an address and a data folder of its own. Faults come from one thread, while any thread may ask for addresses.
class CoordinatorGroup {
public:
    static constexpr std::size_t kMembers = 3;
    // Addresses of all processes, including successors.
    static constexpr std::size_t kAddresses = 10;

    explicit CoordinatorGroup(CoordinatorOptions options);

    static std::string hostAt(std::size_t address);
    std::string hostOf(std::size_t member) const { return hostAt(m_members[member]); }
    ChildProcess& processOf(std::size_t member) { return m_processes[m_members[member]]; }
    bool isMember(const ChildProcess& process) const;
    // All processes that have ever been started.
    std::vector<ChildProcess>& processes() { return m_processes; }
    // The settings by which a process finds the current members.
    std::string contact() const;
    void writeSettings(bool bootstrap) const;
    // Kills the process and deletes its data folder.
    void destroy(std::size_t member);
    bool canReplace() const { return m_processes.size() < kAddresses; }
    // Starts a successor with an empty data folder. The member keeps its process until retire().
    void startSuccessor();
    // Ends the member's process with the signal, for good, and gives its place to the successor. Returns false if it did not
    // exit within the limit.
    bool retire(std::size_t member, int signal, std::chrono::milliseconds limit);

private:
    void addProcess();
    void writeProcess(std::size_t address, bool bootstrap) const;

    const CoordinatorOptions m_options;
    std::vector<ChildProcess> m_processes;
    std::array<std::atomic<std::size_t>, kMembers> m_members;
};

} // namespace curranttrail::soak
