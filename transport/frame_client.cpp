#include "core/random.h"
#include "transport/event_loop.h"
#include "transport/frame_connection.h"
#include "transport/frame_events.h"
#include "transport/frame_link.h"

#include <boost/asio/ip/address.hpp>

#include <boost/random/uniform_int_distribution.hpp>

#include <atomic>
#include <map>
#include <random>

namespace curranttrail::transport {

namespace asio = boost::asio;
using asio::ip::tcp;

struct FrameClient::Implementation : std::enable_shared_from_this<FrameClient::Implementation> {
    struct Pending {
        std::uint16_t type = 0;
        // Empty once the request has been passed to a connection.
        std::string body;
        RequestCallback callback;
        std::unique_ptr<asio::steady_timer> timeoutTimer;
        bool passedToConnection = false;
        bool written = false;
    };

    Implementation(EventLoop& loop, LinkOptions linkOptions, const std::string& address, std::uint16_t port)
        : context(loop.implementation().context)
        , options(std::make_shared<const LinkOptions>(std::move(linkOptions)))
        , reconnectTimer(context)
        , connectTimeout(context)
        , random(std::random_device {}())
    {
        boost::system::error_code ec;
        endpoint = { asio::ip::make_address(address, ec), port };
    }

    void connect();
    void connected(const std::shared_ptr<tcp::socket>& socket, boost::system::error_code ec);
    void opened(const InstanceName& name);
    void received(const FrameHeader& header, std::string body);
    void handleDisconnect(std::string_view reason);
    void scheduleReconnect();
    void begin(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback);
    void sendPending(std::uint64_t correlation, Pending& pending);
    void complete(std::uint64_t correlation, std::optional<std::string> answer);
    void completeAll();
    void stop();
    void log(const EventDescription& description, std::string_view reason) const;

    asio::io_context& context;
    std::shared_ptr<const LinkOptions> options;
    tcp::endpoint endpoint;
    std::shared_ptr<FrameConnection> connection;
    asio::steady_timer reconnectTimer;
    asio::steady_timer connectTimeout;
    Random random;
    InstanceName peer;
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t lastCorrelation = 0;
    unsigned consecutiveFailures = 0;
    std::atomic<bool> open { false };
    bool stopped = false;
};

void FrameClient::Implementation::connect()
{
    if (stopped)
        return;
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(context);
    connectTimeout.expires_after(options->connectTimeout);
    connectTimeout.async_wait([socket](boost::system::error_code ec) {
        boost::system::error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    socket->async_connect(endpoint, [self = shared_from_this(), socket](boost::system::error_code ec) {
        self->connectTimeout.cancel();
        self->connected(socket, ec);
    });
}

void FrameClient::Implementation::connected(const std::shared_ptr<tcp::socket>& socket, boost::system::error_code ec)
{
    if (stopped)
        return;
    if (ec || !socket->is_open()) {
        handleDisconnect(ec.message());
        return;
    }
    const std::weak_ptr<Implementation> weak = weak_from_this();
    FrameConnection::Handlers handlers;
    handlers.opened = [weak](const InstanceName& name) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->opened(name);
    };
    handlers.received = [weak](const FrameHeader& header, std::string body) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->received(header, std::move(body));
    };
    handlers.closed = [weak](std::string_view reason) {
        if (const std::shared_ptr<Implementation> self = weak.lock())
            self->handleDisconnect(reason);
    };
    connection = std::make_shared<FrameConnection>(std::move(*socket), LinkSide::Client, options, std::move(handlers));
    connection->start();
}

void FrameClient::Implementation::opened(const InstanceName& name)
{
    peer = name;
    consecutiveFailures = 0;
    open = true;
    log(kLinkUp, "connected");
    for (auto& [correlation, waiting] : pending)
        sendPending(correlation, waiting);
}

void FrameClient::Implementation::received(const FrameHeader& header, std::string body)
{
    // A reply to a request that has already timed out is ignored.
    if (header.kind == FrameKind::Reply)
        complete(header.correlation, std::move(body));
}

void FrameClient::Implementation::handleDisconnect(std::string_view reason)
{
    if (stopped)
        return;
    // Only the first of several consecutive failures is logged, so that a long outage of the server does not flood the log.
    if (open || consecutiveFailures == 0)
        log(kLinkDown, reason);
    open = false;
    connection.reset();
    ++consecutiveFailures;
    completeAll();
    scheduleReconnect();
}

void FrameClient::Implementation::scheduleReconnect()
{
    const unsigned doublings = std::min(consecutiveFailures - 1, 10U);
    const std::chrono::milliseconds maximumDelay = std::min(options->maximumBackoff, options->minimumBackoff * (1U << doublings));
    boost::random::uniform_int_distribution<std::int64_t> jitter(maximumDelay.count() / 2, maximumDelay.count());
    reconnectTimer.expires_after(std::chrono::milliseconds { jitter(random) });
    reconnectTimer.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->connect();
    });
}

