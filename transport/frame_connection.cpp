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
    , m_readLimit(m_socket.get_executor())
    , m_writeLimit(m_socket.get_executor())
    , m_watch(m_socket.get_executor())
    , m_resume(m_socket.get_executor())
{
}

void FrameConnection::start()
{
    boost::system::error_code ec;
    m_socket.set_option(asio::ip::tcp::no_delay(true), ec);
    m_lastReceived = m_lastSent = std::chrono::steady_clock::now();
    // The coroutine holds a reference until it ends.
    asio::co_spawn(
        m_socket.get_executor(), [self = shared_from_this()]() -> asio::awaitable<void> { co_await self->run(); }, asio::detached);
}

asio::awaitable<void> FrameConnection::run()
{
    // Read errors arrive as exceptions from the coroutines below and all end the connection.
    std::string reason = "closed by the other side";
    try {
        arm(m_options->handshakeLimit, "the handshake took too long");
        const bool trusted = co_await shakeHands();
        disarm();
        if (!trusted) {
            close("the other side did not prove the cluster key");
            co_return;
        }
        // The link may have been closed while the last step of the handshake was on its way to this coroutine.
        if (m_closed)
            co_return;
        m_open = true;
        // A handshake may take longer than the limit of silence, which counts from its end.
        m_lastReceived = std::chrono::steady_clock::now();
        m_handlers.opened(m_peer);
        watch();
        while (!m_closed) {
            const bool valid = co_await readFrame();
            if (!valid) {
                reason = "malformed, oversized or unauthentic frame";
                break;
            }
        }
    } catch (const boost::system::system_error& e) {
        // Its what() also names the place in the library that threw.
        reason = e.code().message();
    } catch (const std::exception& e) {
        reason = e.what();
    }
    close(reason);
}

asio::awaitable<bool> FrameConnection::shakeHands()
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
    const std::string proof = co_await readBytes(kProofBytes);
    if (!sameProof(proof, keys.serverProof))
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
    const std::string proof = co_await readBytes(kProofBytes);
    if (!sameProof(proof, keys.clientProof))
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
    m_sealOut.emplace(client ? keys.clientToServer : keys.serverToClient);
    m_sealIn.emplace(client ? keys.serverToClient : keys.clientToServer);
    m_peer = peer;
}

asio::awaitable<bool> FrameConnection::readFrame()
{
    co_await waitWhilePaused();
    std::string start(kHeaderBytes, '\0');
    // No limit for the first byte: a connection may be idle up to the limit of silence.
    co_await asio::async_read(m_socket, asio::buffer(start.data(), 1), use_awaitable);
    m_inFrame = true;
    arm(m_options->frameLimit, "a frame took too long");
    co_await asio::async_read(m_socket, asio::buffer(start.data() + 1, start.size() - 1), use_awaitable);
    const std::optional<FrameHeader> header = decodeHeader(start);
    if (!header || header->bodyLength > m_options->maximumBody)
        co_return false;
    std::string body = co_await readBytes(header->bodyLength);
    const std::string seal = co_await readBytes(kProofBytes);
    disarm();
    m_inFrame = false;
    if (!sameProof(seal, m_sealIn->next(start, body)))
        co_return false;
    m_lastReceived = std::chrono::steady_clock::now();
    dispatch(*header, std::move(body));
    co_return true;
}

asio::awaitable<void> FrameConnection::waitWhilePaused()
{
    while (m_paused && !m_closed) {
        m_resume.expires_at(std::chrono::steady_clock::time_point::max());
        boost::system::error_code ec;
        co_await m_resume.async_wait(asio::redirect_error(use_awaitable, ec));
        // Nothing was read meanwhile, which must not count as silence of the other side.
        m_lastReceived = std::chrono::steady_clock::now();
    }
}

void FrameConnection::setPaused(bool paused)
{
    if (m_paused == paused)
        return;
    m_paused = paused;
    if (!paused)
        m_resume.cancel();
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
    if (m_closed || body.size() > m_options->maximumBody)
        return;
    // A slow receiver must not make the queue grow without limit; whoever sends one-way messages repeats them anyway.
    if (kind == FrameKind::OneWay && m_queuedBytes + body.size() > 2 * m_options->maximumBody)
        return;
    m_queuedBytes += body.size();
    m_outgoing.push_back({ kind, type, correlation, std::move(body), std::move(sent) });
    writeNext();
}

void FrameConnection::writeNext()
{
    if (m_writeRunning || m_outgoing.empty() || m_closed || !m_open)
        return;
    Outgoing frame = std::move(m_outgoing.front());
    m_outgoing.pop_front();
    m_queuedBytes -= frame.body.size();
    FrameHeader header { static_cast<std::uint32_t>(frame.body.size()), frame.kind, frame.type, frame.correlation, 0 };
    if (m_options->stamp)
        header.stamp = m_options->stamp();
    const std::string start = encodeHeader(header);
    m_writing = start + frame.body + m_sealOut->next(start, frame.body);
    if (frame.sent)
        frame.sent();
    m_writeRunning = true;
    m_writeLimit.expires_after(m_options->frameLimit);
    m_writeLimit.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->close("a write took too long");
    });
    asio::async_write(m_socket, asio::buffer(m_writing), [self = shared_from_this()](boost::system::error_code ec, std::size_t) {
        self->m_writeRunning = false;
        self->m_writeLimit.cancel();
        if (ec) {
            self->close(ec.message());
            return;
        }
        self->m_lastSent = std::chrono::steady_clock::now();
        self->writeNext();
    });
}

void FrameConnection::watch()
{
    if (m_closed)
        return;
    const std::chrono::steady_clock::time_point now = std::chrono::steady_clock::now();
    if (!m_paused && !m_inFrame && now - m_lastReceived >= m_options->silenceLimit) {
        close("nothing came within the limit of silence");
        return;
    }
    // One-way messages bring nothing back, so a link that is busy with them needs pings too.
    if (m_side == LinkSide::Client && (now - m_lastSent >= m_options->keepAlive || now - m_lastReceived >= m_options->keepAlive))
        send(FrameKind::Ping, 0, 0, {});
    m_watch.expires_after(std::min(m_options->keepAlive, m_options->silenceLimit) / 2);
    m_watch.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->watch();
    });
}

void FrameConnection::arm(std::chrono::milliseconds limit, std::string_view reason)
{
    m_readLimit.expires_after(limit);
    m_readLimit.async_wait([self = shared_from_this(), reason](boost::system::error_code ec) {
        if (!ec)
            self->close(reason);
    });
}

void FrameConnection::disarm()
{
    m_readLimit.cancel();
}

void FrameConnection::close(std::string_view reason)
{
    if (m_closed)
        return;
    m_closed = true;
    m_open = false;
    boost::system::error_code ec;
    m_socket.close(ec);
    m_readLimit.cancel();
    m_writeLimit.cancel();
    m_watch.cancel();
    m_resume.cancel();
    m_outgoing.clear();
    m_handlers.closed(reason);
}

} // namespace curranttrail::transport
