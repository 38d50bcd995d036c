#pragma once

#include <boost/system/error_code.hpp>

namespace curranttrail::transport {

// Tells whether the peer of a TCP connection has closed it in order or the connection has failed.
//
// A socket hands a pending error to the first call that asks for it, and every later read returns an end of stream. While a connection is
// read and written at once, an end of stream is therefore that of the peer only if no write has taken an error before. The driver reads
// what has arrived before each write, so that an end that came in time is seen first.
class StreamEnd {
public:
    // Records that a write failed. The first error counts.
    void recordWriteError(const boost::system::error_code& ec);
    bool hasWriteError() const { return m_writeError.failed(); }

    // Returns why the stream has ended, given the error of a read: asio::error::eof only if the peer closed it in order.
    boost::system::error_code causeOf(const boost::system::error_code& readError) const;

private:
    boost::system::error_code m_writeError;
};

} // namespace curranttrail::transport
