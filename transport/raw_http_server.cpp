#include "transport/raw_http_server.h"

#include "transport/raw_http_parser.h"
#include "transport/socket_options.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

#include <map>
#include <optional>
#include <stdexcept>
#include <unordered_map>
#include <utility>
#include <vector>

namespace curranttrail::transport {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;
using Clock = std::chrono::steady_clock;

namespace {
    // Larger requests take several reads.
    constexpr std::size_t kReadBufferBytes = 16'384;
    // Interval at which connections are checked for expired timeouts.
    constexpr std::chrono::milliseconds kTimeoutCheckInterval { 500 };
    // Reading pauses while more than this many unparsed bytes are buffered.
    constexpr std::size_t kMaximumPipelinedBytes = 65'536;
    constexpr int kBacklog = 512;
    // Time for which the rest of a request is read and dropped after an early reply. Closing the connection with unread bytes would reset
    // it, and the client could lose the reply.
    constexpr std::chrono::milliseconds kDiscardTimeout { 1'000 };
}

class RawHttpServer::Impl : public std::enable_shared_from_this<Impl> {
public:
    Impl(asio::io_context& context, const Endpoint& bind, Handlers handlers)
        : m_context(context)
        , m_acceptor(context)
        , m_timeoutTimer(context)
        , m_handlers(std::move(handlers))
        , m_readBuffer(kReadBufferBytes)
    {
        error_code ec;
        const Tcp::endpoint endpoint(asio::ip::make_address(bind.address, ec), bind.port);
        if (!ec)
            m_acceptor.open(endpoint.protocol(), ec);
        if (!ec)
            m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        if (!ec)
            m_acceptor.bind(endpoint, ec);
        if (!ec)
            m_acceptor.listen(kBacklog, ec);
        if (ec)
            throw std::runtime_error(fmt::format("cannot listen on {}: {}", bind.text(), ec.message()));
    }

    void start()
    {
        accept();
        scheduleTimeoutCheck();
    }

    void stop()
    {
        error_code ec;
        m_acceptor.close(ec);
        m_timeoutTimer.cancel();
        m_handlers = {};
        for (const auto& [id, session] : std::exchange(m_sessions, {}))
            session->socket.close(ec);
        m_exchanges.clear();
    }

    std::uint16_t port() const
    {
        error_code ec;
        return m_acceptor.local_endpoint(ec).port();
    }

    void setLimits(const RawServerLimits& limits) { m_limits = limits; }

    void respond(ExchangeId exchange, const RawReply& reply)
    {
        const auto it = m_exchanges.find(exchange);
        if (it == m_exchanges.end())
            return;
        const std::shared_ptr<Session> session = it->second;
        m_exchanges.erase(it);
        const bool head = session->method == "HEAD";
        // A pipelined request that has arrived is answered before the connection closes.
        session->closeAfterReply = session->closeAfterReply || (m_retiring && session->unparsedBytes.empty());
        write(session, serializeReply(reply, !head, session->closeAfterReply));
    }

    void retire(bool retiring) { m_retiring = retiring; }

    void stopAccepting()
    {
        error_code ec;
        m_acceptor.close(ec);
    }

    void closeIdle(Micros minimumIdleTime)
    {
        const Clock::time_point now = Clock::now();
        std::vector<std::shared_ptr<Session>> idle;
        for (const auto& [id, session] : m_sessions) {
            if (session->state == State::Reading && !session->requestStarted && now - session->waitingSince >= minimumIdleTime && !hasUnreadBytes(*session))
                idle.push_back(session);
        }
        for (const std::shared_ptr<Session>& session : idle)
            close(session);
    }

    void rejectIncomplete(const RawReply& reply)
    {
        std::vector<std::shared_ptr<Session>> incomplete;
        for (const auto& [id, session] : m_sessions) {
            if (session->state == State::Reading && session->requestStarted)
                incomplete.push_back(session);
        }
        for (const std::shared_ptr<Session>& session : incomplete) {
            session->closeAfterReply = true;
            write(session, serializeReply(reply, true, true));
        }
    }

    std::size_t exchanges() const { return m_exchanges.size(); }
    std::size_t connections() const { return m_sessions.size(); }

private:
    enum class State {
        Reading,
        Handling,
        Writing,
        // The last reply was sent; what the client still sends is read and dropped.
        Discarding,
        Closed,
    };

    struct Session {
        explicit Session(Tcp::socket accepted)
            : socket(std::move(accepted))
        {
        }

        Tcp::socket socket;
        std::uint64_t id = 0;
        State state = State::Reading;
        std::optional<http::request_parser<http::string_body>> parser;
        // Bytes that have been read but not parsed.
        std::string unparsedBytes;
        std::string output;
        std::string method;
        // Time of the first byte of the current request, or of the last reply.
        Clock::time_point waitingSince = Clock::now();
        ExchangeId exchange;
        // True if a request is partially received.
        bool requestStarted = false;
        // True if the connection has handled a request.
        bool hasServedRequest = false;
        bool closeAfterReply = false;
        bool waitingForBytes = false;
    };

