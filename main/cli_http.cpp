#include "main/cli_http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/address.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <fmt/format.h>

namespace curranttrail {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = beast::http;

namespace {

    constexpr std::uint64_t kMaximumAnswerBytes = 16 << 20;

    http::request<http::string_body> messageOf(const transport::Endpoint& endpoint, const transport::HttpRequest& request)
    {
        const std::string target = request.query.empty() ? request.path : request.path + "?" + request.query;
        http::request<http::string_body> message(http::string_to_verb(request.method), target, 11);
        message.set(http::field::host, endpoint.text());
        message.set(http::field::connection, "close");
        if (!request.body.empty())
            message.set(http::field::content_type, "application/json");
        for (const auto& [name, value] : request.fields)
            message.set(name, value);
        message.body() = request.body;
        message.prepare_payload();
        return message;
    }

    // One request as a sequence of asynchronous steps. The stream's timeout covers all of them.
    class Exchange {
    public:
        Exchange(const transport::Endpoint& endpoint, const transport::HttpRequest& request)
            : m_stream(m_context)
            , m_request(messageOf(endpoint, request))
        {
            m_parser.body_limit(kMaximumAnswerBytes);
        }

        HttpReply run(const asio::ip::tcp::endpoint& endpoint, std::chrono::milliseconds timeout)
        {
            m_stream.expires_after(timeout);
            m_stream.async_connect(endpoint, [this](boost::system::error_code ec) { connected(ec); });
            m_context.run();
            return std::move(m_reply);
        }

    private:
        void connected(boost::system::error_code ec)
        {
            if (ec) {
                m_reply.error = ec.message();
                return;
            }
            m_reply.outcome = HttpOutcome::Unknown;
            http::async_write(m_stream, m_request, [this](boost::system::error_code writeError, std::size_t) { written(writeError); });
        }

        void written(boost::system::error_code ec)
        {
            // A server may refuse a request and close the connection before it has read all of it, so the answer is read even after an error.
            m_reply.error = ec ? ec.message() : std::string {};
            http::async_read(m_stream, m_buffer, m_parser, [this](boost::system::error_code readError, std::size_t) { received(readError); });
        }

        void received(boost::system::error_code ec)
        {
            if (ec) {
                m_reply.error = ec.message();
                return;
            }
            m_reply = { HttpOutcome::Answered, m_parser.get().result_int(), m_parser.get().body(), std::string { m_parser.get()[http::field::location] }, {} };
        }

        asio::io_context m_context { 1 };
        beast::tcp_stream m_stream;
        http::request<http::string_body> m_request;
        http::response_parser<http::string_body> m_parser;
        beast::flat_buffer m_buffer;
        HttpReply m_reply;
    };

} // namespace

std::optional<transport::Endpoint> endpointOf(std::string_view url)
{
    constexpr std::string_view scheme = "http://";
    const std::string_view authority = url.substr(url.starts_with(scheme) ? scheme.size() : 0);
    return transport::parseEndpoint(authority.substr(0, authority.find('/')));
}

HttpReply requestOnce(const transport::Endpoint& endpoint, const transport::HttpRequest& request, std::chrono::milliseconds timeout)
{
    boost::system::error_code ec;
    const asio::ip::address address = asio::ip::make_address(endpoint.address, ec);
    if (ec)
        return { HttpOutcome::NotSent, 0, {}, {}, fmt::format("{} is not a numeric IP address", endpoint.address) };
    Exchange exchange(endpoint, request);
    return exchange.run({ address, endpoint.port }, timeout);
}

} // namespace curranttrail
