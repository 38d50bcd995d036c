#include "policy/crash_table.h"

#include <algorithm>
#include <set>
#include <utility>

namespace curranttrail::policy {

namespace {
    // Servers that end within this time of each other may have one cause outside of all requests.
    constexpr Micros kSimultaneous { 100'000 };
    // Reports of one end by several instances differ by less than this time. A server that starts again needs longer.
    constexpr Micros kSameEnd { 1'000'000 };
    constexpr Micros kAnswerLifetime { 5'000'000 };
    constexpr std::size_t kMaximumAnswers = 4'096;
    constexpr std::size_t kMaximumRecords = 256;
    constexpr std::size_t kMaximumEnds = 16;
    // Further simultaneous ends would not change the count.
    constexpr std::size_t kMaximumSimultaneousEnds = 3;
    // A later arrival is passed on only if it prolongs the block by this time.
    constexpr Micros kArrivalGranularity { 60'000'000 };
    constexpr Micros kClearLifetime { 60'000'000 };
    constexpr Micros kSuspectLifetime { 600'000'000 };
    constexpr Micros kBlockLifetime { 1'800'000'000 };

    // Counts ends, those that are simultaneous once. The ends are in the order of their times.
    template <typename Predicate>
    std::size_t countEnds(const std::vector<ServerEnd>& ends, Predicate counts)
    {
        std::size_t count = 0;
        TimePoint groupStart = TimePoint::min();
        for (const ServerEnd& end : ends) {
            if (!counts(end))
                continue;
            if (groupStart != TimePoint::min() && end.at - groupStart <= kSimultaneous)
                continue;
            ++count;
            groupStart = end.at;
        }
        return count;
    }

    std::size_t unansweredEnds(const CrashRecord& record)
    {
        return countEnds(record.ends, [](const ServerEnd& end) { return !end.answeredSince; });
    }

    std::size_t unansweredEndsIn(const CrashRecord& record, const CollectionName& collection)
    {
        return countEnds(record.ends, [&](const ServerEnd& end) { return end.collection == collection && !end.collectionAnsweredSince; });
    }

    bool isSameEnd(const ServerEnd& a, const ServerEnd& b)
    {
        return a.server == b.server && std::max(a.at, b.at) - std::min(a.at, b.at) < kSameEnd;
    }

    bool mergeFlag(bool& flag, bool other)
    {
        return !std::exchange(flag, flag || other) && other;
    }

    Micros lifetimeOf(const CrashRecord& record)
    {
        switch (standingOf(record)) {
        case RequestStanding::Clear:
            return kClearLifetime;
        case RequestStanding::Suspect:
            return kSuspectLifetime;
        case RequestStanding::Blocked:
            return kBlockLifetime;
        }
        return kClearLifetime;
    }

    TimePoint lastChange(const CrashRecord& record)
    {
        return record.ends.empty() ? record.lastArrival : std::max(record.lastArrival, record.ends.back().at);
    }
} // namespace

RequestStanding standingOf(const CrashRecord& record)
{
    const std::size_t unanswered = unansweredEnds(record);
    if (unanswered >= CrashTable::kBlockingEnds)
        return RequestStanding::Blocked;
    std::set<CollectionName> collections;
    for (const ServerEnd& end : record.ends)
        collections.insert(end.collection);
    for (const CollectionName& collection : collections) {
        if (unansweredEndsIn(record, collection) >= CrashTable::kBlockingEnds)
            return RequestStanding::Blocked;
    }
    return unanswered > 0 ? RequestStanding::Suspect : RequestStanding::Clear;
}

RequestStanding CrashTable::standing(const RequestFingerprint& request) const
{
    const CrashRecord* record = find(request);
    return record ? standingOf(*record) : RequestStanding::Clear;
}

bool CrashTable::isSuspectIn(const RequestFingerprint& request, const CollectionName& collection) const
{
    const CrashRecord* record = find(request);
    return record && unansweredEndsIn(*record, collection) > 0;
}

bool CrashTable::needsTrial(const RequestFingerprint& request) const
{
    const CrashRecord* record = find(request);
    if (!record || standingOf(*record) != RequestStanding::Suspect)
        return false;
    const auto unanswered = std::count_if(record->ends.begin(), record->ends.end(), [](const ServerEnd& end) { return !end.answeredSince; });
    return static_cast<std::size_t>(unanswered) >= kBlockingEnds;
}

bool CrashTable::wasAnsweredRecently(const RequestFingerprint& request, TimePoint now) const
{
    const auto it = m_lastAnswers.find(request);
    return it != m_lastAnswers.end() && now - it->second < kAnswerLifetime;
}

const CrashRecord* CrashTable::find(const RequestFingerprint& request) const
{
    const auto it = m_records.find(request);
    return it == m_records.end() ? nullptr : &it->second;
}

CrashRecord& CrashTable::recordOf(const RequestFingerprint& request, TimePoint now)
{
    const auto it = m_records.find(request);
    if (it != m_records.end())
        return it->second;
    if (m_records.size() >= kMaximumRecords)
        evict();
    CrashRecord& record = m_records[request];
    record.request = request;
    record.lastArrival = now;
    return record;
}

// Drops the record that is least likely to protect a server: a cleared one first, a blocked one last, the oldest of them.
void CrashTable::evict()
{
    const auto least = std::min_element(m_records.begin(), m_records.end(), [](const auto& a, const auto& b) {
        return std::pair { standingOf(a.second), lastChange(a.second) } < std::pair { standingOf(b.second), lastChange(b.second) };
    });
    m_records.erase(least);
}

// Returns whether the end, or something about it, was not known.
bool CrashTable::addEnd(CrashRecord& record, const ServerEnd& end)
{
    for (ServerEnd& known : record.ends) {
        if (!isSameEnd(known, end))
            continue;
        const bool answered = mergeFlag(known.answeredSince, end.answeredSince);
        return mergeFlag(known.collectionAnsweredSince, end.collectionAnsweredSince) || answered;
    }
    std::vector<ServerEnd*> simultaneous;
    for (ServerEnd& known : record.ends) {
        if (std::max(known.at, end.at) - std::min(known.at, end.at) <= kSimultaneous)
            simultaneous.push_back(&known);
    }
    if (simultaneous.size() >= kMaximumSimultaneousEnds) {
        // An answer that came after this end came after the earlier ones as well.
        bool changed = false;
        for (ServerEnd* known : simultaneous) {
            if (known->at <= end.at)
                changed = mergeFlag(known->answeredSince, end.answeredSince) || changed;
        }
        return changed;
    }
    if (record.ends.size() >= kMaximumEnds) {
        if (end.answeredSince)
            return false;
        const auto cleared = std::find_if(record.ends.begin(), record.ends.end(), [](const ServerEnd& known) { return known.answeredSince; });
        if (cleared == record.ends.end())
            return false;
        record.ends.erase(cleared);
    }
    const auto position = std::upper_bound(record.ends.begin(), record.ends.end(), end, [](const ServerEnd& a, const ServerEnd& b) { return a.at < b.at; });
    record.ends.insert(position, end);
    return true;
}

void CrashTable::recordEnd(const RequestFingerprint& request, const ServerEnd& end)
{
    CrashRecord& record = recordOf(request, end.at);
    if (addEnd(record, end))
        touch(record);
}

bool CrashTable::clear(CrashRecord& record, const CollectionName& collection, TimePoint at)
{
    bool changed = false;
    for (ServerEnd& end : record.ends) {
        if (end.at > at)
            continue;
        changed = mergeFlag(end.answeredSince, true) || changed;
        changed = mergeFlag(end.collectionAnsweredSince, end.collection == collection) || changed;
    }
    return changed;
}

void CrashTable::recordAnswer(const RequestFingerprint& request, const CollectionName& collection, TimePoint now)
{
    while (!m_answers.empty() && (m_answers.size() >= kMaximumAnswers || now - m_answers.front().at >= kAnswerLifetime)) {
        const Answer& oldest = m_answers.front();
        const auto last = m_lastAnswers.find(oldest.request);
        if (last != m_lastAnswers.end() && last->second == oldest.at)
            m_lastAnswers.erase(last);
        m_answers.pop_front();
    }
    m_answers.push_back({ request, collection, now });
    m_lastAnswers[request] = now;
    const auto it = m_records.find(request);
    if (it != m_records.end() && clear(it->second, collection, now))
        touch(it->second);
}

bool CrashTable::applyRecentAnswers(CrashRecord& record) const
{
    if (!m_lastAnswers.contains(record.request))
        return false;
    bool changed = false;
    for (const Answer& answer : m_answers) {
        if (answer.request == record.request)
            changed = clear(record, answer.collection, answer.at) || changed;
    }
    return changed;
}

void CrashTable::recordArrival(const RequestFingerprint& request, TimePoint now)
{
    const auto it = m_records.find(request);
    if (it == m_records.end())
        return;
    if (now - it->second.lastArrival < kArrivalGranularity)
        return;
    it->second.lastArrival = now;
    touch(it->second);
}

bool CrashTable::release(const RequestFingerprint& request)
{
    const auto it = m_records.find(request);
    if (it == m_records.end())
        return false;
    for (ServerEnd& end : it->second.ends) {
        end.answeredSince = true;
        end.collectionAnsweredSince = true;
    }
    touch(it->second);
    return true;
}

bool CrashTable::merge(const CrashRecord& other, TimePoint now)
{
    if (other.ends.empty())
        return false;
    CrashRecord& record = recordOf(other.request, other.lastArrival);
    bool changed = false;
    for (const ServerEnd& end : other.ends)
        changed = addEnd(record, end) || changed;
    if (other.lastArrival - record.lastArrival >= kArrivalGranularity) {
        record.lastArrival = std::min(other.lastArrival, now);
        changed = true;
    }
    changed = applyRecentAnswers(record) || changed;
    if (changed)
        touch(record);
    return changed;
}

void CrashTable::expire(TimePoint now)
{
    std::erase_if(m_records, [now](const auto& entry) { return now - lastChange(entry.second) >= lifetimeOf(entry.second); });
}

std::vector<CrashRecord> CrashTable::records() const
{
    std::vector<CrashRecord> all;
    for (const auto& [request, record] : m_records)
        all.push_back(record);
    return all;
}

std::vector<CrashRecord> CrashTable::changesSince(std::uint64_t revision, std::size_t maximum) const
{
    std::vector<CrashRecord> changes;
    for (const auto& [request, record] : m_records) {
        if (record.revision > revision)
            changes.push_back(record);
    }
    std::sort(changes.begin(), changes.end(), [](const CrashRecord& a, const CrashRecord& b) { return a.revision < b.revision; });
    if (changes.size() > maximum)
        changes.resize(maximum);
    return changes;
}

std::vector<CrashRecord> CrashTable::missingFrom(const CrashTable& other, std::size_t maximum) const
{
    std::vector<CrashRecord> missing;
    for (const auto& [request, record] : m_records) {
        if (missing.size() == maximum)
            break;
        const CrashRecord* known = other.find(request);
        CrashRecord merged = known ? *known : CrashRecord {};
        bool isMissing = !known || record.lastArrival - known->lastArrival >= kArrivalGranularity;
        for (const ServerEnd& end : record.ends)
            isMissing = addEnd(merged, end) || isMissing;
        if (isMissing)
            missing.push_back(record);
    }
    return missing;
}

} // namespace curranttrail::policy
