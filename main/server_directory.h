#pragma once

#include "query/messages.h"
#include "transport/backend_protocol.h"

#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail {

// Assigns ids to the backend servers that the platform lists. A server that reappears under its name with another address gets
// a new id, because what was measured on the old one does not apply to it.
class ServerDirectory {
public:
    // Stores the platform's list and returns it with ids, or nothing if it equals the previous one.
    std::optional<query::ServerListChanged> update(const std::vector<transport::PlatformServer>& servers);

    std::optional<transport::Endpoint> addressOf(ServerId server) const;
    std::optional<ServerId> idOf(const std::string& name) const;
    std::string nameOf(ServerId server) const;
    // Returns the servers of the current list with their addresses.
    std::vector<std::pair<ServerId, transport::Endpoint>> servers() const;

private:
    struct Entry {
        std::string name;
        transport::Endpoint address;
    };

    ServerId assignId(const transport::PlatformServer& server);

    mutable std::mutex m_mutex;
    std::uint64_t m_lastId = 0;
    // Servers that left the list are kept, since requests to them may still be in flight.
    std::map<ServerId, Entry> m_entries;
    std::map<std::string, ServerId> m_ids;
    std::vector<transport::PlatformServer> m_current;
    bool m_hasList = false;
};

} // namespace curranttrail
