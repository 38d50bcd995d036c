#include "membership/announcement_store.h"

#include <algorithm>
#include <utility>

namespace curranttrail::membership {

bool AnnouncementStore::setLocalVersions(const std::vector<OwnerVersion>& versions)
{
    bool isHigher = false;
    for (const OwnerVersion& version : versions) {
        if (m_local.size() >= kMaximumOwners && !m_local.contains(version.owner))
            continue;
        std::uint64_t& held = m_local[version.owner];
        isHigher = isHigher || version.version > held;
        held = std::max(held, version.version);
    }
    return isHigher;
}

AnnouncementStore::VersionUpdate AnnouncementStore::recordVersion(const VersionAnnouncement& announcement, TimePoint now)
{
    const std::map<OwnerName, std::uint64_t>::const_iterator local = m_local.find(announcement.owner);
    if (announcement.version <= (local == m_local.end() ? 0 : local->second))
        return {};
    if (m_knownVersions.size() >= kMaximumOwners && !m_knownVersions.contains(announcement.owner))
        return {};
    Known& known = m_knownVersions[announcement.owner];
    VersionUpdate update;
    update.isHigher = announcement.version > known.announcement.version;
    if (announcement.version >= known.announcement.version)
        known.announcement = announcement;
    update.shouldFetch = announcement.version > known.fetchedVersion || now >= known.fetchedAt + kFetchRetryInterval;
    if (update.shouldFetch) {
        known.fetchedVersion = std::max(known.fetchedVersion, announcement.version);
        known.fetchedAt = now;
    }
    return update;
}

bool AnnouncementStore::recordLeavingServer(const ServerLeaving& leaving, TimePoint now)
{
    const Micros age = std::chrono::milliseconds { leaving.ageMillis };
    if (leaving.server.empty() || age >= kMaximumAnnouncementAge || m_servers.contains(leaving.server))
        return false;
    if (m_servers.size() >= kMaximumServers) {
        const std::map<std::string, TimePoint>::iterator oldest = std::min_element(m_servers.begin(), m_servers.end(),
            [](const std::pair<const std::string, TimePoint>& left, const std::pair<const std::string, TimePoint>& right) { return left.second < right.second; });
        m_servers.erase(oldest);
    }
    m_servers.emplace(leaving.server, now - age);
    return true;
}

void AnnouncementStore::evictExpired(TimePoint now)
{
    // Retained for twice the maximum age, so that a delayed copy is not mistaken for a new announcement.
    std::erase_if(m_servers, [now](const std::pair<const std::string, TimePoint>& entry) { return now - entry.second >= 2 * kMaximumAnnouncementAge; });
}

std::vector<OwnerVersion> AnnouncementStore::localVersions() const
{
    std::vector<OwnerVersion> versions;
    for (const std::pair<const OwnerName, std::uint64_t>& entry : m_local)
        versions.push_back({ entry.first, entry.second });
    return versions;
}

std::vector<VersionAnnouncement> AnnouncementStore::versionAnnouncements() const
{
    std::vector<VersionAnnouncement> versionAnnouncements;
    for (const std::pair<const OwnerName, Known>& entry : m_knownVersions) {
        const std::map<OwnerName, std::uint64_t>::const_iterator local = m_local.find(entry.first);
        if (entry.second.announcement.version > (local == m_local.end() ? 0 : local->second))
            versionAnnouncements.push_back(entry.second.announcement);
    }
    return versionAnnouncements;
}

std::vector<ServerLeaving> AnnouncementStore::servers(std::size_t count, TimePoint now) const
{
    std::vector<ServerLeaving> servers;
    for (const std::pair<const std::string, TimePoint>& entry : m_servers) {
        const Micros age = std::max(Micros { 0 }, now - entry.second);
        if (age < kMaximumAnnouncementAge)
            servers.push_back({ entry.first, static_cast<std::uint32_t>(age.count() / 1'000) });
    }
    std::stable_sort(servers.begin(), servers.end(), [](const ServerLeaving& left, const ServerLeaving& right) { return left.ageMillis < right.ageMillis; });
    if (servers.size() > count)
        servers.resize(count);
    return servers;
}

} // namespace curranttrail::membership
