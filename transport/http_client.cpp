#include "transport/http_client.h"

#include "transport/io_threads.h"

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <map>
#include <mutex>
#include <vector>

namespace curranttrail::transport {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

namespace {

    struct IdleSocket {
        Tcp::socket socket;
        std::chrono::steady_clock::time_point idleSince;
    };

    // Idle connections that can be reused by later requests.
    class SocketPool {
    public:
        explicit SocketPool(const HttpClientOptions& options)
            : m_options(options)
        {
        }

        std::optional<Tcp::socket> takeIdleSocket(const Endpoint& server)
        {
            const std::lock_guard lock(m_mutex);
            std::vector<IdleSocket>& idle = m_idleSockets[server];
            const std::chrono::steady_clock::time_point oldest = std::chrono::steady_clock::now() - m_options.idleTimeout;
            std::erase_if(idle, [oldest](const IdleSocket& socket) { return socket.idleSince < oldest; });
            if (idle.empty())
                return std::nullopt;
            Tcp::socket socket = std::move(idle.back().socket);
            idle.pop_back();
            return socket;
        }

        void put(const Endpoint& server, Tcp::socket socket)
        {
            const std::lock_guard lock(m_mutex);
            std::vector<IdleSocket>& idle = m_idleSockets[server];
            if (idle.size() < m_options.maximumIdlePerServer)
                idle.push_back({ std::move(socket), std::chrono::steady_clock::now() });
        }

    private:
        const HttpClientOptions m_options;
        std::mutex m_mutex;
        std::map<Endpoint, std::vector<IdleSocket>> m_idleSockets;
    };

    class Call : public std::enable_shared_from_this<Call> {
    public:
        Call(asio::io_context& context, std::shared_ptr<SocketPool> pool, Endpoint server, const HttpRequest& request, std::size_t maximumResponseBytes,
            std::function<void(HttpResult)> callback)
            : m_pool(std::move(pool))
            , m_server(std::move(server))
            , m_socket(asio::make_strand(context))
            , m_timer(m_socket.get_executor())
            , m_maximumResponseBytes(maximumResponseBytes)
            , m_callback(std::move(callback))
        {
            m_request.method_string(request.method);
            m_request.target(request.query.empty() ? request.path : request.path + "?" + request.query);
            m_request.version(11);
            m_request.set(http::field::host, m_server.text());
            for (const auto& [name, value] : request.fields)
                m_request.set(name, value);
            m_request.body() = request.body;
            m_request.prepare_payload();
        }

        void start(Micros timeout)
        {
            asio::post(m_socket.get_executor(), [self = shared_from_this(), timeout] { self->begin(timeout); });
        }

    private:
        void begin(Micros timeout)
        {
            m_timer.expires_after(timeout);
            m_timer.async_wait([self = shared_from_this()](const error_code& ec) {
                if (!ec)
                    self->finish({ .error = "timed out" });
            });
            if (std::optional<Tcp::socket> idle = m_pool->takeIdleSocket(m_server)) {
                // The idle socket is bound to another call's strand, so only its descriptor is taken over.
                error_code ec;
                m_socket.assign(Tcp::v4(), idle->release(ec), ec);
                m_reused = !ec;
            }
            if (m_reused)
                write();
            else
                connect();
        }

        void connect()
        {
            m_reused = false;
            error_code ec;
            m_socket.close(ec);
            const Tcp::endpoint endpoint { asio::ip::make_address(m_server.address, ec), m_server.port };
            m_socket.async_connect(endpoint, [self = shared_from_this()](const error_code& ec) {
                if (self->handleError(ec))
                    return;
                error_code ignored;
                self->m_socket.set_option(Tcp::no_delay(true), ignored);
                self->write();
            });
        }

        void write()
        {
            http::async_write(m_socket, m_request, [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (!self->handleError(ec))
                    self->read();
            });
        }

        void read()
        {
            m_buffer.clear();
            m_parser.emplace();
            m_parser->body_limit(m_maximumResponseBytes);
            http::async_read(m_socket, m_buffer, *m_parser, [self = shared_from_this()](const error_code& ec, std::size_t) {
                if (!self->handleError(ec))
                    self->complete();
            });
        }

        // On an error, retries on a new connection if a reused one failed, else ends the call.
        // Returns true if the current operation must not continue.
        bool handleError(const error_code& ec)
        {
            if (m_done)
                return true;
            if (!ec)
                return false;
            if (m_reused)
                connect();
            else
                finish({ .error = ec.message() });
            return true;
        }

        void complete()
        {
            http::response<http::string_body> message = m_parser->release();
            HttpResult result;
            result.answered = true;
            result.endsWithConnection = message.need_eof();
            result.response.status = message.result_int();
            for (const auto& field : message)
                result.response.fields.emplace_back(std::string { field.name_string() }, std::string { field.value() });
            result.response.body = std::move(message.body());
            if (message.keep_alive() && m_buffer.size() == 0)
                m_pool->put(m_server, std::move(m_socket));
            finish(std::move(result));
        }

        void finish(HttpResult result)
        {
            if (m_done)
                return;
            m_done = true;
            m_timer.cancel();
            error_code ec;
            m_socket.close(ec);
            m_callback(std::move(result));
        }

        std::shared_ptr<SocketPool> m_pool;
        const Endpoint m_server;
        Tcp::socket m_socket;
        asio::steady_timer m_timer;
        const std::size_t m_maximumResponseBytes;
        std::function<void(HttpResult)> m_callback;
        http::request<http::string_body> m_request;
        beast::flat_buffer m_buffer;
        std::optional<http::response_parser<http::string_body>> m_parser;
        bool m_reused = false;
        bool m_done = false;
    };

} // namespace

struct HttpClient::Impl {
    asio::io_context& context;
    const HttpClientOptions options;
    std::shared_ptr<SocketPool> pool;
};

HttpClient::HttpClient(IoThreads& threads, HttpClientOptions options)
    : m_impl(std::make_shared<Impl>(Impl { threads.context(), options, std::make_shared<SocketPool>(options) }))
{
}

HttpClient::~HttpClient() = default;

void HttpClient::request(const Endpoint& server, const HttpRequest& request, Micros timeout, std::function<void(HttpResult)> callback)
{
    std::make_shared<Call>(m_impl->context, m_impl->pool, server, request, m_impl->options.maximumResponseBytes, std::move(callback))->start(timeout);
}

} // namespace curranttrail::transport
