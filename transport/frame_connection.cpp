#include "transport/frame_connection.h"

#include "transport/frame_events.h"

#include <boost/asio/buffer.hpp>
#include <boost/asio/co_spawn.hpp>
#include <boost/asio/detached.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/redirect_error.hpp>
#include <boost/asio/use_awaitable.hpp>
#include <boost/asio/write.hpp>

namespace curranttrail::transport {

namespace asio = boost::asio;
using asio::use_awaitable;

FrameConnection::FrameConnection(asio::ip::tcp::socket socket, LinkSide side, std::shared_ptr<const LinkOptions> options, Handlers handlers)
    : m_socket(std::move(socket))
    , m_side(side)
    , m_options(std::move(options))
    , m_handlers(std::move(handlers))
    , m_readTimer(m_socket.get_executor())
    , m_writeTimer(m_socket.get_executor())
    , m_keepAliveTimer(m_socket.get_executor())
    , m_resumeTimer(m_socket.get_executor())
{
}

void FrameConnection::start()
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_lastReceived = m_lastSent = std::chrono::steady_clock::now();
    // The coroutine keeps the connection alive until it ends.
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); }, asio::detached);
}

asio::awaitable<void> FrameConnection::run()
{
    // The coroutines below throw on read errors. Every error ends the connection.
    std::string reason = "closed by the peer";
    try {
        startReadTimer(m_options->handshakeTimeout, "handshake timed out");
        const bool authenticated = co_await performHandshake();
        stopReadTimer();
        if (!authenticated) {
            close("peer did not prove knowledge of the cluster key");
            co_return;
        }
        // The connection may have been closed before this coroutine resumed after the last handshake step.
        if (m_closed)
            co_return;
        m_open = true;
        // The handshake may take longer than the receive timeout, so the timeout is measured from its end.
        m_lastReceived = std::chrono::steady_clock::now();
        m_handlers.opened(m_peer);
        checkKeepAlive();
        while (!m_closed) {
            const bool valid = co_await readFrame();
            if (!valid) {
                reason = "malformed, oversized or unauthenticated frame";
                break;
            }
        }
    } catch (const boost::system::system_error& e) {
        // what() would also include the location in the library that threw.
        reason = e.code().message();
    } catch (const std::exception& e) {
        reason = e.what();
    }
    close(reason);
}

asio::awaitable<bool> FrameConnection::performHandshake()
{
    Hello own;
    own.nonce = makeNonce();
    own.name = m_options->name.substr(0, kMaximumNameBytes);
    if (m_side == LinkSide::Client) {
        const bool proven = co_await proveAsClient(own);
        co_return proven;
    }
    const bool proven = co_await proveAsServer(own);
    co_return proven;
}

asio::awaitable<bool> FrameConnection::proveAsClient(Hello own)
{
    co_await writeBytes(encodeHello(own));
    const std::optional<Hello> server = co_await readHello();
    if (!server)
        co_return false;
    const LinkKeys keys = deriveKeys(m_options->clusterKey, own, *server);
    const std::string proof = co_await readBytes(kHmacBytes);
    if (!equalInConstantTime(proof, keys.serverProof))
        co_return false;
    co_await writeBytes(keys.clientProof);
    adoptKeys(keys, server->name);
    co_return true;
}

asio::awaitable<bool> FrameConnection::proveAsServer(Hello own)
{
    const std::optional<Hello> client = co_await readHello();
    if (!client)
        co_return false;
    const LinkKeys keys = deriveKeys(m_options->clusterKey, *client, own);
    co_await writeBytes(encodeHello(own) + keys.serverProof);
    const std::string proof = co_await readBytes(kHmacBytes);
    if (!equalInConstantTime(proof, keys.clientProof))
        co_return false;
    adoptKeys(keys, client->name);
    co_return true;
}

asio::awaitable<std::optional<Hello>> FrameConnection::readHello()
{
    const std::string start = co_await readBytes(kHelloFixedBytes);
    std::optional<Hello> hello = decodeHelloStart(start);
    if (!hello || hello->version != kFrameProtocolVersion)
        co_return std::nullopt;
    hello->name = co_await readBytes(helloNameLength(start));
    co_return hello;
}

asio::awaitable<std::string> FrameConnection::readBytes(std::size_t size)
{
    std::string bytes(size, '\0');
    co_await asio::async_read(m_socket, asio::buffer(bytes), use_awaitable);
    co_return bytes;
}

asio::awaitable<void> FrameConnection::writeBytes(std::string bytes)
{
    co_await asio::async_write(m_socket, asio::buffer(bytes), use_awaitable);
}

void FrameConnection::adoptKeys(const LinkKeys& keys, const InstanceName& peer)
{
    const bool client = m_side == LinkSide::Client;
    m_outboundAuthenticator.emplace(client ? keys.clientToServer : keys.serverToClient);
    m_inboundAuthenticator.emplace(client ? keys.serverToClient : keys.clientToServer);
    m_peer = peer;
}

