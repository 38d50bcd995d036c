#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace curranttrail::stand_ins {

// A blocking TCP client that sends exactly the bytes it is given, for tests of broken input.
class RawClient {
public:
    // Connects to 127.0.0.1. Throws std::runtime_error if that fails.
    explicit RawClient(std::uint16_t port);
    // Connects to a numeric loopback address.
    RawClient(const std::string& address, std::uint16_t port);
    // Takes over an open socket, such as one that RawServer accepted.
    static RawClient adopt(int socket);
    RawClient(RawClient&& other) noexcept;
    ~RawClient();
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // Errors are ignored: the server may have closed already.
    void send(std::string_view bytes);
    // Reads one HTTP message with a Content-Length; empty if the connection ends first.
    std::string readMessage();
    // The same, with a limit of time for each step.
    std::string readMessage(int milliseconds);
    // Returns true if the server closes the connection within the time, reading and dropping what comes before.
    bool isClosedWithin(int milliseconds);
    // Closes the connection; with reset, sends RST instead of FIN.
    void close(bool reset = false);

private:
    RawClient() = default;

    int m_socket = -1;
    std::string m_buffer;
};

// A listening socket whose connections the test serves itself, byte by byte.
class RawServer {
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    std::uint16_t port() const { return m_port; }
    RawClient accept();
    // Stops listening, so that connecting is refused.
    void close();

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

// The status code of a response as text, such as "200".
std::string statusOf(const std::string& response);

// The part of a response after the header.
std::string bodyOf(const std::string& response);

// A GET or POST request as text.
std::string httpRequestText(const std::string& method, const std::string& path, const std::string& body = "", const std::string& fields = "");

} // namespace curranttrail::stand_ins
