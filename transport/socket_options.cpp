#include "transport/socket_options.h"

#include <boost/asio/error.hpp>

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace curranttrail::transport {

void setUnacknowledgedTimeout(int socket, std::chrono::milliseconds timeout)
{
    const unsigned millis = static_cast<unsigned>(timeout.count());
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
