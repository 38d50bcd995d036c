#include "transport/datagram_socket.h"

#include "transport/io_threads.h"

#include <boost/asio.hpp>

#include <mutex>
#include <stdexcept>
#include <vector>

namespace curranttrail::transport {

namespace asio = boost::asio;
using boost::system::error_code;
using Udp = asio::ip::udp;

class DatagramSocket::Impl : public std::enable_shared_from_this<DatagramSocket::Impl> {
public:
    Impl(asio::io_context& context, const Endpoint& bind, std::size_t maximumBytes, Handler handler)
        : m_socket(asio::make_strand(context))
        , m_buffer(maximumBytes + 1) // The extra byte reveals datagrams that exceed the limit.
        , m_handler(std::move(handler))
    {
        error_code ec;
        const Udp::endpoint endpoint { asio::ip::make_address(bind.address, ec), bind.port };
        m_socket.open(endpoint.protocol(), ec);
        if (!ec)
            m_socket.bind(endpoint, ec);
        if (!ec)
            m_socket.non_blocking(true, ec);
        if (ec)
            throw std::runtime_error("cannot bind UDP " + bind.text() + ": " + ec.message());
        m_port = m_socket.local_endpoint(ec).port();
    }

    void receive()
    {
        m_socket.async_receive_from(asio::buffer(m_buffer), m_from, [self = shared_from_this()](const error_code& ec, std::size_t n) {
            if (ec == asio::error::operation_aborted)
                return;
            // An error, such as "port unreachable" for an earlier send, does not affect later datagrams.
            if (!ec)
                self->m_handler({ self->m_from.address().to_string(), self->m_from.port() }, { self->m_buffer.data(), n });
            self->receive();
        });
    }

    void send(const Endpoint& to, const std::string& datagram)
    {
        error_code ec;
        const Udp::endpoint endpoint { asio::ip::make_address(to.address, ec), to.port };
        if (ec)
            return;
        const std::lock_guard lock(m_mutex);
        if (m_open)
            m_socket.send_to(asio::buffer(datagram), endpoint, 0, ec);
    }

    void close()
    {
        const std::lock_guard lock(m_mutex);
        m_open = false;
        asio::post(m_socket.get_executor(), [self = shared_from_this()] {
            error_code ec;
            self->m_socket.close(ec);
        });
    }

    std::uint16_t port() const { return m_port; }

private:
    Udp::socket m_socket;
    std::vector<char> m_buffer;
    Udp::endpoint m_from;
    Handler m_handler;
    std::uint16_t m_port = 0;
    std::mutex m_mutex;
    bool m_open = true;
};

DatagramSocket::DatagramSocket(IoThreads& threads, const Endpoint& bind, std::size_t maximumBytes, Handler handler)
    : m_impl(std::make_shared<Impl>(threads.context(), bind, maximumBytes, std::move(handler)))
{
    m_impl->receive();
}

DatagramSocket::~DatagramSocket()
{
    m_impl->close();
}

std::uint16_t DatagramSocket::port() const
{
    return m_impl->port();
}

void DatagramSocket::send(const Endpoint& to, const std::string& datagram)
{
    m_impl->send(to, datagram);
}

} // namespace curranttrail::transport
