#include "transport/stream_end.h"

#include <boost/asio/error.hpp>

namespace curranttrail::transport {

namespace asio = boost::asio;
using boost::system::error_code;

void StreamEnd::recordWriteError(const error_code& ec)
{
    if (!m_writeError)
        m_writeError = ec;
}

error_code StreamEnd::causeOf(const error_code& readError) const
{
    if (readError != asio::error::eof || !m_writeError)
        return readError;
    // The system reports EPIPE instead of ECONNRESET if the peer had closed its side in order before it reset the connection.
    return m_writeError == asio::error::broken_pipe ? readError : m_writeError;
}

} // namespace curranttrail::transport
