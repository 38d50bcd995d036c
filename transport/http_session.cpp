#include "transport/http_session.h"

#include "transport/raw_http_parser.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace curranttrail::transport::detail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    HttpResponse refusal(unsigned status, std::string_view error, std::string_view message)
    {
        HttpResponse response;
        response.status = status;
        response.body = refusalBody(error, "not_run", message);
        response.close = true;
        return response;
    }

    HttpResponse refusalFor(const error_code& ec)
    {
        if (ec == http::error::body_limit)
            return refusal(413, "oversized", "the request body exceeds the size limit");
        if (ec == http::error::header_limit || ec == http::error::buffer_overflow)
            return refusal(413, "oversized", "the request header exceeds the size limit");
        return refusal(400, "malformed", "not a valid HTTP/1.1 request: " + ec.message());
    }

} // namespace

class Session : public std::enable_shared_from_this<Session> {
public:
    Session(Tcp::socket socket, const HttpServerOptions& options, HttpHandler handler, std::shared_ptr<SessionSet> set)
        : m_socket(std::move(socket))
        , m_timer(m_socket.get_executor())
        , m_options(options)
        , m_handler(std::move(handler))
        , m_set(std::move(set))
        , m_buffer(options.maximumHeaderBytes + options.maximumBodyBytes)
    {
        error_code ec;
        m_socket.set_option(Tcp::no_delay(true), ec);
        const Tcp::endpoint peer = m_socket.remote_endpoint(ec);
        if (!ec)
            m_client = peer.address().to_string() + ":" + std::to_string(peer.port());
    }

    void start()
    {
        asio::dispatch(m_socket.get_executor(), [self = shared_from_this()] { self->waitForRequest(); });
    }

    // Closes the connection immediately if it is idle, else after the response.
    void finish()
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            self->m_finishing = true;
            // A request that is already in the receive buffer is still answered.
            error_code ec;
            if (self->m_state == State::Idle && self->m_socket.available(ec) == 0)
                self->close();
        });
    }

    void abort()
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this()] { self->close(); });
    }

    void respond(HttpResponse response)
    {
        asio::post(m_socket.get_executor(), [self = shared_from_this(), response = std::move(response)]() mutable {
            self->write(std::move(response));
        });
    }

