#include "transport/socket_options.h"

#include <boost/asio/error.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

#include <chrono>

namespace curranttrail::transport {

namespace {
    constexpr std::chrono::milliseconds kUnacknowledgedTimeout { 3'000 };
    // The smallest window of usual systems.
    constexpr std::size_t kWindowBytes = 16'384;
}

void UnacknowledgedLimit::apply(int socket) { set(socket, true); }

void UnacknowledgedLimit::setRequestBytes(int socket, std::size_t size)
{
    if (m_isLimited != (size <= kWindowBytes))
        set(socket, !m_isLimited);
}

void UnacknowledgedLimit::set(int socket, bool isLimited)
{
    m_isLimited = isLimited;
    const unsigned millis = isLimited ? static_cast<unsigned>(kUnacknowledgedTimeout.count()) : 0;
    // Errors are ignored because the option only detects lost connections sooner.
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis));
}

bool isWouldBlock(const boost::system::error_code& ec)
{
    return ec == boost::asio::error::would_block || ec == boost::asio::error::try_again;
}

Micros smoothedRoundTrip(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Micros { 0 };
    return Micros { info.tcpi_rtt };
}

} // namespace curranttrail::transport