    void accept()
    {
        m_acceptor.async_accept([self = shared_from_this()](const error_code& ec, Tcp::socket socket) {
            if (ec == asio::error::operation_aborted || !self->m_acceptor.is_open())
                return;
            if (!ec)
                self->begin(std::move(socket));
            self->accept();
        });
    }

    void begin(Tcp::socket socket)
    {
        error_code ec;
        socket.set_option(Tcp::no_delay(true), ec);
        socket.non_blocking(true, ec);
        const std::shared_ptr<Session> session = std::make_shared<Session>(std::move(socket));
        session->id = ++m_lastSessionId;
        m_sessions[session->id] = session;
        waitForBytes(session);
    }

    void waitForBytes(const std::shared_ptr<Session>& session)
    {
        if (session->waitingForBytes || session->state == State::Closed || session->unparsedBytes.size() > kMaximumPipelinedBytes)
            return;
        session->waitingForBytes = true;
        session->socket.async_wait(Tcp::socket::wait_read, [self = shared_from_this(), session](const error_code& ec) {
            session->waitingForBytes = false;
            if (ec || session->state == State::Closed)
                return;
            self->read(session);
        });
    }

    void read(const std::shared_ptr<Session>& session)
    {
        error_code ec;
        const std::size_t size = session->socket.read_some(asio::buffer(m_readBuffer), ec);
        if (ec == asio::error::would_block || ec == asio::error::try_again) {
            waitForBytes(session);
            return;
        }
        if (ec) {
            // A client that disconnects while its reply is being written needs no further handling.
            close(session);
            return;
        }
        if (session->state == State::Discarding) {
            waitForBytes(session);
            return;
        }
        session->unparsedBytes.append(m_readBuffer.data(), size);
        if (session->state == State::Reading)
            parse(session);
        waitForBytes(session);
    }

    void parse(const std::shared_ptr<Session>& session)
    {
        if (!session->parser) {
            session->parser.emplace();
            session->parser->eager(true);
            session->parser->header_limit(static_cast<std::uint32_t>(m_limits.maximumHeaderBytes));
            session->parser->body_limit(m_limits.maximumBodyBytes);
        }
        if (!session->requestStarted && !session->unparsedBytes.empty()) {
            session->requestStarted = true;
            session->waitingSince = Clock::now();
        }
        if (const error_code ec = detail::parsePending(*session->parser, session->unparsedBytes)) {
            rejectInput(session, ec);
            return;
        }
        // The header cannot be completed within its size limit.
        if (!session->parser->is_header_done() && session->unparsedBytes.size() > m_limits.maximumHeaderBytes) {
            rejectInput(session, http::error::header_limit);
            return;
        }
        if (session->parser->is_header_done()) {
            if (const error_code ec = detail::framingError(session->parser->get())) {
                rejectInput(session, ec);
                return;
            }
        }
        if (session->parser->is_done())
            handle(session);
    }

    void handle(const std::shared_ptr<Session>& session)
    {
        http::request<http::string_body> message = session->parser->release();
        session->parser.reset();
        session->requestStarted = false;
        session->state = State::Handling;
        session->closeAfterReply = !message.keep_alive();
        RawRequest request;
        request.method = std::string { message.method_string() };
        request.target = std::string { message.target() };
        request.body = std::move(message.body());
        request.fields = detail::fieldsOf(message);
        session->method = request.method;
        session->exchange = ExchangeId { ++m_lastExchangeId };
        m_exchanges[session->exchange] = session;
        const RawRequestInfo info { smoothedRoundTrip(session->socket.native_handle()), !std::exchange(session->hasServedRequest, true) };
        m_handlers.request(session->exchange, std::move(request), info);
    }

    void rejectInput(const std::shared_ptr<Session>& session, const error_code& ec)
    {
        RawReply reply;
        reply.status = 400;
        if (ec == http::error::body_limit)
            reply.status = 413;
        else if (ec == http::error::header_limit)
            reply.status = 431;
        reply.body = refusalBody("malformed", "not_run", "not a valid HTTP/1.1 request: " + ec.message());
        session->closeAfterReply = true;
        write(session, serializeReply(reply, true, true));
    }

    void write(const std::shared_ptr<Session>& session, std::string text)
    {
        session->state = State::Writing;
        session->output = std::move(text);
        // A reply usually fits into the socket's send buffer. Writing it synchronously saves an iteration of the event loop.
        error_code ec;
        const std::size_t size = session->socket.write_some(asio::buffer(session->output), ec);
        if (!ec && size == session->output.size() && session->unparsedBytes.empty()) {
            written(session, {});
            return;
        }
        session->output.erase(0, ec ? 0 : size);
        asio::async_write(session->socket, asio::buffer(session->output), [self = shared_from_this(), session](const error_code& ec, std::size_t) { self->written(session, ec); });
    }

