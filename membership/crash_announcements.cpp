#include "membership/crash_announcements.h"

#include <algorithm>
#include <chrono>

namespace curranttrail::membership {

namespace {
    std::uint32_t ageOf(TimePoint time, TimePoint now)
    {
        return static_cast<std::uint32_t>(std::max<std::int64_t>(0, std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count()));
    }
}

policy::CrashRecord recordOf(const EndAnnouncement& announcement, TimePoint now)
{
    policy::CrashRecord record;
    record.request = announcement.request;
    record.lastArrival = now - std::chrono::milliseconds { announcement.arrivalAgeMillis };
    record.ends.push_back({ announcement.server, announcement.collection, announcement.reporter, now - std::chrono::milliseconds { announcement.ageMillis }, announcement.answeredSince, announcement.collectionAnsweredSince });
    return record;
}

std::vector<policy::CrashRecord> CrashAnnouncements::merge(const std::vector<policy::CrashRecord>& records, TimePoint now)
{
    std::vector<policy::CrashRecord> changed;
    for (const policy::CrashRecord& record : records) {
        if (!m_table.merge(record, now))
            continue;
        changed.push_back(*m_table.find(record.request));
        for (const policy::ServerEnd& end : changed.back().ends)
            m_sends[{ record.request, end.server }] = 0;
    }
    return changed;
}

const policy::ServerEnd* CrashAnnouncements::find(const Key& key) const
{
    const policy::CrashRecord* record = m_table.find(key.first);
    if (!record)
        return nullptr;
    const auto end = std::find_if(record->ends.rbegin(), record->ends.rend(), [&](const policy::ServerEnd& known) { return known.server == key.second; });
    return end == record->ends.rend() ? nullptr : &*end;
}

EndAnnouncement CrashAnnouncements::announcementOf(const Key& key, const policy::ServerEnd& end, TimePoint now) const
{
    const std::uint32_t arrivalAge = ageOf(m_table.find(key.first)->lastArrival, now);
    return { key.first, end.server, end.collection, end.reporter, ageOf(end.at, now), arrivalAge, end.answeredSince, end.collectionAnsweredSince };
}

std::vector<EndAnnouncement> CrashAnnouncements::choose(std::size_t count, std::uint32_t sendLimit, TimePoint now)
{
    std::vector<EndAnnouncement> chosen;
    for (auto& [key, sends] : m_sends) {
        if (chosen.size() >= count)
            return chosen;
        const policy::ServerEnd* end = sends < sendLimit ? find(key) : nullptr;
        if (!end)
            continue;
        ++sends;
        chosen.push_back(announcementOf(key, *end, now));
    }
    if (m_sends.empty() || chosen.size() >= count)
        return chosen;
    auto next = m_sends.upper_bound(m_cursor);
    if (next == m_sends.end())
        next = m_sends.begin();
    m_cursor = next->first;
    if (const policy::ServerEnd* end = next->second >= sendLimit ? find(next->first) : nullptr)
        chosen.push_back(announcementOf(next->first, *end, now));
    return chosen;
}

void CrashAnnouncements::evictExpired(TimePoint now)
{
    m_table.expire(now);
    std::erase_if(m_sends, [this](const auto& entry) { return !find(entry.first); });
}

} // namespace curranttrail::membership
