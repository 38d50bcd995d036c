#pragma once

#include <cstddef>
#include <cstdint>
#include <string>
#include <string_view>

// Records in which a relay passes on the bytes of a server, if the instance that asked for the connection reads them. The end of a TCP
// connection does not tell whether the server has closed it or the relay has ended; a record does.
namespace curranttrail::transport {

enum class RelayRecordKind : std::uint8_t {
    // Bytes of the server.
    Data,
    // The server has closed the connection in order. The last record.
    ServerClosed,
    // The server gets no more requests. The reply to one that it has received follows.
    NoMoreRequests,
};

// Returns a record. Only records of data hold bytes, at most 2^24 - 1.
std::string relayRecord(RelayRecordKind kind, std::string_view bytes = {});

// Reads records from a stream that arrives in pieces.
class RelayRecordReader {
public:
    // Appends the data in the next piece of the stream. Returns false if the stream violates the format.
    bool read(std::string_view piece, std::string& data);
    // True if the server has closed the connection in order. Otherwise the end of the stream is a failure of the relay.
    bool hasServerClosed() const { return m_hasServerClosed; }
    // True if the server gets no more requests through the relay.
    bool takesNoMoreRequests() const { return m_takesNoMoreRequests; }

private:
    bool finishHead();

    // Head of the next record, as far as it has arrived.
    std::string m_head;
    // Bytes of the current record that have not arrived.
    std::size_t m_remaining = 0;
    bool m_hasServerClosed = false;
    bool m_takesNoMoreRequests = false;
};

} // namespace curranttrail::transport
