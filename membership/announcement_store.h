#pragma once

#include "membership/messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace curranttrail::membership {

// Stores announcements of configuration versions and leaving servers while they are to be disseminated.
class AnnouncementStore {
public:
    static constexpr std::size_t kMaximumOwners = 8;
    static constexpr std::size_t kMaximumServers = 256;
    // Older announcements are not sent on. By then the platform's list and the server's own drain signal show that it is leaving.
    static constexpr Micros kMaximumAnnouncementAge { std::chrono::seconds { 20 } };
    // Time after which a version that is still missing is fetched from another holder.
    static constexpr Micros kFetchRetryInterval { std::chrono::milliseconds { 200 } };

    // Records the versions that this instance holds. Returns true if one of them increased.
    bool setLocalVersions(const std::vector<OwnerVersion>& versions);

    // Effect of an announced version.
    struct VersionUpdate {
        // True if the version is higher than any known before.
        bool isHigher = false;
        // True if this instance lacks the version and should fetch it from the announced holder now.
        bool shouldFetch = false;
    };
    VersionUpdate recordVersion(const VersionAnnouncement& announcement, TimePoint now);

    // Returns true if the announcement is new and not older than the maximum age.
    bool recordLeavingServer(const ServerLeaving& leaving, TimePoint now);
    void evictExpired(TimePoint now);

    std::vector<OwnerVersion> localVersions() const;
    // Returns the versions that another instance holds and this one lacks.
    std::vector<VersionAnnouncement> versionAnnouncements() const;
    // Returns the leaving servers to announce, newest first.
    std::vector<ServerLeaving> servers(std::size_t count, TimePoint now) const;

private:
    struct Known {
        VersionAnnouncement announcement;
        std::uint64_t fetchedVersion = 0;
        TimePoint fetchedAt;
    };

    std::map<OwnerName, std::uint64_t> m_local;
    std::map<OwnerName, Known> m_knownVersions;
    // Time at which each server was first seen to be leaving.
    std::map<std::string, TimePoint> m_servers;
};

} // namespace curranttrail::membership
