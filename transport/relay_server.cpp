#include "transport/relay_server.h"

#include "transport/relay_protocol.h"
#include "transport/relay_records.h"
#include "transport/socket_options.h"
#include "transport/stream_end.h"

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <set>
#include <stdexcept>
#include <utility>

namespace curranttrail::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {
    constexpr std::size_t kBufferBytes = 8'192;
    // Bounds the memory, descriptors and processor time that others take from this instance's own callers.
    constexpr std::size_t kMaximumConnections = 800;
    constexpr int kBacklog = 512;
    // Time to receive the request and to connect to the server.
    constexpr std::chrono::milliseconds kOpenTimeout { 900 };
    // Time for which the rest of a request is read and dropped after the server has closed. Closing the connection with unread bytes would
    // reset it, and the instance could lose the answer.
    constexpr std::chrono::milliseconds kDiscardTimeout { 1'000 };
    constexpr unsigned kForbidden = 403;
    constexpr unsigned kUnavailable = 503;
} // namespace

class RelayServer::Impl : public std::enable_shared_from_this<Impl> {
    struct Session;
    using SessionPointer = std::shared_ptr<Session>;

public:
    Impl(asio::io_context& context, const Endpoint& bind, std::string key, Permission permission)
        : m_context(context)
        , m_acceptor(context)
        , m_key(std::move(key))
        , m_permission(std::move(permission))
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

    void stopAccepting()
    {
        error_code ec;
        m_acceptor.close(ec);
    }

    void setRequestPermission(Permission permission) { m_requestPermission = std::move(permission); }

    void closeForbidden()
    {
        const std::set<SessionPointer> sessions = m_sessions;
        for (const SessionPointer& session : sessions) {
            if (mayRequest(*session))
                continue;
            // Only the instance knows whether an answer is complete, so a connection that has been used is left to it.
            if (!session->wasUsed)
                end(session, false);
            else if (session->sendsRecords && !session->hasServerClosed && !std::exchange(session->saysNoMoreRequests, true))
                sendToInstance(session, relayRecord(RelayRecordKind::NoMoreRequests));
        }
    }

    void stop()
    {
        stopAccepting();
        m_permission = {};
        m_requestPermission = {};
        for (const std::shared_ptr<Session>& session : std::exchange(m_sessions, {}))
            session->close(true);
    }

    std::uint16_t port() const { return m_acceptor.local_endpoint().port(); }
    std::size_t connections() const { return m_sessions.size(); }

private:
    struct Session {
        Session(asio::io_context& context, Tcp::socket caller)
            : instance(std::move(caller))
            , server(context)
            , timer(context)
        {
        }

        // A reset is passed on as a reset, so that an answer that breaks off does not look complete.
        void close(bool isReset)
        {
            if (std::exchange(isClosed, true))
                return;
            error_code ec;
            timer.cancel();
            for (Tcp::socket* socket : { &instance, &server }) {
                if (isReset && socket->is_open())
                    socket->set_option(asio::socket_base::linger(true, 0), ec);
                socket->close(ec);
            }
        }

        Tcp::socket instance;
        Tcp::socket server;
        asio::steady_timer timer;
        std::string head;
        std::array<char, kBufferBytes> toServer {};
        std::array<char, kBufferBytes> fromServer {};
        // Bytes for the instance that are being written, and those that follow.
        std::string writing;
        std::string output;
        bool isReadingFromInstance = false;
        // Bytes of the instance that are still to be written to the server.
        std::string_view request;
        // Bytes of the request that have arrived.
        std::size_t requestBytes = 0;
        UnacknowledgedLimit instanceLimit;
        UnacknowledgedLimit serverLimit;
        bool isWaitingForRoom = false;
        bool isReadingFromServer = false;
        StreamEnd serverEnd;
        bool hasServerClosed = false;
        bool isClosed = false;
        bool sendsRecords = false;
        bool saysNoMoreRequests = false;
        // True once the instance has sent bytes for the server.
        bool wasUsed = false;
        // Address of the server; empty until the connection to it is open.
        std::string address;
        // True if the last bytes came from the instance.
        bool awaitsAnswer = false;
    };

    bool mayRequest(const Session& session) const { return session.address.empty() || !m_requestPermission || m_requestPermission(session.address); }

