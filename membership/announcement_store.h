#pragma once

#include "membership/messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <vector>

namespace curranttrail::membership {

// Configuration versions and leaving servers heard of, as far as they are to be passed on.
class AnnouncementStore {
public:
    static constexpr std::size_t kMaximumOwners = 8;
    static constexpr std::size_t kMaximumServers = 256;
    // Older announcements are not passed on; by then the platform's list and the server's own drain signal tell it.
    static constexpr Micros kMaximumAnnouncementAge { std::chrono::seconds { 20 } };
    // A fetch from a holder that failed is tried with another holder after this time.
    static constexpr Micros kFetchRetryInterval { std::chrono::milliseconds { 200 } };

    // Returns true if a version rose.
    bool setLocalVersions(const std::vector<OwnerVersion>& versions);

    // A holder has a version. "rose" says that nobody was known to hold as high a version;
    // "fetch" that this instance lacks it and may try this holder now.
    struct VersionUpdate {
        bool isHigher = false;
        bool shouldFetch = false;
    };
    VersionUpdate recordVersion(const VersionAnnouncement& announcement, TimePoint now);

    // Returns true for a server not heard of within twice the maximum age.
    bool recordLeavingServer(const ServerLeaving& leaving, TimePoint now);
    void evictExpired(TimePoint now);

    std::vector<OwnerVersion> localVersions() const;
    // Versions that another instance holds and this one lacks.
    std::vector<VersionAnnouncement> versionAnnouncements() const;
    // Leaving servers to pass on, the newest first.
    std::vector<ServerLeaving> servers(std::size_t count, TimePoint now) const;

private:
    struct Known {
        VersionAnnouncement announcement;
        std::uint64_t fetchedVersion = 0;
        TimePoint fetchedAt;
    };

    std::map<OwnerName, std::uint64_t> m_local;
    std::map<OwnerName, Known> m_knownVersions;
    // When each server was first seen to leave.
    std::map<std::string, TimePoint> m_servers;
};

} // namespace curranttrail::membership
