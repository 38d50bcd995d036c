#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail::routing {

inline constexpr std::size_t kRecordBytes = 16;

// Merges shard replies into the greatest records, compared byte by byte. Equal records are all kept.
class RecordMerge {
public:
    explicit RecordMerge(std::size_t recordLimit);

    // Adds the records of a shard reply. A trailing fragment shorter than a record is ignored.
    void add(std::string_view part);
    // Returns the kept records, greatest first, and clears them.
    std::string takeRecords();

private:
    const std::size_t m_recordLimit;
    // Min-heap of the kept records.
    std::vector<std::array<unsigned char, kRecordBytes>> m_records;
};

} // namespace curranttrail::routing
