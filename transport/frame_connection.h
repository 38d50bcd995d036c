#pragma once

#include "transport/frame_format.h"
#include "transport/frame_link.h"

#include <boost/asio/awaitable.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/steady_timer.hpp>

#include <deque>
#include <functional>
#include <memory>
#include <optional>
#include <string>

namespace curranttrail::transport {

enum class LinkSide {
    Client,
    Server,
};

// One authenticated connection, on the client or the server side. All functions run on the loop's thread.
class FrameConnection : public std::enable_shared_from_this<FrameConnection> {
public:
    struct Handlers {
        // Called when the handshake is complete and frames may be sent.
        std::function<void(const InstanceName& peer)> opened;
        // Called for each received frame except pings and pongs, which are handled internally.
        std::function<void(const FrameHeader& header, std::string body)> received;
        // Called exactly once when the connection ends, including after a failed handshake.
        std::function<void(std::string_view reason)> closed;
    };

    FrameConnection(boost::asio::ip::tcp::socket socket, LinkSide side, std::shared_ptr<const LinkOptions> options, Handlers handlers);

    // Performs the handshake, then reads frames until the connection ends.
    void start();
    // Queues a frame. The `sent` callback, if any, is called immediately before the frame's first byte is written.
    void send(FrameKind kind, std::uint16_t type, std::uint64_t correlation, std::string body, std::function<void()> sent = {});
    void close(std::string_view reason);
    bool open() const { return m_open; }
    // Pauses or resumes reading, for backpressure.
    void setReadPaused(bool paused);

private:
    struct OutgoingFrame {
        FrameKind kind = FrameKind::Ping;
        std::uint16_t type = 0;
        std::uint64_t correlation = 0;
        std::string body;
        std::function<void()> sent;
    };

    boost::asio::awaitable<void> run();
    boost::asio::awaitable<bool> performHandshake();
    boost::asio::awaitable<bool> proveAsClient(Hello own);
    boost::asio::awaitable<bool> proveAsServer(Hello own);
    boost::asio::awaitable<std::optional<Hello>> readHello();
    boost::asio::awaitable<std::string> readBytes(std::size_t size);
    boost::asio::awaitable<void> writeBytes(std::string bytes);
    boost::asio::awaitable<bool> readFrame();
    boost::asio::awaitable<void> waitWhileReadPaused();
    void adoptKeys(const LinkKeys& keys, const InstanceName& peer);
    void dispatch(const FrameHeader& header, std::string body);
    void writeNext();
    void checkKeepAlive();
    void startReadTimer(std::chrono::milliseconds timeout, std::string_view reason);
    void stopReadTimer();

    boost::asio::ip::tcp::socket m_socket;
    LinkSide m_side;
    std::shared_ptr<const LinkOptions> m_options;
    Handlers m_handlers;
    // Closes the connection when the handshake or reading a frame times out.
    boost::asio::steady_timer m_readTimer;
    boost::asio::steady_timer m_writeTimer;
    // Schedules pings and the check of the receive timeout.
    boost::asio::steady_timer m_keepAliveTimer;
    boost::asio::steady_timer m_resumeTimer;
    std::chrono::steady_clock::time_point m_lastReceived;
    std::chrono::steady_clock::time_point m_lastSent;
    std::optional<FrameAuthenticator> m_outboundAuthenticator;
    std::optional<FrameAuthenticator> m_inboundAuthenticator;
    InstanceName m_peer;
    std::deque<OutgoingFrame> m_outgoing;
    std::size_t m_queuedBytes = 0;
    std::string m_writeBuffer;
    bool m_writeInProgress = false;
    bool m_open = false;
    bool m_closed = false;
    bool m_readPaused = false;
    // True if a frame is partially received. The frame timeout applies then instead of the receive timeout.
    bool m_frameIncomplete = false;
};

} // namespace curranttrail::transport
