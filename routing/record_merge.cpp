#include "routing/record_merge.h"

#include <algorithm>
#include <cstring>
#include <functional>

namespace curranttrail::routing {

RecordMerge::RecordMerge(std::size_t recordLimit)
    : m_recordLimit(recordLimit)
{
}

void RecordMerge::add(std::string_view part)
{
    for (; part.size() >= kRecordBytes; part.remove_prefix(kRecordBytes)) {
        std::array<unsigned char, kRecordBytes> record {};
        std::memcpy(record.data(), part.data(), kRecordBytes);
        if (m_records.size() < m_recordLimit) {
            m_records.push_back(record);
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

std::string RecordMerge::takeRecords()
{
    std::sort(m_records.begin(), m_records.end(), std::greater<> {});
    std::string body;
    body.reserve(m_records.size() * kRecordBytes);
    for (const std::array<unsigned char, kRecordBytes>& record : m_records)
        body.append(reinterpret_cast<const char*>(record.data()), record.size());
    m_records.clear();
    return body;
}

} // namespace curranttrail::routing
