#include "control/server_list_history.h"

#include <algorithm>
#include <map>
#include <string_view>
#include <utility>

namespace curranttrail::control {

namespace {
    // A reader that is more revisions behind gets the whole list. The list is fetched once a second.
    constexpr std::size_t kRetainedRevisions = 16;

    // Platforms round the remaining time, and a page of the list takes a while.
    constexpr Micros kColdTimeTolerance { 150'000 };

    // The remaining cold time decreases with every list. Only a server that stays cold for longer than the list of before said has
    // changed.
    bool isSameServer(const routing::ServerRecord& before, const routing::ServerRecord& after, Micros elapsed)
    {
        routing::ServerRecord left = before;
        left.coldStartRemaining = after.coldStartRemaining;
        const Micros expected = std::max(Micros { 0 }, before.coldStartRemaining - elapsed);
        return left == after && after.coldStartRemaining <= expected + kColdTimeTolerance;
    }

    std::set<std::string> changedInstances(const routing::ServerList& before, const routing::ServerList& after, Micros elapsed)
    {
        std::map<std::string_view, const routing::ServerRecord*> unmatched;
        for (const routing::ServerRecord& record : before)
            unmatched.emplace(record.instance, &record);
        std::set<std::string> changed;
        for (const routing::ServerRecord& record : after) {
            const auto it = unmatched.find(record.instance);
            if (it == unmatched.end() || !isSameServer(*it->second, record, elapsed))
                changed.insert(record.instance);
            if (it != unmatched.end())
                unmatched.erase(it);
        }
        for (const auto& [instance, record] : unmatched)
            changed.emplace(instance);
        return changed;
    }
}

ServerListHistory::ServerListHistory(std::uint64_t epoch)
    : m_version { epoch, 0 }
{
}

void ServerListHistory::beginTerm(std::uint64_t term, std::uint64_t epoch, TimePoint now)
{
    if (term == m_term)
        return;
    *this = ServerListHistory(epoch);
    m_term = term;
    m_termStartedAt = now;
}

bool ServerListHistory::set(routing::ServerList servers, TimePoint fetchStartedAt)
{
    const Micros elapsed = std::chrono::duration_cast<Micros>(fetchStartedAt - m_fetchStartedAt);
    const std::set<std::string> changed = changedInstances(m_servers, servers, elapsed);
    const bool isChanged = !known() || !changed.empty();
    m_servers = std::move(servers);
    m_fetchStartedAt = fetchStartedAt;
    if (!isChanged)
        return false;
    ++m_version.revision;
    m_changed.push_back(changed);
    if (m_changed.size() > kRetainedRevisions)
        m_changed.pop_front();
    return true;
}

std::optional<routing::ServerListDelta> ServerListHistory::changesSince(const ListVersion& version) const
{
    if (version.epoch != m_version.epoch || version.revision == 0 || version.revision > m_version.revision)
        return std::nullopt;
    const std::uint64_t behind = m_version.revision - version.revision;
    if (behind > m_changed.size())
        return std::nullopt;
    std::set<std::string> changed;
    for (auto it = m_changed.end() - static_cast<std::ptrdiff_t>(behind); it != m_changed.end(); ++it)
        changed.insert(it->begin(), it->end());
    routing::ServerListDelta changes;
    for (const routing::ServerRecord& record : m_servers) {
        if (changed.erase(record.instance) > 0)
            changes.listed.push_back(record);
    }
    changes.removed.assign(changed.begin(), changed.end());
    return changes;
}

} // namespace curranttrail::control
