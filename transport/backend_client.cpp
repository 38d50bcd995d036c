#include "transport/backend_client.h"

#include "transport/backend_protocol.h"
#include "transport/backend_reply.h"
#include "transport/event_sink.h"
#include "transport/events.h"
#include "transport/http_client.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"
#include "transport/stream_end.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <cctype>
#include <mutex>
#include <unordered_map>

namespace curranttrail::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    // State shared by all connections of one client.
    struct SharedState {
        BackendClientOptions options;
        EventSink& sink;
        BackendClient::EventCallback callback;
        Counter& sent;
        Counter& malformed;
        Counter& lost;
    };

    // One connection to a backend server. All operations run on the socket's strand.
    class Connection : public std::enable_shared_from_this<Connection> {
    public:
        Connection(asio::io_context& context, std::shared_ptr<SharedState> shared, const query::OpenConnection& effect, Endpoint server, std::function<void(const Connection&)> onClosed)
            : m_shared(std::move(shared))
            , m_id(effect.connection)
            , m_server(effect.server)
            , m_endpoint(std::move(server))
            , m_socket(asio::make_strand(context))
            , m_timer(m_socket.get_executor())
            , m_onClosed(std::move(onClosed))
        {
        }

        ConnectionId id() const { return m_id; }

        void open()
        {
            asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->connect(); });
        }

        void close()
        {
            asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->closeSocket(); });
        }

        void send(const query::SendSubquery& subquery)
        {
            asio::dispatch(m_socket.get_executor(), [self = shared_from_this(), subquery] { self->write(subquery); });
        }

    private:
        enum class State {
            Connecting,
            Idle,
            Busy,
            Closed,
        };

        void connect()
        {
            error_code ec;
            const Tcp::endpoint endpoint { asio::ip::make_address(m_endpoint.address, ec), m_endpoint.port };
            m_timer.expires_after(m_shared->options.connectTimeout);
            m_timer.async_wait([self = shared_from_this()](const error_code& ec) {
                if (!ec && self->m_state == State::Connecting)
                    self->connectFailed("connect timed out");
            });
            m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code& ec) { self->connected(ec); });
        }

        void connected(const error_code& ec)
        {
            if (m_state != State::Connecting)
                return;
            m_timer.cancel();
            if (ec) {
                connectFailed(ec.message());
                return;
            }
            error_code ignored;
            m_socket.set_option(Tcp::no_delay(true), ignored);
            m_state = State::Idle;
            m_shared->callback(query::ConnectionOpened { m_id });
            monitor();
        }

        void connectFailed(const std::string& reason)
        {
            m_shared->sink.log(events::kBackendConnectFailed, { { "server", m_endpoint.text() }, { "reason", reason } });
            reportLost();
        }

        // Waits for the first bytes of a reply, or for the server to close an idle connection.
        void monitor()
        {
            m_socket.async_read_some(m_buffer.prepare(8192), [self = shared_from_this()](const error_code& ec, std::size_t n) {
                if (self->m_state == State::Closed)
                    return;
                self->m_buffer.commit(n);
                if (ec)
                    self->fail(self->m_streamEnd.causeOf(ec).message());
                else if (self->m_state == State::Idle)
                    self->fail("server sent data without a pending request");
                else
                    self->read();
            });
        }

        void write(const query::SendSubquery& subquery)
        {
            std::optional<std::string> text;
            if (m_state == State::Idle)
                text = serializeSubquery(subquery, m_shared->options.attemptPrefix, m_endpoint);
            if (!text) {
                m_shared->callback(query::SubqueryEnded { subquery.attempt, m_id, AttemptProgress::NotSent });
                return;
            }
            m_state = State::Busy;
            m_attempt = subquery.attempt;
            m_header = std::move(*text);
            m_body = subquery.body;
            m_writing = true;
            m_bytesWritten = 0;
            m_shared->sent.add();
            const std::array<asio::const_buffer, 2> buffers { asio::buffer(m_header), asio::buffer(*m_body) };
            asio::async_write(m_socket, buffers, [self = shared_from_this()](const error_code& ec, std::size_t n) {
                self->m_writing = false;
                self->m_bytesWritten = n;
                // The pending read decides on the request, because a reply may still be buffered.
                if (ec)
                    self->m_streamEnd.recordWriteError(ec);
            });
        }

        void read()
        {
            m_parser.emplace();
            m_parser->body_limit(m_shared->options.maximumReplyBytes);
            http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (self->m_state == State::Closed)
                    return;
                if (ec)
                    self->fail(self->m_streamEnd.causeOf(ec).message());
                else
                    self->replied();
            });
        }

        void replied()
        {
            http::response<http::string_body> message = m_parser->release();
            const error_code cause = m_streamEnd.causeOf(asio::error::eof);
            if (message.need_eof() && cause != asio::error::eof) {
                fail(cause.message());
                return;
            }
            HttpResponse response;
            response.status = message.result_int();
            for (const auto& field : message)
                response.fields.emplace_back(std::string { field.name_string() }, std::string { field.value() });
            response.body = std::move(message.body());
            // A number that is cut off is still JSON.
            if (message.need_eof() && !response.body.empty() && std::isdigit(static_cast<unsigned char>(response.body.back())) != 0) {
                fail("a number without a length");
                return;
            }
            std::optional<query::SubqueryReplied> reply = parseReply(response, m_shared->options.attemptPrefix, m_id, m_server);
            if (!reply) {
                m_shared->malformed.add();
                m_shared->sink.log(events::kBackendReplyMalformed, { { "server", m_endpoint.text() }, { "status", std::to_string(response.status) } });
                fail("malformed reply");
                return;
            }
            const bool matches = reply->attempt == m_attempt;
            // Surplus bytes after the reply, or a reply received before the request was completely written, would be
            // attributed to the next request, so the connection is not reused.
            const bool reusable = matches && message.keep_alive() && m_buffer.size() == 0 && !m_writing && !m_streamEnd.hasWriteError();
            if (matches)
                m_state = State::Idle;
            m_shared->callback(std::move(*reply));
            if (reusable)
                monitor();
            else
                fail(matches ? "connection not reusable after the reply" : "reply identifies another attempt");
        }

        // Ends the attempt in flight, if any, and reports the connection as lost.
        void fail(const std::string& reason)
        {
            m_shared->sink.log(events::kBackendConnectionLost, { { "server", m_endpoint.text() }, { "reason", reason } });
            m_shared->lost.add();
            if (m_state == State::Busy)
                m_shared->callback(query::SubqueryEnded { m_attempt, m_id, progress() });
            reportLost();
        }

        AttemptProgress progress() const
        {
            if (m_writing)
                return AttemptProgress::Unknown;
            return m_bytesWritten == 0 ? AttemptProgress::NotSent : AttemptProgress::BytesSent;
        }

        void reportLost()
        {
            closeSocket();
            m_shared->callback(query::ConnectionLost { m_id });
        }

        void closeSocket()
        {
            m_state = State::Closed;
            m_timer.cancel();
            error_code ec;
            m_socket.close(ec);
            m_onClosed(*this);
        }

        std::shared_ptr<SharedState> m_shared;
        const ConnectionId m_id;
        const ServerId m_server;
        const Endpoint m_endpoint;
        Tcp::socket m_socket;
        asio::steady_timer m_timer;
        std::function<void(const Connection&)> m_onClosed;
        State m_state = State::Connecting;
        AttemptId m_attempt;
        std::string m_header;
        std::shared_ptr<const std::string> m_body;
        bool m_writing = false;
        std::size_t m_bytesWritten = 0;
        StreamEnd m_streamEnd;
        beast::flat_buffer m_buffer;
        std::optional<http::response_parser<http::string_body>> m_parser;
    };

} // namespace

