#include "transport/relay_records.h"

#include <algorithm>
#include <utility>

namespace curranttrail::transport {

namespace {
    // The kind and the number of bytes that follow, as an integer of three bytes in network byte order.
    constexpr std::size_t kHeadBytes = 4;
} // namespace

std::string relayRecord(RelayRecordKind kind, std::string_view bytes)
{
    std::string record;
    record.reserve(kHeadBytes + bytes.size());
    record += static_cast<char>(kind);
    for (const unsigned shift : { 16u, 8u, 0u })
        record += static_cast<char>(bytes.size() >> shift & 0xff);
    record += bytes;
    return record;
}

bool RelayRecordReader::read(std::string_view piece, std::string& data)
{
    while (!piece.empty()) {
        if (m_hasServerClosed)
            return false;
        const std::size_t size = std::min(piece.size(), m_remaining > 0 ? m_remaining : kHeadBytes - m_head.size());
        (m_remaining > 0 ? data : m_head) += piece.substr(0, size);
        piece.remove_prefix(size);
        if (m_remaining > 0)
            m_remaining -= size;
        else if (m_head.size() == kHeadBytes && !finishHead())
            return false;
    }
    return true;
}

bool RelayRecordReader::finishHead()
{
    const std::string head = std::exchange(m_head, {});
    for (std::size_t n = 1; n < kHeadBytes; ++n)
        m_remaining = m_remaining << 8 | static_cast<unsigned char>(head[n]);
    switch (static_cast<RelayRecordKind>(head.front())) {
    case RelayRecordKind::Data:
        return true;
    case RelayRecordKind::ServerClosed:
        m_hasServerClosed = true;
        return m_remaining == 0;
    case RelayRecordKind::NoMoreRequests:
        m_takesNoMoreRequests = true;
        return m_remaining == 0;
    }
    return false;
}

} // namespace curranttrail::transport
