#include "tests/stand_ins/raw_client.h"

#include <boost/algorithm/string/predicate.hpp>

#include <arpa/inet.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <chrono>
#include <stdexcept>
#include <utility>

namespace curranttrail::stand_ins {

namespace {

    constexpr int kReadTimeoutMs = 10'000;

    // Appends received bytes to the buffer. Returns false on a timeout. `closed` is set if the connection was closed.
    bool receive(int socket, std::string& buffer, int milliseconds, bool& closed)
    {
        pollfd entry { socket, POLLIN, 0 };
        if (::poll(&entry, 1, milliseconds) <= 0)
            return false;
        char bytes[8192];
        const ssize_t n = ::recv(socket, bytes, sizeof bytes, 0);
        closed = n <= 0;
        if (n > 0)
            buffer.append(bytes, static_cast<std::size_t>(n));
        return true;
    }

    std::size_t contentLength(const std::string& header)
    {
        std::size_t position = 0;
        while ((position = header.find("\r\n", position)) != std::string::npos) {
            position += 2;
            static const std::string kName = "content-length:";
            if (boost::algorithm::iequals(header.substr(position, kName.size()), kName))
                return std::stoul(header.substr(position + kName.size()));
        }
        return 0;
    }

} // namespace

RawClient::RawClient(std::uint16_t port)
    : RawClient("127.0.0.1", port)
{
}

RawClient::RawClient(const std::string& loopback, std::uint16_t port)
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_port = htons(port);
    if (::inet_pton(AF_INET, loopback.c_str(), &address.sin_addr) != 1 || m_socket < 0 || ::connect(m_socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0) {
        close();
        throw std::runtime_error("cannot connect");
    }
}

RawClient RawClient::adopt(int socket)
{
    RawClient client;
    client.m_socket = socket;
    return client;
}

RawClient::RawClient(RawClient&& other) noexcept
    : m_socket(std::exchange(other.m_socket, -1))
    , m_buffer(std::move(other.m_buffer))
{
}

RawClient::~RawClient()
{
    close();
}

void RawClient::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_socket, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
}

std::string RawClient::readMessage() { return readMessage(kReadTimeoutMs); }

std::string RawClient::readMessage(int milliseconds)
{
    for (;;) {
        const std::size_t headerEnd = m_buffer.find("\r\n\r\n");
        const std::size_t total = headerEnd == std::string::npos ? std::string::npos : headerEnd + 4 + contentLength(m_buffer.substr(0, headerEnd));
        if (m_buffer.size() >= total) {
            std::string response = m_buffer.substr(0, total);
            m_buffer.erase(0, total);
            return response;
        }
        bool closed = false;
        if (!receive(m_socket, m_buffer, milliseconds, closed) || closed)
            return "";
    }
}

bool RawClient::isClosedWithin(int milliseconds)
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds { milliseconds };
    for (;;) {
        const std::chrono::milliseconds left = std::chrono::duration_cast<std::chrono::milliseconds>(deadline - std::chrono::steady_clock::now());
        bool closed = false;
        std::string discarded;
        if (left.count() <= 0 || !receive(m_socket, discarded, static_cast<int>(left.count()), closed))
            return false;
        if (closed)
            return true;
    }
}

void RawClient::close(bool reset)
{
    if (m_socket < 0)
        return;
    if (reset) {
        const linger option { 1, 0 };
        ::setsockopt(m_socket, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    }
    ::close(m_socket);
    m_socket = -1;
}

void RawClient::shutDown()
{
    ::shutdown(m_socket, SHUT_WR);
}

RawServer::RawServer()
    : m_socket(::socket(AF_INET, SOCK_STREAM, 0))
{
    sockaddr_in address {};
    address.sin_family = AF_INET;
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    socklen_t size = sizeof address;
    sockaddr* const raw = reinterpret_cast<sockaddr*>(&address);
    if (m_socket < 0 || ::bind(m_socket, raw, size) != 0 || ::listen(m_socket, 16) != 0 || ::getsockname(m_socket, raw, &size) != 0)
        throw std::runtime_error("cannot listen on loopback");
    m_port = ntohs(address.sin_port);
}

RawServer::~RawServer()
{
    close();
}

void RawServer::limitWindow()
{
    const int segmentBytes = 1'460;
    const int windowBytes = 16'384;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_MAXSEG, &segmentBytes, sizeof segmentBytes);
    ::setsockopt(m_socket, SOL_SOCKET, SO_RCVBUF, &windowBytes, sizeof windowBytes);
}

RawClient RawServer::accept()
{
    pollfd entry { m_socket, POLLIN, 0 };
    if (::poll(&entry, 1, kReadTimeoutMs) <= 0)
        throw std::runtime_error("no connection arrived before the timeout");
    return RawClient::adopt(::accept(m_socket, nullptr, nullptr));
}

void RawServer::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

std::string statusOf(const std::string& response)
{
    return response.size() < 12 ? "" : response.substr(9, 3);
}

std::string bodyOf(const std::string& response)
{
    const std::size_t end = response.find("\r\n\r\n");
    return end == std::string::npos ? "" : response.substr(end + 4);
}

std::string httpRequestText(const std::string& method, const std::string& path, const std::string& body, const std::string& fields)
{
    return method + " " + path + " HTTP/1.1\r\nHost: test\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

} // namespace curranttrail::stand_ins
