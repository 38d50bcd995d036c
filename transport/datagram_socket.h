#pragma once

#include "transport/http_message.h"

#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>
#include <string_view>

namespace curranttrail::transport {

class IoThreads;

// A UDP socket. Received datagrams are passed to the handler without validation.
class DatagramSocket {
public:
    // Called on an I/O thread, one datagram at a time.
    using Handler = std::function<void(const Endpoint& from, std::string_view datagram)>;

    // Port 0 selects a free port. Throws std::runtime_error if the address cannot be bound.
    DatagramSocket(IoThreads& threads, const Endpoint& bind, std::size_t maximumBytes, Handler handler);
    ~DatagramSocket();
    DatagramSocket(const DatagramSocket&) = delete;
    DatagramSocket& operator=(const DatagramSocket&) = delete;

    std::uint16_t port() const;
    // Sends immediately or drops the datagram if the socket's buffer is full. Thread-safe.
    void send(const Endpoint& to, const std::string& datagram);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
