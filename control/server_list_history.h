#pragma once

#include "control/feed.h"
#include "routing/server_record.h"

#include <deque>
#include <set>
#include <string>

namespace curranttrail::control {

// The newest list of servers and which servers changed in the revisions before it, so that those who hold a recent list get the
// difference only. With hundreds of servers and dozens of readers whole lists would fill the readers' network links.
class ServerListHistory {
public:
    explicit ServerListHistory(std::uint64_t epoch);

    // Takes a complete list. Returns whether it differs from the one before.
    bool set(routing::ServerList servers);
    bool known() const { return m_version.revision > 0; }
    const ListVersion& version() const { return m_version; }
    const routing::ServerList& servers() const { return m_servers; }
    // Returns what changed since a version, nothing if that version is too old or from another leader.
    std::optional<routing::ServerListDelta> changesSince(const ListVersion& version) const;

private:
    routing::ServerList m_servers;
    ListVersion m_version;
    // The instances that each of the last revisions changed, the newest last.
    std::deque<std::set<std::string>> m_changed;
};

} // namespace curranttrail::control
