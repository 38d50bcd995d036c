#include "main/server_directory.h"

#include <algorithm>
#include <tuple>

namespace curranttrail {

namespace {

    bool areEqual(const transport::PlatformServer& a, const transport::PlatformServer& b)
    {
        const auto key = [](const transport::PlatformServer& s) {
            return std::tie(s.listed.name, s.listed.dataCentre, s.listed.owner, s.listed.collection, s.listed.slots, s.listed.connectionLimit, s.listed.leaving, s.address.address, s.address.port);
        };
        return key(a) == key(b);
    }

} // namespace

std::optional<query::ServerListChanged> ServerDirectory::update(const std::vector<transport::PlatformServer>& servers)
{
    const std::lock_guard lock(m_mutex);
    if (m_hasList && std::equal(servers.begin(), servers.end(), m_current.begin(), m_current.end(), areEqual))
        return std::nullopt;
    m_hasList = true;
    m_current = servers;
    query::ServerListChanged list;
    for (transport::PlatformServer& server : m_current) {
        server.listed.server = assignId(server);
        list.servers.push_back(server.listed);
    }
    return list;
}

ServerId ServerDirectory::assignId(const transport::PlatformServer& server)
{
    const auto it = m_ids.find(server.listed.name);
    if (it != m_ids.end() && m_entries.at(it->second).address == server.address)
        return it->second;
    const ServerId id { ++m_lastId };
    m_ids[server.listed.name] = id;
    m_entries[id] = { server.listed.name, server.address };
    return id;
}

std::optional<transport::Endpoint> ServerDirectory::addressOf(ServerId server) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? std::nullopt : std::optional<transport::Endpoint> { it->second.address };
}

std::optional<ServerId> ServerDirectory::idOf(const std::string& name) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_ids.find(name);
    return it == m_ids.end() ? std::nullopt : std::optional<ServerId> { it->second };
}

std::string ServerDirectory::nameOf(ServerId server) const
{
    const std::lock_guard lock(m_mutex);
    const auto it = m_entries.find(server);
    return it == m_entries.end() ? "" : it->second.name;
}

std::vector<std::pair<ServerId, transport::Endpoint>> ServerDirectory::servers() const
{
    const std::lock_guard lock(m_mutex);
    std::vector<std::pair<ServerId, transport::Endpoint>> result;
    for (const transport::PlatformServer& server : m_current)
        result.emplace_back(server.listed.server, server.address);
    return result;
}

} // namespace curranttrail
