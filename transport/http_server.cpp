#include "transport/http_server.h"

#include "transport/http_session.h"
#include "transport/io_threads.h"

#include <boost/asio.hpp>

#include <stdexcept>

namespace curranttrail::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using detail::Session;
using detail::SessionSet;
using Tcp = asio::ip::tcp;

class HttpServer::Impl : public std::enable_shared_from_this<HttpServer::Impl> {
public:
    Impl(IoThreads& threads, HttpServerOptions options, HttpHandler handler)
        : m_context(threads.context())
        , m_acceptor(asio::make_strand(m_context))
        , m_timer(m_acceptor.get_executor())
        , m_options(std::move(options))
        , m_handler(std::move(handler))
        , m_set(std::make_shared<SessionSet>())
    {
        const Tcp::endpoint endpoint { asio::ip::make_address(m_options.bind.address), m_options.bind.port };
        error_code ec;
        m_acceptor.open(endpoint.protocol(), ec);
        m_acceptor.set_option(asio::socket_base::reuse_address(true), ec);
        m_acceptor.bind(endpoint, ec);
        if (!ec)
            m_acceptor.listen(asio::socket_base::max_listen_connections, ec);
        if (ec)
            throw std::runtime_error("cannot listen on " + m_options.bind.text() + ": " + ec.message());
        m_port = m_acceptor.local_endpoint().port();
    }

    void accept()
    {
        m_acceptor.async_accept(asio::make_strand(m_context), [self = shared_from_this()](const error_code& ec, Tcp::socket socket) {
            self->accepted(ec, std::move(socket));
        });
    }

    std::uint16_t port() const { return m_port; }
    std::size_t connections() const { return m_set->count; }
    void retireConnections() { m_set->retiring = true; }

    void stop(std::chrono::milliseconds limit, std::function<void()> done)
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this(), limit, done = std::move(done)]() mutable { self->stopNow(limit, std::move(done)); });
    }

    void abort()
    {
        asio::post(m_acceptor.get_executor(), [self = shared_from_this()] { self->stopNow(std::chrono::milliseconds { 0 }, {}); });
    }

private:
    void accepted(const error_code& ec, Tcp::socket socket)
    {
        if (!m_acceptor.is_open())
            return;
        if (ec) {
            // The process is out of file descriptors, or a queued connection was reset. The delay avoids a busy loop.
            m_timer.expires_after(std::chrono::milliseconds { 50 });
            m_timer.async_wait([self = shared_from_this()](const error_code& ec) {
                if (!ec)
                    self->accept();
            });
            return;
        }
        if (m_set->count >= m_options.connections)
            refuse(socket);
        else
            admit(std::move(socket));
        accept();
    }

    void admit(Tcp::socket socket)
    {
        const std::shared_ptr<Session> session = detail::makeSession(std::move(socket), m_options, m_handler, m_set);
        {
            const std::lock_guard lock(m_set->mutex);
            m_set->sessions.insert(session);
            ++m_set->count;
        }
        startSession(*session);
    }

    static void refuse(Tcp::socket& socket)
    {
        const std::string body = refusalBody("too_many_connections", "not_run", "the instance has reached its connection limit");
        const std::string text = "HTTP/1.1 503 Service Unavailable\r\nContent-Type: application/json\r\nConnection: close\r\nContent-Length: "
            + std::to_string(body.size()) + "\r\n\r\n" + body;
        error_code ec;
        socket.non_blocking(true, ec);
        socket.write_some(asio::buffer(text), ec);
        socket.shutdown(Tcp::socket::shutdown_send, ec);
    }

    void stopNow(std::chrono::milliseconds limit, std::function<void()> done)
    {
        error_code ec;
        m_acceptor.close(ec);
        m_timer.cancel();
        std::vector<std::shared_ptr<Session>> sessions;
        {
            const std::lock_guard lock(m_set->mutex);
            m_set->stopping = true;
            for (const SessionSet::Weak& session : m_set->sessions) {
                if (std::shared_ptr<Session> held = session.lock())
                    sessions.push_back(std::move(held));
            }
            if (!sessions.empty())
                m_set->done.swap(done);
        }
        if (sessions.empty()) {
            if (done)
                done();
            return;
        }
        for (const std::shared_ptr<Session>& session : sessions) {
            if (limit.count() == 0)
                abortSession(*session);
            else
                finishSession(*session);
        }
        if (limit.count() == 0)
            return;
        m_timer.expires_after(limit);
        m_timer.async_wait([set = m_set](const error_code& ec) {
            if (ec)
                return;
            const std::lock_guard lock(set->mutex);
            for (const SessionSet::Weak& session : set->sessions) {
                if (const std::shared_ptr<Session> held = session.lock())
                    abortSession(*held);
            }
        });
    }

    asio::io_context& m_context;
    Tcp::acceptor m_acceptor;
    asio::steady_timer m_timer;
    const HttpServerOptions m_options;
    HttpHandler m_handler;
    std::shared_ptr<SessionSet> m_set;
    std::uint16_t m_port = 0;
};

HttpServer::HttpServer(IoThreads& threads, HttpServerOptions options, HttpHandler handler)
    : m_impl(std::make_shared<Impl>(threads, std::move(options), std::move(handler)))
{
    m_impl->accept();
}

HttpServer::~HttpServer()
{
    m_impl->abort();
}

std::uint16_t HttpServer::port() const
{
    return m_impl->port();
}

std::size_t HttpServer::connections() const
{
    return m_impl->connections();
}

void HttpServer::retireConnections()
{
    m_impl->retireConnections();
}

void HttpServer::stop(std::chrono::milliseconds limit, std::function<void()> done)
{
    m_impl->stop(limit, std::move(done));
}

} // namespace curranttrail::transport