class BackendClient::Impl : public std::enable_shared_from_this<BackendClient::Impl> {
public:
    Impl(IoThreads& threads, BackendClientOptions options, EventSink& sink, Metrics& metrics, EventCallback callback)
        : m_context(threads.context())
        , m_cancelClient(threads, { 65'536, 1, std::chrono::milliseconds { 5'000 } })
        , m_shared(std::make_shared<SharedState>(SharedState { std::move(options), sink, std::move(callback),
              metrics.counter("curranttrail_subqueries_sent_total", "Subqueries whose request was handed to a socket."),
              metrics.counter("curranttrail_backend_replies_malformed_total", "Replies that could not be read or matched."),
              metrics.counter("curranttrail_backend_connections_lost_total", "Open connections that ended without being asked to.") }))
    {
    }

    void open(const query::OpenConnection& effect, const Endpoint& server)
    {
        const std::shared_ptr<Connection> connection = std::make_shared<Connection>(m_context, m_shared, effect, server,
            [weak = weak_from_this()](const Connection& closed) {
                if (const std::shared_ptr<Impl> self = weak.lock())
                    self->forget(closed);
            });
        {
            const std::lock_guard lock(m_mutex);
            m_connections[effect.connection] = connection;
        }
        connection->open();
    }

    std::shared_ptr<Connection> find(ConnectionId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_connections.find(id);
        return it == m_connections.end() ? nullptr : it->second;
    }

    std::shared_ptr<Connection> extract(ConnectionId id)
    {
        const std::lock_guard lock(m_mutex);
        const auto node = m_connections.extract(id);
        return node ? node.mapped() : nullptr;
    }

    void forget(const Connection& closed)
    {
        const std::lock_guard lock(m_mutex);
        const auto it = m_connections.find(closed.id());
        if (it != m_connections.end() && it->second.get() == &closed)
            m_connections.erase(it);
    }

    void closeAll()
    {
        std::unordered_map<ConnectionId, std::shared_ptr<Connection>> connections;
        {
            const std::lock_guard lock(m_mutex);
            connections.swap(m_connections);
        }
        for (const auto& [id, connection] : connections)
            connection->close();
    }

    void cancel(AttemptId attempt, const Endpoint& server)
    {
        HttpRequest request;
        request.method = "POST";
        request.path = "/v1/cancel";
        request.fields.emplace_back(field::kAttempt, formatAttemptId(m_shared->options.attemptPrefix, attempt));
        m_cancelClient.request(server, request, m_shared->options.cancelTimeout, [](const HttpResult&) {});
    }

    const std::shared_ptr<SharedState>& shared() const { return m_shared; }