private:
    enum class State {
        Idle,
        Reading,
        Handling,
        Writing,
        Lingering,
        Closed,
    };

    void startTimer(std::chrono::milliseconds timeout)
    {
        m_timedOut = false;
        m_timer.expires_after(timeout);
        // The generation identifies completions of a timer that expired just before it was restarted.
        m_timer.async_wait([self = shared_from_this(), generation = ++m_timerGeneration](const error_code& ec) {
            if (ec || generation != self->m_timerGeneration)
                return;
            self->m_timedOut = true;
            error_code ignored;
            self->m_socket.cancel(ignored);
        });
    }

    void stopTimer()
    {
        ++m_timerGeneration;
        m_timer.cancel();
    }

    void waitForRequest()
    {
        m_state = State::Idle;
        if (m_buffer.size() > 0) {
            readHeader();
            return;
        }
        startTimer(m_options.idleTimeout);
        if (!m_monitoring)
            monitor();
    }

    // Waits for the first bytes of a request, or for the client to disconnect while its request is being handled.
    void monitor()
    {
        m_monitoring = true;
        m_socket.async_read_some(m_buffer.prepare(4096), [self = shared_from_this()](const error_code& ec, std::size_t n) { self->handleMonitorRead(ec, n); });
    }

    void handleMonitorRead(const error_code& ec, std::size_t n)
    {
        m_monitoring = false;
        if (m_state == State::Closed)
            return;
        if (ec) {
            if (m_state == State::Idle || m_state == State::Lingering)
                close();
            else
                clientDisconnected();
            return;
        }
        if (m_state == State::Lingering) {
            monitor();
            return;
        }
        m_buffer.commit(n);
        if (m_state == State::Idle)
            readHeader();
    }

    void readHeader()
    {
        m_state = State::Reading;
        m_parser.emplace();
        m_parser->header_limit(static_cast<std::uint32_t>(m_options.maximumHeaderBytes));
        m_parser->body_limit(m_options.maximumBodyBytes);
        startTimer(m_options.headerTimeout);
        http::async_read_header(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& ec, std::size_t) { self->headerRead(ec); });
    }

    void headerRead(const error_code& ec)
    {
        if (readFailed(ec) || readFailed(detail::framingError(m_parser->get())))
            return;
        const std::uint64_t length = m_parser->content_length().value_or(0);
        if (length > m_options.maximumBodyBytes) {
            write(refusalFor(http::error::body_limit));
            return;
        }
        startTimer(m_options.bodyTimeout);
        if (!m_parser->is_done() && beast::iequals(m_parser->get()[http::field::expect], "100-continue")) {
            static constexpr std::string_view kContinue = "HTTP/1.1 100 Continue\r\n\r\n";
            asio::async_write(m_socket, asio::buffer(kContinue), [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (!self->readFailed(ec))
                    self->readBody();
            });
            return;
        }
        readBody();
    }

    void readBody()
    {
        http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& ec, std::size_t) {
            if (!self->readFailed(ec))
                self->handle();
        });
    }

    // Handles a read error: responds to input that violates the protocol or a limit, else closes the connection.
    // Returns true if the request cannot be handled.
    bool readFailed(const error_code& ec)
    {
        if (m_state == State::Closed)
            return true;
        if (!ec)
            return false;
        const bool malformed = ec.category() == error_code(http::error::bad_version).category() && ec != http::error::end_of_stream && ec != http::error::partial_message;
        if (m_timedOut)
            write(refusal(408, "slow_input", "the request was not received completely before the timeout"));
        else if (malformed)
            write(refusalFor(ec));
        else
            close();
        return true;
    }

    void handle();
    void write(HttpResponse response);
    void written(const error_code& ec, bool keepOpen);
    void linger();
    void clientDisconnected();
    void close();

    Tcp::socket m_socket;
    asio::steady_timer m_timer;
    const HttpServerOptions m_options;
    HttpHandler m_handler;
    std::shared_ptr<SessionSet> m_set;
    beast::flat_buffer m_buffer;
    std::optional<http::request_parser<http::string_body>> m_parser;
    http::response<http::string_body> m_response;
    std::weak_ptr<Exchange> m_exchange;
    std::string m_client;
    State m_state = State::Idle;
    bool m_monitoring = false;
    bool m_finishing = false;
    bool m_timedOut = false;
    std::uint64_t m_timerGeneration = 0;
    bool m_keepAlive = true;
    unsigned m_version = 11;
};

void SessionSet::remove(const std::shared_ptr<Session>& session)
{
    std::function<void()> notify;
    {
        const std::lock_guard lock(mutex);
        if (sessions.erase(session) == 0)
            return;
        --count;
        if (stopping && sessions.empty())
            notify = std::move(done);
    }
    if (notify)
        notify();
}

// One request and its response. Connects the session, which runs on its strand, to handlers on any thread.
class Exchange {
public:
    explicit Exchange(std::shared_ptr<Session> session)
        : m_session(std::move(session))
    {
    }

    ~Exchange()
    {
        HttpResponse response;
        response.status = 500;
        response.body = refusalBody("internal", "may_have_run", "the handler dropped the request without a response");
        send(std::move(response));
    }

    Exchange(const Exchange&) = delete;
    Exchange& operator=(const Exchange&) = delete;

    void send(HttpResponse response)
    {
        if (!m_answered.exchange(true))
            m_session->respond(std::move(response));
    }

    void onDisconnect(std::function<void()> callback)
    {
        {
            const std::lock_guard lock(m_mutex);
            if (!m_clientDisconnected) {
                m_onDisconnect = std::move(callback);
                return;
            }
        }
        callback();
    }

