#include "tests/soak/soak_coordinators.h"

#include <fmt/format.h>

#include <algorithm>
#include <csignal>
#include <filesystem>

namespace curranttrail::soak {

namespace {
    constexpr const char* kLinkKey = "a link key of the soak, 32 characters or more";
}

CoordinatorGroup::CoordinatorGroup(CoordinatorOptions options)
    : m_options(std::move(options))
{
    m_processes.reserve(kAddresses);
    for (std::size_t n = 0; n < kMembers; ++n) {
        addProcess();
        m_members[n] = n;
    }
}

std::string CoordinatorGroup::hostAt(std::size_t address)
{
    return fmt::format("127.0.0.{}", 11 + address);
}

bool CoordinatorGroup::isMember(const ChildProcess& process) const
{
    return std::any_of(m_members.begin(), m_members.end(), [&](std::size_t it) { return &m_processes[it] == &process; });
}

std::string CoordinatorGroup::contact() const
{
    std::string seeds;
    for (std::size_t n = 0; n < kMembers; ++n)
        seeds += fmt::format("{}\"{}:{}\"", n ? "," : "", hostOf(n), m_options.basePort + 1);
    return fmt::format("seeds = [{}]\ngroup_port = {}\nlink_key = \"{}\"\n", seeds, m_options.basePort, kLinkKey);
}

void CoordinatorGroup::addProcess()
{
    const std::string path = fmt::format("{}/coordinator-{}", m_options.folder, m_processes.size());
    m_processes.emplace_back(m_options.programs + "/curranttrail-coordinator", path + ".toml", path + ".log");
}

void CoordinatorGroup::writeProcess(std::size_t address, bool bootstrap) const
{
    replaceFile(fmt::format("{}/coordinator-{}.toml", m_options.folder, address),
        fmt::format("name = \"c{0}\"\ndata_centre = \"z{1}\"\ndata_folder = \"{2}/data-{0}\"\nhttp = \"{3}:{5}\"\n[group]\naddress = \"{3}:{4}\"\nbootstrap = {6}\n{7}[server_list]\naddress = \"127.0.0.1:{8}\"\ncalls_per_second = 50\n",
            address, address % kMembers, m_options.folder, hostAt(address), m_options.basePort, m_options.basePort + 1, bootstrap, contact(), m_options.listPort));
}

void CoordinatorGroup::writeSettings(bool bootstrap) const
{
    for (const std::atomic<std::size_t>& it : m_members)
        writeProcess(it, bootstrap);
}

void CoordinatorGroup::destroy(std::size_t member)
{
    processOf(member).signal(SIGKILL);
    processOf(member).waitForExit(std::chrono::seconds { 3 });
    std::filesystem::remove_all(fmt::format("{}/data-{}", m_options.folder, m_members[member].load()));
}

void CoordinatorGroup::startSuccessor()
{
    writeProcess(m_processes.size(), false);
    addProcess();
    m_processes.back().start();
}

bool CoordinatorGroup::retire(std::size_t member, int signal, std::chrono::milliseconds limit)
{
    ChildProcess& process = processOf(member);
    process.signal(signal);
    const bool exited = process.waitForExit(limit);
    m_members[member] = m_processes.size() - 1;
    writeSettings(false);
    return exited;
}

} // namespace curranttrail::soak