    void begin(Tcp::socket socket)
    {
        const SessionPointer session = std::make_shared<Session>(m_context, std::move(socket));
        m_sessions.insert(session);
        session->timer.expires_after(kOpenTimeout);
        session->timer.async_wait([self = shared_from_this(), session](const error_code& ec) {
            if (!ec)
                self->end(session, true);
        });
        prepare(session->instance, session->instanceLimit);
        asio::async_read_until(session->instance, asio::dynamic_buffer(session->head, kMaximumRelayHeadBytes), kRelayHeadEnd, [self = shared_from_this(), session](const error_code& ec, std::size_t size) {
            if (session->isClosed)
                return;
            if (ec)
                self->end(session, true);
            else
                self->connect(session, size);
        });
    }

    static void prepare(Tcp::socket& socket, UnacknowledgedLimit& limit)
    {
        error_code ignored;
        socket.set_option(Tcp::no_delay(true), ignored);
        socket.non_blocking(true, ignored);
        limit.apply(socket.native_handle());
    }

    void connect(const SessionPointer& session, std::size_t headSize)
    {
        const std::optional<RelayRequest> request = parseRelayRequest(m_key, std::string_view { session->head }.substr(0, headSize));
        const std::optional<Endpoint> endpoint = request ? parseEndpoint(request->address) : std::nullopt;
        // The instance sends nothing before the answer.
        if (!endpoint || session->head.size() > headSize) {
            refuse(session, kForbidden);
            return;
        }
        if (m_sessions.size() > kMaximumConnections || !m_permission || !m_permission(request->address)) {
            refuse(session, kUnavailable);
            return;
        }
        session->sendsRecords = request->readsRecords;
        error_code ec;
        const Tcp::endpoint target(asio::ip::make_address(endpoint->address, ec), endpoint->port);
        session->server.async_connect(target, [self = shared_from_this(), session, address = request->address](const error_code& connectError) {
            if (session->isClosed)
                return;
            if (connectError) {
                self->refuse(session, kRelayServerUnreachable);
                return;
            }
            prepare(session->server, session->serverLimit);
            session->address = address;
            self->answer(session, kRelayOpened, [self, session] {
                session->timer.cancel();
                self->passRequests(session);
                self->passAnswers(session);
            });
        });
    }

    void refuse(const SessionPointer& session, unsigned status)
    {
        answer(session, status, [self = shared_from_this(), session] { self->end(session, false); });
    }

    void answer(const SessionPointer& session, unsigned status, std::function<void()> then)
    {
        session->head = relayResponse(status, status == kRelayOpened && session->sendsRecords);
        asio::async_write(session->instance, asio::buffer(session->head), [self = shared_from_this(), session, then = std::move(then)](const error_code& ec, std::size_t) {
            if (session->isClosed)
                return;
            if (ec)
                self->end(session, true);
            else
                then();
        });
    }

    void passRequests(const SessionPointer& session)
    {
        if (std::exchange(session->isReadingFromInstance, true))
            return;
        session->instance.async_read_some(asio::buffer(session->toServer), [self = shared_from_this(), session](const error_code& ec, std::size_t size) {
            session->isReadingFromInstance = false;
            if (session->isClosed)
                return;
            // The server takes no more bytes, but the rest of its answer may still be passed on.
            if (!ec && (session->hasServerClosed || session->serverEnd.hasWriteError())) {
                self->passRequests(session);
                return;
            }
            // More bytes of a request that has begun are passed on.
            if (ec || (!session->awaitsAnswer && !self->mayRequest(*session))) {
                self->end(session, ec != asio::error::eof);
                return;
            }
            session->wasUsed = true;
            session->requestBytes = size + (std::exchange(session->awaitsAnswer, true) ? session->requestBytes : 0);
            session->serverLimit.setRequestBytes(session->server.native_handle(), session->requestBytes);
            session->request = { session->toServer.data(), size };
            self->waitForRoom(session);
        });
    }

    void waitForRoom(const SessionPointer& session)
    {
        if (std::exchange(session->isWaitingForRoom, true))
            return;
        session->server.async_wait(Tcp::socket::wait_write, [self = shared_from_this(), session](const error_code& ec) {
            session->isWaitingForRoom = false;
            // What has arrived of the answer is read first: a failed write takes the error that tells a reset from the server's own end.
            if (!session->isClosed && !ec && !hasUnreadAnswer(*session))
                self->writeToServer(session);
        });
    }

