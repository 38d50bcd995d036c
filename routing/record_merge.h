#pragma once

#include <array>
#include <cstddef>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail::routing {

inline constexpr std::size_t kRecordBytes = 16;

// Keeps the greatest records of any number of parts, compared byte by byte. Equal records all count.
class RecordMerge {
public:
    explicit RecordMerge(std::size_t recordLimit);

    // Takes the records of a part. A remainder shorter than a record is ignored.
    void add(std::string_view part);
    // Returns the kept records, greatest first.
    std::string take();

private:
    const std::size_t m_recordLimit;
    // A heap with the least kept record at the front.
    std::vector<std::array<unsigned char, kRecordBytes>> m_records;
};

} // namespace curranttrail::routing
