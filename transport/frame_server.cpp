#include "transport/event_loop.h"
#include "transport/frame_connection.h"
#include "transport/frame_events.h"
#include "transport/frame_link.h"

#include <boost/asio/ip/address.hpp>

#include <fmt/format.h>

#include <atomic>
#include <map>
#include <stdexcept>

namespace curranttrail::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

struct FrameServer::Implementation : std::enable_shared_from_this<FrameServer::Implementation> {
    struct Link {
        std::shared_ptr<FrameConnection> connection;
        InstanceName peer;
        std::size_t unanswered = 0;
    };

    Implementation(EventLoop& loop, LinkOptions linkOptions, FrameHandler frameHandler)
        : context(loop.implementation().context)
        , acceptor(context)
        , options(std::make_shared<const LinkOptions>(std::move(linkOptions)))
        , handler(std::move(frameHandler))
    {
    }

    void listen(const std::string& address, std::uint16_t port);
    void accept();
    void add(tcp::socket socket);
    void opened(std::uint64_t id, const InstanceName& peer);
    void received(std::uint64_t id, const FrameHeader& header, std::string body);
    void answer(std::uint64_t id, const FrameHeader& header, std::string body);
    void closed(std::uint64_t id, std::string_view reason);
    void stop();
    void log(const EventDescription& description, const InstanceName& peer, std::string_view reason) const;

    asio::io_context& context;
    tcp::acceptor acceptor;
    std::shared_ptr<const LinkOptions> options;
    FrameHandler handler;
    std::map<std::uint64_t, Link> links;
    std::uint64_t lastLink = 0;
    std::uint16_t port = 0;
    std::atomic<std::size_t> count { 0 };
    bool stopped = false;
};

void FrameServer::Implementation::listen(const std::string& address, std::uint16_t wantedPort)
{
    boost::system::error_code ec;
    const asio::ip::address parsed = asio::ip::make_address(address, ec);
    if (ec)
        throw std::runtime_error(fmt::format("{} is not a numeric IP address", address));
    try {
        const tcp::endpoint endpoint { parsed, wantedPort };
        acceptor.open(endpoint.protocol());
        acceptor.set_option(tcp::acceptor::reuse_address(true));
        acceptor.bind(endpoint);
        acceptor.listen();
        port = acceptor.local_endpoint().port();
    } catch (const boost::system::system_error& e) {
        throw std::runtime_error(fmt::format("cannot listen on {}:{}: {}", address, wantedPort, e.code().message()));
    }
}

void FrameServer::Implementation::accept()
{
    acceptor.async_accept([self = shared_from_this()](boost::system::error_code ec, tcp::socket socket) {
        if (self->stopped)
            return;
        if (!ec)
            self->add(std::move(socket));
        if (ec == asio::error::no_descriptors) {
            // Accepting again immediately would busy-loop until a descriptor is free.
            std::shared_ptr<asio::steady_timer> pause = std::make_shared<asio::steady_timer>(self->context, std::chrono::milliseconds { 100 });
            pause->async_wait([self, pause](boost::system::error_code) {
                if (!self->stopped)
                    self->accept();
            });
            return;
        }
        self->accept();
    });
}

void FrameServer::Implementation::add(tcp::socket socket)
{
    if (links.size() >= options->maximumConnections) {
        log(kLinkRefused, {}, "connection limit reached");
        return;
    }
    const std::uint64_t id = ++lastLink;
    const std::weak_ptr<Implementation> weak = weak_from_this();
    FrameConnection::Handlers handlers;
    handlers.opened = [weak, id](const InstanceName& peer) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->opened(id, peer);
    };
    handlers.received = [weak, id](const FrameHeader& header, std::string body) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->received(id, header, std::move(body));
    };
    handlers.closed = [weak, id](std::string_view reason) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->closed(id, reason);
    };
    const std::shared_ptr<FrameConnection> connection
        = std::make_shared<FrameConnection>(std::move(socket), LinkSide::Server, options, std::move(handlers));
    links[id].connection = connection;
    count = links.size();
    connection->start();
}

void FrameServer::Implementation::opened(std::uint64_t id, const InstanceName& peer)
{
    const auto it = links.find(id);
    if (it == links.end())
        return;
    it->second.peer = peer;
    log(kLinkUp, peer, "accepted");
}

void FrameServer::Implementation::received(std::uint64_t id, const FrameHeader& header, std::string body)
{
    if (stopped)
        return;
    const auto it = links.find(id);
    if (it == links.end())
        return;
    Link& link = it->second;
    IncomingFrame frame { link.peer, header.type, std::move(body) };
    if (header.kind == FrameKind::OneWay) {
        handler(std::move(frame), {});
        return;
    }
    if (header.kind != FrameKind::Request) {
        link.connection->close("peer sent a reply without a request");
        return;
    }
    if (++link.unanswered >= options->maximumUnansweredRequests)
        link.connection->setReadPaused(true);
    const std::weak_ptr<Implementation> weak = weak_from_this();
    handler(std::move(frame), [weak, id, header, &ioContext = context](std::string reply) {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (!self)
            return;
        asio::post(ioContext, [self, id, header, reply = std::move(reply)]() mutable { self->answer(id, header, std::move(reply)); });
    });
}

void FrameServer::Implementation::answer(std::uint64_t id, const FrameHeader& header, std::string body)
{
    const auto it = links.find(id);
    if (it == links.end())
        return;
    --it->second.unanswered;
    it->second.connection->setReadPaused(false);
    it->second.connection->send(FrameKind::Reply, header.type, header.correlation, std::move(body));
}

void FrameServer::Implementation::closed(std::uint64_t id, std::string_view reason)
{
    const auto it = links.find(id);
    if (it == links.end())
        return;
    log(it->second.peer.empty() ? kLinkRefused : kLinkDown, it->second.peer, reason);
    links.erase(it);
    count = links.size();
}

void FrameServer::Implementation::stop()
{
    stopped = true;
    boost::system::error_code ec;
    acceptor.close(ec);
    const std::map<std::uint64_t, Link> closing = std::move(links);
    links.clear();
    for (const auto& [id, link] : closing)
        link.connection->close("server stopped");
}

void FrameServer::Implementation::log(const EventDescription& description, const InstanceName& peer, std::string_view reason) const
{
    if (options->log)
        options->log({ &description, { { "peer", peer }, { "side", "server" }, { "reason", std::string { reason } } } });
}

FrameServer::FrameServer(EventLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port, FrameHandler handler)
    : m_loop(loop)
    , m_implementation(std::make_shared<Implementation>(loop, std::move(options), std::move(handler)))
{
    m_implementation->listen(address, port);
    m_loop.post([implementation = m_implementation] { implementation->accept(); });
}

FrameServer::~FrameServer()
{
    m_loop.runAndWait([this] { m_implementation->stop(); });
}

std::uint16_t FrameServer::port() const
{
    return m_implementation->port;
}

std::size_t FrameServer::connections() const
{
    return m_implementation->count;
}

} // namespace curranttrail::transport
