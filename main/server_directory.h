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

// Numbers the platform's servers. A server that comes back under its name with another address is a new server, because
// what was observed of the old one does not hold for it.
class ServerDirectory {
public:
    // Takes the platform's list and returns it with numbers, or nothing if it equals the last one.
    std::optional<query::ServerListChanged> update(const std::vector<transport::PlatformServer>& servers);

    std::optional<transport::Endpoint> addressOf(ServerId server) const;
    std::optional<ServerId> idOf(const std::string& name) const;
    std::string nameOf(ServerId server) const;
    // All servers of the last list with their addresses.
    std::vector<std::pair<ServerId, transport::Endpoint>> servers() const;

private:
    struct Entry {
        std::string name;
        transport::Endpoint address;
    };

    ServerId assignId(const transport::PlatformServer& server);

    mutable std::mutex m_mutex;
    std::uint64_t m_lastId = 0;
    // Servers that left the list stay known, since work on them may still be in flight.
    std::map<ServerId, Entry> m_entries;
    std::map<std::string, ServerId> m_ids;
    std::vector<transport::PlatformServer> m_current;
    bool m_hasList = false;
};

} // namespace curranttrail