    void clientDisconnected()
    {
        std::function<void()> callback;
        {
            const std::lock_guard lock(m_mutex);
            m_clientDisconnected = true;
            if (!m_answered)
                callback = std::move(m_onDisconnect);
            m_onDisconnect = {};
        }
        if (callback)
            callback();
    }

private:
    std::shared_ptr<Session> m_session;
    std::atomic<bool> m_answered { false };
    std::mutex m_mutex;
    bool m_clientDisconnected = false;
    std::function<void()> m_onDisconnect;
};

void Session::handle()
{
    stopTimer();
    http::request<http::string_body> message = m_parser->release();
    m_parser.reset();
    m_keepAlive = message.keep_alive();
    m_version = message.version();
    HttpRequest request;
    request.method = std::string { message.method_string() };
    const std::string_view target { message.target().data(), message.target().size() };
    const std::size_t mark = std::min(target.find('?'), target.size());
    request.path = std::string { target.substr(0, mark) };
    request.query = std::string { target.substr(std::min(mark + 1, target.size())) };
    request.client = m_client;
    for (const auto& field : message)
        request.fields.emplace_back(std::string { field.name_string() }, std::string { field.value() });
    request.body = std::move(message.body());

    m_state = State::Handling;
    const std::shared_ptr<Exchange> exchange = std::make_shared<Exchange>(shared_from_this());
    m_exchange = exchange;
    if (m_buffer.size() == 0 && !m_monitoring)
        monitor();
    m_handler(std::move(request), Responder { exchange });
}

void Session::write(HttpResponse response)
{
    if (m_state == State::Closed || m_state == State::Writing)
        return;
    m_state = State::Writing;
    const bool keepOpen = m_keepAlive && !response.close && !m_finishing && !m_set->retiring;
    m_response = {};
    m_response.version(m_version == 10 ? 10 : 11);
    m_response.result(response.status);
    m_response.keep_alive(keepOpen);
    if (!response.contentType.empty())
        m_response.set(http::field::content_type, response.contentType);
    for (const auto& [name, value] : response.fields)
        m_response.set(name, value);
    m_response.body() = std::move(response.body);
    m_response.prepare_payload();
    startTimer(m_options.writeTimeout);
    http::async_write(m_socket, m_response, [self = shared_from_this(), keepOpen](const error_code& ec, std::size_t) { self->written(ec, keepOpen); });
}

void Session::written(const error_code& ec, bool keepOpen)
{
    stopTimer();
    if (m_state == State::Closed)
        return;
    if (ec)
        close();
    else if (keepOpen)
        waitForRequest();
    else
        linger();
}

// Discards input until the client closes the connection. Closing it with unread input would send a reset, which could
// discard the response before the client reads it.
void Session::linger()
{
    m_state = State::Lingering;
    error_code ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    startTimer(std::chrono::seconds { 1 });
    if (m_monitoring)
        return;
    m_buffer.clear();
    monitor();
}

void Session::clientDisconnected()
{
    m_keepAlive = false;
    if (const std::shared_ptr<Exchange> exchange = m_exchange.lock())
        exchange->clientDisconnected();
}

void Session::close()
{
    if (m_state == State::Closed)
        return;
    m_state = State::Closed;
    clientDisconnected();
    stopTimer();
    error_code ec;
    m_socket.shutdown(Tcp::socket::shutdown_send, ec);
    m_socket.close(ec);
    m_set->remove(shared_from_this());
}

std::shared_ptr<Session> makeSession(Tcp::socket socket, const HttpServerOptions& options, HttpHandler handler, std::shared_ptr<SessionSet> set)
{
    return std::make_shared<Session>(std::move(socket), options, std::move(handler), std::move(set));
}

void startSession(Session& session)
{
    session.start();
}

void finishSession(Session& session)
{
    session.finish();
}

void abortSession(Session& session)
{
    session.abort();
}

} // namespace curranttrail::transport::detail

namespace curranttrail::transport {

Responder::Responder(std::shared_ptr<detail::Exchange> exchange)
    : m_exchange(std::move(exchange))
{
}

void Responder::send(HttpResponse response) const
{
    m_exchange->send(std::move(response));
}

void Responder::onDisconnect(std::function<void()> callback) const
{
    m_exchange->onDisconnect(std::move(callback));
}

} // namespace curranttrail::transport
