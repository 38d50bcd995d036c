#include "control/crash_exchange.h"

#include <algorithm>
#include <chrono>
#include <utility>

namespace curranttrail::control {

using policy::CrashRecord;
using policy::ServerEnd;

namespace {
    // Bounds of one message. The rest follows with the next one.
    constexpr std::size_t kMaximumRecordsPerRequest = 32;
    constexpr std::size_t kMaximumRecordsPerReply = 64;
    // Bounds of what is taken over from a message.
    constexpr std::size_t kMaximumNameBytes = 256;
    constexpr std::size_t kMaximumEndsPerReport = 16;

    Micros ageOf(TimePoint time, TimePoint now)
    {
        return std::max(Micros { 0 }, std::chrono::duration_cast<Micros>(now - time));
    }

    TimePoint timeOf(Micros age, TimePoint now)
    {
        return now - std::clamp(age, Micros { 0 }, std::chrono::duration_cast<Micros>(std::chrono::hours { 24 }));
    }

    bool isWellFormed(const CrashReport& report)
    {
        return report.ends.size() <= kMaximumEndsPerReport && std::all_of(report.ends.begin(), report.ends.end(), [](const CrashReport::End& end) {
            return end.server.size() <= kMaximumNameBytes && end.collection.size() <= kMaximumNameBytes && end.reporter.size() <= kMaximumNameBytes;
        });
    }
} // namespace

std::vector<CrashReport> toReports(const std::vector<CrashRecord>& records, TimePoint now)
{
    std::vector<CrashReport> reports;
    for (const CrashRecord& record : records) {
        CrashReport& report = reports.emplace_back();
        report.request = record.request;
        report.arrivalAge = ageOf(record.lastArrival, now);
        for (const ServerEnd& end : record.ends)
            report.ends.push_back({ end.server, end.collection, end.reporter, ageOf(end.at, now), end.answeredSince, end.collectionAnsweredSince });
    }
    return reports;
}

std::vector<CrashRecord> toRecords(const std::vector<CrashReport>& reports, TimePoint now)
{
    std::vector<CrashRecord> records;
    for (const CrashReport& report : reports) {
        if (!isWellFormed(report))
            continue;
        CrashRecord& record = records.emplace_back();
        record.request = report.request;
        record.lastArrival = timeOf(report.arrivalAge, now);
        for (const CrashReport::End& end : report.ends)
            record.ends.push_back({ end.server, end.collection, end.reporter, timeOf(end.age, now), end.answeredSince, end.collectionAnsweredSince });
    }
    return records;
}

void CrashExchange::update(const std::vector<CrashRecord>& records, TimePoint now)
{
    for (const CrashRecord& record : records)
        m_own.merge(record, now);
}

void CrashExchange::fill(WatchRequest& request, TimePoint now)
{
    m_own.expire(now);
    m_shared.expire(now);
    request.crashVersion = m_version;
    m_sent = m_own.missingFrom(m_shared, kMaximumRecordsPerRequest);
    request.crashes = toReports(m_sent, now);
}

std::vector<CrashRecord> CrashExchange::takeReply(const WatchReply& reply, TimePoint now)
{
    if (reply.crashVersion.epoch != m_version.epoch)
        m_shared = {};
    for (const CrashRecord& record : std::exchange(m_sent, {}))
        m_shared.merge(record, now);
    m_version = reply.crashVersion;
    std::vector<CrashRecord> records = toRecords(reply.crashes, now);
    for (const CrashRecord& record : records)
        m_shared.merge(record, now);
    return records;
}

void CrashBoard::takeRequest(const WatchRequest& request, TimePoint now)
{
    for (const CrashRecord& record : toRecords(request.crashes, now))
        m_table.merge(record, now);
}

void CrashBoard::fill(WatchReply& reply, const ListVersion& held, TimePoint now) const
{
    const std::uint64_t since = held.epoch == m_epoch ? held.revision : 0;
    const std::vector<CrashRecord> changes = m_table.changesSince(since, kMaximumRecordsPerReply);
    reply.crashes = toReports(changes, now);
    reply.crashVersion = version();
    if (changes.size() == kMaximumRecordsPerReply)
        reply.crashVersion.revision = changes.back().revision;
}

} // namespace curranttrail::control
