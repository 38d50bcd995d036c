#pragma once

#include "control/feed.h"
#include "routing/server_record.h"

#include <deque>
#include <set>
#include <string>

namespace curranttrail::control {

// Keeps the current server list and the servers that each recent revision changed, so that a reader of a recent revision gets
// only the changes. With hundreds of servers and dozens of readers, whole lists would saturate the network links of the
// readers.
class ServerListHistory {
public:
    explicit ServerListHistory(std::uint64_t epoch);

    // Starts the lists of a leader's term. The previous ones are forgotten unless they are of the same term, because another leader
    // may have published newer lists since.
    void beginTerm(std::uint64_t term, std::uint64_t epoch, TimePoint now);
    // Returns whether a list may be published. One whose fetch began before the term may be older than those of the last leader.
    bool accepts(TimePoint fetchStartedAt) const { return fetchStartedAt >= m_termStartedAt; }
    // Replaces the list. Returns true if it differs from the previous one: not if only the cold times have passed by.
    bool set(routing::ServerList servers, TimePoint fetchStartedAt = {});
    // True once a list was set.
    bool known() const { return m_version.revision > 0; }
    const ListVersion& version() const { return m_version; }
    const routing::ServerList& servers() const { return m_servers; }
    // Returns the changes since a version, or std::nullopt if that version is too old or from another leader.
    std::optional<routing::ServerListDelta> changesSince(const ListVersion& version) const;

private:
    routing::ServerList m_servers;
    TimePoint m_fetchStartedAt;
    ListVersion m_version;
    std::uint64_t m_term = 0;
    TimePoint m_termStartedAt = TimePoint::min();
    // Servers that each of the last revisions changed, newest revision last.
    std::deque<std::set<std::string>> m_changed;
};

} // namespace curranttrail::control