void FrameClient::Implementation::begin(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback)
{
    if (stopped || body.size() > options->maximumBodyBytes) {
        callback({ RequestStatus::NotSent, {} });
        return;
    }
    const std::uint64_t correlation = ++lastCorrelation;
    Pending& entry = pending[correlation];
    entry.type = type;
    entry.body = std::move(body);
    entry.callback = std::move(callback);
    entry.timeoutTimer = std::make_unique<asio::steady_timer>(context, timeout);
    entry.timeoutTimer->async_wait([weak = weak_from_this(), correlation](boost::system::error_code ec) {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (self && !ec)
            self->complete(correlation, std::nullopt);
    });
    if (open)
        sendPending(correlation, entry);
}

void FrameClient::Implementation::sendPending(std::uint64_t correlation, Pending& entry)
{
    if (entry.passedToConnection)
        return;
    entry.passedToConnection = true;
    connection->send(FrameKind::Request, entry.type, correlation, std::move(entry.body), [weak = weak_from_this(), correlation] {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (!self)
            return;
        const auto it = self->pending.find(correlation);
        if (it != self->pending.end())
            it->second.written = true;
    });
}

void FrameClient::Implementation::complete(std::uint64_t correlation, std::optional<std::string> answer)
{
    const auto it = pending.find(correlation);
    if (it == pending.end())
        return;
    const Pending done = std::move(it->second);
    pending.erase(it);
    if (answer) {
        done.callback({ RequestStatus::Answered, std::move(*answer) });
        return;
    }
    // A request in a connection's send queue may still be written after its timeout, so its outcome is unknown as well.
    done.callback({ done.passedToConnection ? RequestStatus::Unknown : RequestStatus::NotSent, {} });
}

void FrameClient::Implementation::completeAll()
{
    // Callbacks may begin new requests, which must wait for the next connection.
    const std::map<std::uint64_t, Pending> ended = std::move(pending);
    pending.clear();
    for (const auto& [correlation, entry] : ended)
        entry.callback({ entry.written ? RequestStatus::Unknown : RequestStatus::NotSent, {} });
}

void FrameClient::Implementation::stop()
{
    stopped = true;
    open = false;
    reconnectTimer.cancel();
    connectTimeout.cancel();
    if (connection)
        connection->close("client stopped");
    connection.reset();
    completeAll();
}

void FrameClient::Implementation::log(const EventDescription& description, std::string_view reason) const
{
    if (!options->log)
        return;
    options->log({ &description,
        { { "peer", peer }, { "side", "client" }, { "address", endpoint.address().to_string() }, { "port", std::to_string(endpoint.port()) },
            { "reason", std::string { reason } } } });
}

FrameClient::FrameClient(EventLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port)
    : m_loop(loop)
    , m_implementation(std::make_shared<Implementation>(loop, std::move(options), address, port))
{
    m_loop.post([implementation = m_implementation] { implementation->connect(); });
}

FrameClient::~FrameClient()
{
    m_loop.runAndWait([this] { m_implementation->stop(); });
}

void FrameClient::request(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback)
{
    m_loop.post([implementation = m_implementation, type, body = std::move(body), timeout, callback = std::move(callback)]() mutable {
        implementation->begin(type, std::move(body), timeout, std::move(callback));
    });
}

void FrameClient::send(std::uint16_t type, std::string body)
{
    m_loop.post([implementation = m_implementation, type, body = std::move(body)]() mutable {
        if (implementation->open && implementation->connection)
            implementation->connection->send(FrameKind::OneWay, type, 0, std::move(body));
    });
}

bool FrameClient::connected() const
{
    return m_implementation->open;
}

} // namespace curranttrail::transport
