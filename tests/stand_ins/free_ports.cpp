#include "tests/stand_ins/free_ports.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <sys/socket.h>
#include <unistd.h>

#include <random>
#include <stdexcept>

namespace curranttrail::stand_ins {

namespace {
    constexpr std::uint16_t kFirstPort = 20'000;
    constexpr std::uint16_t kPortGroups = 3'000;
    constexpr std::uint16_t kPortsPerGroup = 4;
    constexpr int kMaximumTries = 200;

    bool isFree(const std::string& address, std::uint16_t port)
    {
        sockaddr_in endpoint {};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(port);
        ::inet_pton(AF_INET, address.c_str(), &endpoint.sin_addr);
        const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
        const bool free = socket >= 0 && ::bind(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0;
        ::close(socket);
        return free;
    }

    bool allFree(const std::vector<std::string>& addresses, std::uint16_t base)
    {
        for (const std::string& address : addresses) {
            for (std::uint16_t n = 0; n < kPortsPerGroup; ++n) {
                if (!isFree(address, static_cast<std::uint16_t>(base + n)))
                    return false;
            }
        }
        return true;
    }
}

std::uint16_t findFreePorts(const std::vector<std::string>& addresses)
{
    std::random_device device;
    for (int n = 0; n < kMaximumTries; ++n) {
        const std::uint16_t base = static_cast<std::uint16_t>(kFirstPort + device() % kPortGroups * kPortsPerGroup);
        if (allFree(addresses, base))
            return base;
    }
    throw std::runtime_error("no four consecutive free ports on the loopback addresses");
}

} // namespace curranttrail::stand_ins
