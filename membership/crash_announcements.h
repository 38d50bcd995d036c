#pragma once

#include "membership/messages.h"
#include "policy/crash_table.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <utility>
#include <vector>

namespace curranttrail::membership {

// Stores the ends of servers under requests, and chooses those that a message carries: new ones first, a number of times each, and one of
// the others in turn, so that instances that start or were cut off learn them as well.
class CrashAnnouncements {
public:
    // Takes over what this instance or another one knows. Returns the records that this changed.
    std::vector<policy::CrashRecord> merge(const std::vector<policy::CrashRecord>& records, TimePoint now);
    // Returns at most the given number of ends for one message. New ones are chosen until they were sent as often as the limit says.
    std::vector<EndAnnouncement> choose(std::size_t count, std::uint32_t sendLimit, TimePoint now);
    void evictExpired(TimePoint now);

private:
    using Key = std::pair<RequestFingerprint, std::string>;

    const policy::ServerEnd* find(const Key& key) const;
    EndAnnouncement announcementOf(const Key& key, const policy::ServerEnd& end, TimePoint now) const;

    policy::CrashTable m_table;
    // How often the end of each server under each request was sent since it changed.
    std::map<Key, std::uint32_t> m_sends;
    // The end that was last sent in turn.
    Key m_cursor;
};

// Converts between the times of this process and the ages in messages.
policy::CrashRecord recordOf(const EndAnnouncement& announcement, TimePoint now);

} // namespace curranttrail::membership
