#include "storage/record_format.h"

#include <boost/crc.hpp>
#include <boost/endian/conversion.hpp>
#include <fmt/format.h>

#include <cstring>

namespace curranttrail::storage {

namespace {

    // CRC-32C (Castagnoli).
    using Checksum = boost::crc_optimal<32, 0x1EDC6F41, 0xFFFFFFFF, 0xFFFFFFFF, true, true>;

    constexpr std::string_view kMarker = "CTR1";

    void putNumber(std::string& bytes, std::uint32_t number)
    {
        unsigned char buf[4];
        boost::endian::store_little_u32(buf, number);
        bytes.append(reinterpret_cast<const char*>(buf), sizeof(buf));
    }

    std::uint32_t numberAt(std::string_view bytes, std::size_t offset)
    {
        return boost::endian::load_little_u32(reinterpret_cast<const unsigned char*>(bytes.data() + offset));
    }

    std::uint32_t checksumOf(std::string_view lengthBytes, std::string_view payload)
    {
        Checksum checksum;
        checksum.process_bytes(lengthBytes.data(), lengthBytes.size());
        checksum.process_bytes(payload.data(), payload.size());
        return checksum.checksum();
    }

} // namespace

std::string frameRecord(std::string_view payload)
{
    std::string bytes { kMarker };
    bytes.reserve(kRecordHeaderBytes + payload.size());
    putNumber(bytes, static_cast<std::uint32_t>(payload.size()));
    putNumber(bytes, checksumOf(std::string_view(bytes).substr(4, 4), payload));
    bytes += payload;
    return bytes;
}

RecordView readRecord(std::string_view bytes)
{
    RecordView view;
    if (bytes.size() < kRecordHeaderBytes) {
        view.state = RecordState::Incomplete;
        view.problem = fmt::format("expected a record header of {} bytes, found {} bytes", kRecordHeaderBytes, bytes.size());
        return view;
    }
    if (bytes.substr(0, kMarker.size()) != kMarker) {
        view.problem = "expected a record marker, found other bytes";
        return view;
    }
    const std::size_t length = numberAt(bytes, 4);
    if (length > bytes.size() - kRecordHeaderBytes) {
        view.state = RecordState::Incomplete;
        view.problem = fmt::format("expected a payload of {} bytes, found {} bytes", length, bytes.size() - kRecordHeaderBytes);
        return view;
    }
    const std::string_view payload = bytes.substr(kRecordHeaderBytes, length);
    const std::uint32_t expected = numberAt(bytes, 8);
    const std::uint32_t found = checksumOf(bytes.substr(4, 4), payload);
    if (expected != found) {
        view.problem = fmt::format("expected a payload with the checksum {:08x}, found {:08x}", expected, found);
        return view;
    }
    view.state = RecordState::Valid;
    view.payload = payload;
    return view;
}

bool containsRecord(std::string_view bytes)
{
    for (std::size_t at = bytes.find(kMarker); at != std::string_view::npos; at = bytes.find(kMarker, at + 1)) {
        if (readRecord(bytes.substr(at)).state == RecordState::Valid)
            return true;
    }
    return false;
}

} // namespace curranttrail::storage