asio::awaitable<bool> FrameConnection::readFrame()
{
    co_await waitWhileReadPaused();
    std::string start(kHeaderBytes, '\0');
    // The frame timeout starts at the first byte: until then the connection may be idle up to the receive timeout.
    co_await asio::async_read(m_socket, asio::buffer(start.data(), 1), use_awaitable);
    m_frameIncomplete = true;
    startReadTimer(m_options->frameTimeout, "timed out reading a frame");
    co_await asio::async_read(m_socket, asio::buffer(start.data() + 1, start.size() - 1), use_awaitable);
    const std::optional<FrameHeader> header = decodeHeader(start);
    if (!header || header->bodyLength > m_options->maximumBodyBytes)
        co_return false;
    std::string body = co_await readBytes(header->bodyLength);
    const std::string tag = co_await readBytes(kHmacBytes);
    stopReadTimer();
    m_frameIncomplete = false;
    if (!equalInConstantTime(tag, m_inboundAuthenticator->nextTag(start, body)))
        co_return false;
    m_lastReceived = std::chrono::steady_clock::now();
    dispatch(*header, std::move(body));
    co_return true;
}

asio::awaitable<void> FrameConnection::waitWhileReadPaused()
{
    while (m_readPaused && !m_closed) {
        m_resumeTimer.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code ec;
        co_await m_resumeTimer.async_wait(asio::redirect_error(use_awaitable, ec));
        // Nothing was read while paused, which must not count towards the receive timeout.
        m_lastReceived = std::chrono::steady_clock::now();
    }
}

void FrameConnection::setReadPaused(bool paused)
{
    if (m_readPaused == paused)
        return;
    m_readPaused = paused;
    if (!paused)
        m_resumeTimer.cancel();
}

void FrameConnection::dispatch(const FrameHeader& header, std::string body)
{
    if (m_closed)
        return;
    if (m_options->observe && header.stamp != 0)
        m_options->observe(header.stamp);
    if (header.kind == FrameKind::Ping) {
        send(FrameKind::Pong, 0, 0, {});
        return;
    }
    if (header.kind != FrameKind::Pong)
        m_handlers.received(header, std::move(body));
}

void FrameConnection::send(FrameKind kind, std::uint16_t type, std::uint64_t correlation, std::string body, std::function<void()> sent)
{
    if (m_closed || body.size() > m_options->maximumBodyBytes)
        return;
    // Bounds the queue for a slow receiver. Dropping one-way messages is safe because their senders send them again.
    if (kind == FrameKind::OneWay && m_queuedBytes + body.size() > 2 * m_options->maximumBodyBytes)
        return;
    m_queuedBytes += body.size();
    m_outgoing.push_back({ kind, type, correlation, std::move(body), std::move(sent) });
    writeNext();
}

void FrameConnection::writeNext()
{
    if (m_writeInProgress || m_outgoing.empty() || m_closed || !m_open)
        return;
    OutgoingFrame frame = std::move(m_outgoing.front());
    m_outgoing.pop_front();
    m_queuedBytes -= frame.body.size();
    FrameHeader header { static_cast<std::uint32_t>(frame.body.size()), frame.kind, frame.type, frame.correlation, 0 };
    if (m_options->stamp)
        header.stamp = m_options->stamp();
    const std::string start = encodeHeader(header);
    m_writeBuffer = start + frame.body + m_outboundAuthenticator->nextTag(start, frame.body);
    if (frame.sent)
        frame.sent();
    m_writeInProgress = true;
    m_writeTimer.expires_after(m_options->frameTimeout);
    m_writeTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->close("timed out writing a frame");
    });
    asio::async_write(m_socket, asio::buffer(m_writeBuffer), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->m_writeInProgress = false;
        self->m_writeTimer.cancel();
        if (ec) {
            self->close(ec.message());
            return;
        }
        self->m_lastSent = std::chrono::steady_clock::now();
        self->writeNext();
    });
}

void FrameConnection::checkKeepAlive()
{
    if (m_closed)
        return;
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (!m_readPaused && !m_frameIncomplete && now - m_lastReceived >= m_options->receiveTimeout) {
        close("no frame received within the receive timeout");
        return;
    }
    // One-way messages produce no reply, so a connection that sends only these needs pings as well.
    if (m_side == LinkSide::Client && (now - m_lastSent >= m_options->keepAliveInterval || now - m_lastReceived >= m_options->keepAliveInterval))
        send(FrameKind::Ping, 0, 0, {});
    m_keepAliveTimer.expires_after(std::min(m_options->keepAliveInterval, m_options->receiveTimeout) / 2);
    m_keepAliveTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->checkKeepAlive();
    });
}

void FrameConnection::startReadTimer(std::chrono::milliseconds timeout, std::string_view reason)
{
    m_readTimer.expires_after(timeout);
    m_readTimer.async_wait([self = shared_from_this(), reason](boost::system::error_code ec) {
        if (!ec)
            self->close(reason);
    });
}

void FrameConnection::stopReadTimer()
{
    m_readTimer.cancel();
}

void FrameConnection::close(std::string_view reason)
{
    if (m_closed)
        return;
    m_closed = true;
    m_open = false;
    boost::system::error_code ec;
    m_socket.close(ec);
    m_readTimer.cancel();
    m_writeTimer.cancel();
    m_keepAliveTimer.cancel();
    m_resumeTimer.cancel();
    m_outgoing.clear();
    m_handlers.closed(reason);
}

} // namespace curranttrail::transport
