#include "tests/stand_ins/dribbling_server.h"

#include "platform/http_names.h"
#include "tests/stand_ins/stamped_servers.h"

#include <boost/asio.hpp>
#include <fmt/format.h>

#include <utility>

namespace curranttrail::stand_ins {

namespace asio = boost::asio;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

struct DribblingServer::Connection {
    explicit Connection(Tcp::socket accepted)
        : socket(std::move(accepted))
        , timer(socket.get_executor())
    {
    }

    Tcp::socket socket;
    asio::steady_timer timer;
    std::string request;
    // The rest of the answer.
    std::string output;
};

DribblingServer::DribblingServer(std::string collection, AnswerFraming framing, Micros byteInterval)
    : m_collection(std::move(collection))
    , m_framing(framing)
    , m_byteInterval(byteInterval)
    , m_acceptor(m_context, Tcp::endpoint { asio::ip::address_v4::loopback(), 0 })
{
    accept();
    m_thread = std::thread([this] { m_context.run(); });
}

DribblingServer::~DribblingServer()
{
    m_context.stop();
    m_thread.join();
}

std::string DribblingServer::address() const { return fmt::format("127.0.0.1:{}", m_acceptor.local_endpoint().port()); }

void DribblingServer::accept()
{
    m_acceptor.async_accept([this](const error_code& ec, Tcp::socket socket) {
        if (!ec)
            read(std::make_shared<Connection>(std::move(socket)));
        accept();
    });
}

void DribblingServer::read(const std::shared_ptr<Connection>& connection)
{
    asio::async_read_until(connection->socket, asio::dynamic_buffer(connection->request), "\r\n\r\n", [this, connection](const error_code& ec, std::size_t size) {
        if (ec)
            return;
        connection->output = answerTo(connection->request.substr(0, size));
        connection->request.erase(0, size);
        write(connection);
    });
}

void DribblingServer::write(const std::shared_ptr<Connection>& connection)
{
    if (connection->output.empty()) {
        if (m_framing != AnswerFraming::UntilClose)
            read(connection);
        return;
    }
    connection->timer.expires_after(m_byteInterval);
    connection->timer.async_wait([this, connection](const error_code&) {
        error_code ec;
        asio::write(connection->socket, asio::buffer(connection->output.data(), 1), ec);
        connection->output.erase(0, 1);
        if (!ec)
            write(connection);
    });
}

std::string DribblingServer::answerTo(const std::string& request) const
{
    const std::string prefix = fmt::format("{}: ", platform::kRequestIdField);
    const std::size_t begin = request.find(prefix) + prefix.size();
    const std::string id = request.substr(begin, request.find("\r\n", begin) - begin);
    const std::string body = StampedServers::recordsOf(m_collection, id);
    const std::string head = fmt::format("HTTP/1.1 200 OK\r\n{}: {}\r\n{}: {}||{}\r\n", platform::kRequestIdField, id, platform::kServerStampField, m_collection, id);
    if (m_framing == AnswerFraming::Length)
        return fmt::format("{}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
    if (m_framing == AnswerFraming::Chunked)
        return fmt::format("{}Transfer-Encoding: chunked\r\n\r\n{:x}\r\n{}\r\n0\r\n\r\n", head, body.size(), body);
    return fmt::format("{}Connection: close\r\n\r\n{}", head, body);
}

} // namespace curranttrail::stand_ins