    void written(const std::shared_ptr<Session>& session, const error_code& ec)
    {
        if (session->state == State::Closed)
            return;
        if (ec) {
            close(session);
            return;
        }
        if (session->closeAfterReply) {
            endAfterReply(session);
            return;
        }
        session->state = State::Reading;
        session->waitingSince = Clock::now();
        session->output.clear();
        if (!session->unparsedBytes.empty())
            parse(session);
        waitForBytes(session);
    }

    static bool hasUnreadBytes(const Session& session)
    {
        error_code ec;
        return !session.unparsedBytes.empty() || session.socket.available(ec) > 0;
    }

    void endAfterReply(const std::shared_ptr<Session>& session)
    {
        error_code ignored;
        session->socket.shutdown(Tcp::socket::shutdown_send, ignored);
        if (!session->requestStarted && !hasUnreadBytes(*session)) {
            close(session);
            return;
        }
        session->state = State::Discarding;
        session->waitingSince = Clock::now();
        session->unparsedBytes.clear();
        waitForBytes(session);
    }

    void close(const std::shared_ptr<Session>& session)
    {
        if (session->state == State::Closed)
            return;
        const bool handling = session->state == State::Handling;
        session->state = State::Closed;
        error_code ec;
        session->socket.close(ec);
        m_sessions.erase(session->id);
        if (!handling)
            return;
        m_exchanges.erase(session->exchange);
        m_handlers.disconnected(session->exchange);
    }

    void scheduleTimeoutCheck()
    {
        m_timeoutTimer.expires_after(kTimeoutCheckInterval);
        m_timeoutTimer.async_wait([weak = weak_from_this()](const error_code& ec) {
            const std::shared_ptr<Impl> self = weak.lock();
            if (ec || !self)
                return;
            self->closeTimedOut();
            self->scheduleTimeoutCheck();
        });
    }

    void closeTimedOut()
    {
        const Clock::time_point now = Clock::now();
        std::vector<std::shared_ptr<Session>> idle;
        std::vector<std::shared_ptr<Session>> slow;
        for (const auto& [id, session] : m_sessions) {
            if (session->state == State::Discarding && now - session->waitingSince > kDiscardTimeout)
                idle.push_back(session);
            if (session->state != State::Reading)
                continue;
            if (session->requestStarted && now - session->waitingSince > m_limits.requestTimeout)
                slow.push_back(session);
            else if (!session->requestStarted && now - session->waitingSince > m_limits.idleTimeout)
                idle.push_back(session);
        }
        for (const std::shared_ptr<Session>& session : idle)
            close(session);
        for (const std::shared_ptr<Session>& session : slow) {
            RawReply reply;
            reply.status = 408;
            reply.body = refusalBody("timeout", "not_run", "the request was not received completely before the timeout");
            session->closeAfterReply = true;
            write(session, serializeReply(reply, true, true));
        }
    }

    asio::io_context& m_context;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_timeoutTimer;
    Handlers m_handlers;
    RawServerLimits m_limits;
    std::vector<char> m_readBuffer;
    std::map<std::uint64_t, std::shared_ptr<Session>> m_sessions;
    std::unordered_map<ExchangeId, std::shared_ptr<Session>> m_exchanges;
    std::uint64_t m_lastSessionId = 0;
    std::uint64_t m_lastExchangeId = 0;
    bool m_retiring = false;
};

RawHttpServer::RawHttpServer(asio::io_context& context, const Endpoint& bind, Handlers handlers)
    : m_impl(std::make_shared<Impl>(context, bind, std::move(handlers)))
{
    m_impl->start();
}

RawHttpServer::~RawHttpServer() { m_impl->stop(); }
std::uint16_t RawHttpServer::port() const { return m_impl->port(); }
void RawHttpServer::setLimits(const RawServerLimits& limits) { m_impl->setLimits(limits); }
void RawHttpServer::respond(ExchangeId exchange, const RawReply& reply) { m_impl->respond(exchange, reply); }
void RawHttpServer::retireConnections(bool retire) { m_impl->retire(retire); }
void RawHttpServer::stopAccepting() { m_impl->stopAccepting(); }
void RawHttpServer::closeIdle(Micros minimumIdleTime) { m_impl->closeIdle(minimumIdleTime); }
void RawHttpServer::rejectIncomplete(const RawReply& reply) { m_impl->rejectIncomplete(reply); }
std::size_t RawHttpServer::exchanges() const { return m_impl->exchanges(); }
std::size_t RawHttpServer::connections() const { return m_impl->connections(); }

} // namespace curranttrail::transport
