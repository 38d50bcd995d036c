#include "routing/record_merge.h"

#include <algorithm>
#include <functional>

namespace curranttrail::routing {

RecordMerge::RecordMerge(std::size_t recordsKept)
    : m_recordsKept(recordsKept)
{
}

void RecordMerge::add(std::string_view part)
{
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
        const std::string_view record = part.substr(0, kRecordBytes);
        if (m_records.size() < m_recordsKept) {
            m_records.emplace_back(record);
            std::push_heap(m_records.begin(), m_records.end(), std::greater<> {});
            continue;
        }
        if (m_records.empty() || record <= m_records.front())
            continue;
        std::pop_heap(m_records.begin(), m_records.end(), std::greater<> {});
        m_records.back() = record;
        std::push_heap(m_records.begin(), m_records.end(), std::greater<> {});
    }
}

std::string RecordMerge::take()
{
    std::sort(m_records.begin(), m_records.end(), std::greater<> {});
    std::string body;
    body.reserve(m_records.size() * kRecordBytes);
    for (const std::string& record : m_records)
        body += record;
    m_records.clear();
    return body;
}

} // namespace curranttrail::routing
