#pragma once

#include <cstdint>
#include <string>
#include <string_view>

namespace curranttrail::stand_ins {

// A blocking TCP client that sends exactly the given bytes, for tests of malformed input.
class RawClient {
public:
    // Connects to 127.0.0.1. Throws std::runtime_error if that fails.
    explicit RawClient(std::uint16_t port);
    // Connects to a numeric loopback address.
    RawClient(const std::string& address, std::uint16_t port);
    // Takes ownership of a connected socket, such as one accepted by RawServer.
    static RawClient adopt(int socket);
    RawClient(RawClient&& other) noexcept;
    ~RawClient();
    RawClient(const RawClient&) = delete;
    RawClient& operator=(const RawClient&) = delete;

    // Sends the bytes. Errors are ignored, since the server may already have closed the connection.
    void send(std::string_view bytes);
    // Reads one HTTP message with a Content-Length. Returns an empty string on a timeout or if the connection is closed first.
    std::string readMessage();
    // Reads one HTTP message with the given timeout for each receive call.
    std::string readMessage(int milliseconds);
    // Returns true if the server closes the connection within the time. Received bytes are discarded.
    bool isClosedWithin(int milliseconds);
    // Closes the connection with FIN, or with RST if `reset` is set. Unread bytes reset it in any case.
    void close(bool reset = false);
    // Sends FIN. The connection still receives.
    void shutDown();

private:
    RawClient() = default;

    int m_socket = -1;
    std::string m_buffer;
};

// A listening socket. The test serves the accepted connections itself.
class RawServer {
public:
    RawServer();
    ~RawServer();
    RawServer(const RawServer&) = delete;
    RawServer& operator=(const RawServer&) = delete;

    // Gives later connections the segments and the window of a network link, so that a long request does not fit into the buffers of a
    // server that does not read.
    void limitWindow();
    std::uint16_t port() const { return m_port; }
    RawClient accept();
    // Stops listening, so that further connections are refused.
    void close();

private:
    int m_socket = -1;
    std::uint16_t m_port = 0;
};

// Returns the status code of a response as text, such as "200".
std::string statusOf(const std::string& response);

// Returns the body of a response.
std::string bodyOf(const std::string& response);

// Formats an HTTP request. `fields` holds additional header lines.
std::string httpRequestText(const std::string& method, const std::string& path, const std::string& body = "", const std::string& fields = "");

} // namespace curranttrail::stand_ins
