#pragma once

#include "control/feed.h"
#include "policy/crash_table.h"

#include <vector>

// The exchange of crash records, which travel with the watch requests of entry instances and their replies.
namespace curranttrail::control {

// Converts between the times of this process and the ages in messages.
std::vector<CrashReport> toReports(const std::vector<policy::CrashRecord>& records, TimePoint now);
std::vector<policy::CrashRecord> toRecords(const std::vector<CrashReport>& reports, TimePoint now);

// An entry instance's part: what to tell the leader, and what it is known to know.
class CrashExchange {
public:
    // Takes over records of this instance that changed.
    void update(const std::vector<policy::CrashRecord>& records, TimePoint now);
    // Adds what the leader does not know, and the version held of its records, to a watch request.
    void fill(WatchRequest& request, TimePoint now);
    // The leader answered the last request. Returns the records in its reply. All is sent again to another leader.
    std::vector<policy::CrashRecord> takeReply(const WatchReply& reply, TimePoint now);

private:
    policy::CrashTable m_own;
    // What the leader is known to know.
    policy::CrashTable m_shared;
    std::vector<policy::CrashRecord> m_sent;
    ListVersion m_version;
};

// A leader's part: merges the records of all entry instances.
class CrashBoard {
public:
    // The epoch tells this board from those of other leaders.
    explicit CrashBoard(std::uint64_t epoch)
        : m_epoch(epoch)
    {
    }

    void takeRequest(const WatchRequest& request, TimePoint now);
    bool hasNews(const ListVersion& held) const { return held != version(); }
    // Adds the records that changed since the version held by the requester.
    void fill(WatchReply& reply, const ListVersion& held, TimePoint now) const;
    bool release(const RequestFingerprint& request) { return m_table.release(request); }
    void expire(TimePoint now) { m_table.expire(now); }
    ListVersion version() const { return { m_epoch, m_table.revision() }; }
    const policy::CrashTable& table() const { return m_table; }

private:
    std::uint64_t m_epoch = 0;
    policy::CrashTable m_table;
};

} // namespace curranttrail::control