private:
    asio::io_context& m_context;
    // Cancellations use separate connections because a connection carries only one request at a time.
    HttpClient m_cancelClient;
    std::shared_ptr<SharedState> m_shared;
    std::mutex m_mutex;
    std::unordered_map<ConnectionId, std::shared_ptr<Connection>> m_connections;
};

BackendClient::BackendClient(IoThreads& threads, BackendClientOptions options, EventSink& sink, Metrics& metrics, EventCallback callback)
    : m_impl(std::make_shared<Impl>(threads, std::move(options), sink, metrics, std::move(callback)))
{
}

BackendClient::~BackendClient()
{
    m_impl->closeAll();
}

void BackendClient::open(const query::OpenConnection& effect, const Endpoint& server)
{
    m_impl->open(effect, server);
}

void BackendClient::close(const query::CloseConnection& effect)
{
    if (const std::shared_ptr<Connection> connection = m_impl->extract(effect.connection))
        connection->close();
}

void BackendClient::send(const query::SendSubquery& effect)
{
    if (const std::shared_ptr<Connection> connection = m_impl->find(effect.connection))
        connection->send(effect);
    else
        m_impl->shared()->callback(query::SubqueryEnded { effect.attempt, effect.connection, AttemptProgress::NotSent });
}

void BackendClient::cancel(const query::CancelSubquery& effect, const Endpoint& server)
{
    m_impl->cancel(effect.attempt, server);
}

} // namespace curranttrail::transport