    void writeToServer(const SessionPointer& session)
    {
        error_code ec;
        session->request.remove_prefix(session->server.write_some(asio::buffer(session->request), ec));
        if (ec && !isWouldBlock(ec)) {
            session->serverEnd.recordWriteError(ec);
            session->request = {};
        }
        if (session->request.empty())
            passRequests(session);
        else
            waitForRoom(session);
    }

    static bool hasUnreadAnswer(Session& session)
    {
        char byte = 0;
        error_code ec;
        session.server.receive(asio::buffer(&byte, 1), asio::socket_base::message_peek, ec);
        if (ec && !isWouldBlock(ec) && ec != asio::error::eof)
            session.serverEnd.recordWriteError(ec);
        return !isWouldBlock(ec);
    }

    void passAnswers(const SessionPointer& session)
    {
        session->isReadingFromServer = true;
        session->server.async_read_some(asio::buffer(session->fromServer), [self = shared_from_this(), session](const error_code& ec, std::size_t size) {
            session->isReadingFromServer = false;
            if (session->isClosed)
                return;
            const error_code cause = session->serverEnd.causeOf(ec);
            if (cause && cause != asio::error::eof) {
                self->end(session, true);
                return;
            }
            session->hasServerClosed = cause == asio::error::eof;
            session->awaitsAnswer = false;
            if (!session->request.empty() && !session->hasServerClosed)
                self->waitForRoom(session);
            const std::string_view bytes { session->fromServer.data(), size };
            if (!session->sendsRecords)
                self->sendToInstance(session, bytes);
            else
                self->sendToInstance(session, relayRecord(session->hasServerClosed ? RelayRecordKind::ServerClosed : RelayRecordKind::Data, bytes));
        });
    }

    // Appends bytes to the output. Once all of it is written, the next ones are read from the server.
    void sendToInstance(const SessionPointer& session, std::string_view bytes)
    {
        session->output += bytes;
        if (session->writing.empty())
            writeOutput(session);
    }

    void writeOutput(const SessionPointer& session)
    {
        session->writing = std::exchange(session->output, {});
        asio::async_write(session->instance, asio::buffer(session->writing), [self = shared_from_this(), session](const error_code& ec, std::size_t) {
            session->writing.clear();
            if (session->isClosed)
                return;
            if (ec)
                self->end(session, true);
            else if (!session->output.empty())
                self->writeOutput(session);
            else if (session->hasServerClosed)
                self->finish(session);
            else if (!session->isReadingFromServer)
                self->passAnswers(session);
        });
    }

    // Leaves it to the instance to close the connection after the last answer.
    void finish(const SessionPointer& session)
    {
        error_code ignored;
        session->server.close(ignored);
        session->instance.shutdown(Tcp::socket::shutdown_send, ignored);
        session->timer.expires_after(kDiscardTimeout);
        session->timer.async_wait([self = shared_from_this(), session](const error_code& ec) {
            if (!ec)
                self->end(session, false);
        });
        passRequests(session);
    }

    void end(const SessionPointer& session, bool isReset)
    {
        session->close(isReset);
        m_sessions.erase(session);
    }

    asio::io_context& m_context;
    Tcp::acceptor m_acceptor;
    const std::string m_key;
    Permission m_permission;
    Permission m_requestPermission;
    std::set<SessionPointer> m_sessions;
};

RelayServer::RelayServer(asio::io_context& context, const Endpoint& bind, std::string key, Permission permission)
    : m_impl(std::make_shared<Impl>(context, bind, std::move(key), std::move(permission)))
{
    m_impl->accept();
}

RelayServer::~RelayServer() { m_impl->stop(); }
std::uint16_t RelayServer::port() const { return m_impl->port(); }
void RelayServer::setRequestPermission(Permission permission) { m_impl->setRequestPermission(std::move(permission)); }
void RelayServer::closeForbidden() { m_impl->closeForbidden(); }
void RelayServer::stopAccepting() { m_impl->stopAccepting(); }
std::size_t RelayServer::connections() const { return m_impl->connections(); }

} // namespace curranttrail::transport
