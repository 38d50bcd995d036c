#include "transport/socket_options.h"

#include <netinet/in.h>
#include <netinet/tcp.h>
#include <sys/socket.h>

namespace curranttrail::transport {

void limitUnacknowledged(int socket, std::chrono::milliseconds limit)
{
    const unsigned millis = static_cast<unsigned>(limit.count());
    // The option only shortens a wait, so a refusal changes nothing that must hold.
    static_cast<void>(::setsockopt(socket, IPPROTO_TCP, TCP_USER_TIMEOUT, &millis, sizeof millis));
}

Micros roundTripOf(int socket)
{
    tcp_info info {};
    socklen_t size = sizeof info;
    if (::getsockopt(socket, IPPROTO_TCP, TCP_INFO, &info, &size) != 0)
        return Micros { 0 };
    return Micros { info.tcpi_rtt };
}

} // namespace curranttrail::transport
