#include "core/random.h"
#include "transport/frame_connection.h"
#include "transport/frame_events.h"
#include "transport/frame_link.h"
#include "transport/frame_loop.h"

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
        // Held until the request is handed to a connection.
        std::string body;
        RequestCallback callback;
        std::unique_ptr<asio::steady_timer> limit;
        bool handedOver = false;
        bool written = false;
    };

    Implementation(FrameLoop& loop, LinkOptions linkOptions, const std::string& address, std::uint16_t port)
        : context(loop.implementation().context)
        , options(std::make_shared<const LinkOptions>(std::move(linkOptions)))
        , pause(context)
        , connectLimit(context)
        , random(std::random_device {}())
    {
        boost::system::error_code ec;
        endpoint = { asio::ip::make_address(address, ec), port };
    }

    void connect();
    void connected(const std::shared_ptr<tcp::socket>& socket, boost::system::error_code ec);
    void opened(const InstanceName& name);
    void received(const FrameHeader& header, std::string body);
    void lost(std::string_view reason);
    void connectAgainLater();
    void begin(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback);
    void handOver(std::uint64_t correlation, Pending& pending);
    void complete(std::uint64_t correlation, std::optional<std::string> answer);
    void completeAll();
    void stop();
    void log(const EventDescription& description, std::string_view reason) const;

    asio::io_context& context;
    std::shared_ptr<const LinkOptions> options;
    tcp::endpoint endpoint;
    std::shared_ptr<FrameConnection> connection;
    asio::steady_timer pause;
    asio::steady_timer connectLimit;
    Random random;
    InstanceName peer;
    std::map<std::uint64_t, Pending> pending;
    std::uint64_t lastCorrelation = 0;
    unsigned failures = 0;
    std::atomic<bool> open { false };
    bool stopped = false;
};

void FrameClient::Implementation::connect()
{
    if (stopped)
        return;
    const std::shared_ptr<tcp::socket> socket = std::make_shared<tcp::socket>(context);
    connectLimit.expires_after(options->connectLimit);
    connectLimit.async_wait([socket](boost::system::error_code ec) {
        boost::system::error_code ignored;
        if (!ec)
            socket->close(ignored);
    });
    socket->async_connect(endpoint, [self = shared_from_this(), socket](boost::system::error_code ec) {
        self->connectLimit.cancel();
        self->connected(socket, ec);
    });
}

void FrameClient::Implementation::connected(const std::shared_ptr<tcp::socket>& socket, boost::system::error_code ec)
{
    if (stopped)
        return;
    if (ec || !socket->is_open()) {
        lost(ec.message());
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
            self->lost(reason);
    };
    connection = std::make_shared<FrameConnection>(std::move(*socket), LinkSide::Client, options, std::move(handlers));
    connection->start();
}

void FrameClient::Implementation::opened(const InstanceName& name)
{
    peer = name;
    failures = 0;
    open = true;
    log(kLinkUp, "connected");
    for (auto& [correlation, waiting] : pending)
        handOver(correlation, waiting);
}

void FrameClient::Implementation::received(const FrameHeader& header, std::string body)
{
    // The answer to a request that has timed out finds nothing here and is dropped.
    if (header.kind == FrameKind::Reply)
        complete(header.correlation, std::move(body));
}

void FrameClient::Implementation::lost(std::string_view reason)
{
    if (stopped)
        return;
    // A server that is down for long would fill the log with failed attempts; only the first is reported.
    if (open || failures == 0)
        log(kLinkDown, reason);
    open = false;
    connection.reset();
    ++failures;
    completeAll();
    connectAgainLater();
}

void FrameClient::Implementation::connectAgainLater()
{
    const unsigned doublings = std::min(failures - 1, 10U);
    const std::chrono::milliseconds most = std::min(options->mostBackoff, options->leastBackoff * (1U << doublings));
    boost::random::uniform_int_distribution<std::int64_t> jitter(most.count() / 2, most.count());
    pause.expires_after(std::chrono::milliseconds { jitter(random) });
    pause.async_wait([self = shared_from_this()](boost::system::error_code ec) {
        if (!ec)
            self->connect();
    });
}

void FrameClient::Implementation::begin(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback)
{
    if (stopped || body.size() > options->maximumBody) {
        callback({ RequestStatus::NotSent, {} });
        return;
    }
    const std::uint64_t correlation = ++lastCorrelation;
    Pending& entry = pending[correlation];
    entry.type = type;
    entry.body = std::move(body);
    entry.callback = std::move(callback);
    entry.limit = std::make_unique<asio::steady_timer>(context, timeout);
    entry.limit->async_wait([weak = weak_from_this(), correlation](boost::system::error_code ec) {
        const std::shared_ptr<Implementation> self = weak.lock();
        if (self && !ec)
            self->complete(correlation, std::nullopt);
    });
    if (open)
        handOver(correlation, entry);
}

void FrameClient::Implementation::handOver(std::uint64_t correlation, Pending& entry)
{
    if (entry.handedOver)
        return;
    entry.handedOver = true;
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
    // A request that waits in a connection's queue may still be written after its time-out, so it counts as unknown too.
    done.callback({ done.handedOver ? RequestStatus::Unknown : RequestStatus::NotSent, {} });
}

void FrameClient::Implementation::completeAll()
{
    // The callbacks may begin new requests, which belong to the next connection.
    const std::map<std::uint64_t, Pending> ended = std::move(pending);
    pending.clear();
    for (const auto& [correlation, entry] : ended)
        entry.callback({ entry.written ? RequestStatus::Unknown : RequestStatus::NotSent, {} });
}

void FrameClient::Implementation::stop()
{
    stopped = true;
    open = false;
    pause.cancel();
    connectLimit.cancel();
    if (connection)
        connection->close("this side is stopping");
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

FrameClient::FrameClient(FrameLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port)
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
