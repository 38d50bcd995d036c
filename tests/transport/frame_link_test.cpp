#include "transport/frame_format.h"
#include "transport/frame_link.h"

#include <boost/asio.hpp>
#include <boost/test/unit_test.hpp>

#include <cerrno>
#include <condition_variable>
#include <future>
#include <mutex>

using namespace curranttrail;
using namespace curranttrail::transport;
namespace asio = boost::asio;
using asio::ip::tcp;

namespace {

const std::string kKey(40, 'k');
constexpr std::chrono::seconds kTestTimeout { 10 };

LinkOptions optionsFor(const std::string& name, const std::string& key = kKey)
{
    LinkOptions options;
    options.name = name;
    options.clusterKey = key;
    options.maximumBodyBytes = 4096;
    options.handshakeTimeout = std::chrono::milliseconds { 300 };
    options.frameTimeout = std::chrono::milliseconds { 300 };
    return options;
}

// A server that echoes requests and counts the messages passed to its handler.
struct Echo {
    explicit Echo(LinkOptions options = optionsFor("server"))
        : server(loop, std::move(options), "127.0.0.1", 0, [this](const IncomingFrame& frame, const FrameResponder& respond) {
            ++handled;
            lastFrom = frame.from;
            if (respond)
                respond(frame.body);
        })
    {
    }

    EventLoop loop;
    std::atomic<int> handled { 0 };
    std::string lastFrom;
    FrameServer server;
};

RequestResult ask(FrameClient& client, const std::string& body, Micros timeout = kTestTimeout)
{
    std::promise<RequestResult> promise;
    client.request(7, body, timeout, [&](RequestResult result) { promise.set_value(std::move(result)); });
    return promise.get_future().get();
}

// A client that implements the protocol step by step, so that a test can violate any part of it.
struct RawClient {
    explicit RawClient(std::uint16_t port)
    {
        socket.connect({ asio::ip::make_address("127.0.0.1"), port });
    }

    void performHandshake(const std::string& key = kKey)
    {
        Hello own;
        own.nonce = makeNonce();
        own.name = "raw";
        write(encodeHello(own));
        const std::string start = read(kHelloFixedBytes);
        Hello server = decodeHelloStart(start).value();
        server.name = read(helloNameLength(start));
        const LinkKeys keys = deriveKeys(key, own, server);
        read(kHmacBytes);
        write(keys.clientProof);
        authenticator.emplace(keys.clientToServer);
    }

    std::string frame(const std::string& body)
    {
        const std::string header = encodeHeader({ static_cast<std::uint32_t>(body.size()), FrameKind::OneWay, 1, 0, 0 });
        return header + body + authenticator->nextTag(header, body);
    }

    void write(const std::string& bytes) { asio::write(socket, asio::buffer(bytes)); }

    std::string read(std::size_t size)
    {
        std::string bytes(size, '\0');
        asio::read(socket, asio::buffer(bytes));
        return bytes;
    }

    // Reads until the server closes the connection. If it never does, the test times out.
    bool closedByServer()
    {
        boost::system::error_code ec;
        std::string rest(1024, '\0');
        while (!ec)
            socket.read_some(asio::buffer(rest), ec);
        return true;
    }

    asio::io_context context;
    tcp::socket socket { context };
    std::optional<FrameAuthenticator> authenticator;
};

} // namespace

BOOST_AUTO_TEST_SUITE(FrameLinks)

// Guards against replies that complete the wrong request.
BOOST_AUTO_TEST_CASE(RepliesMatchTheirRequests)
{
    Echo echo;
    FrameClient client(echo.loop, optionsFor("client"), "127.0.0.1", echo.server.port());
    std::vector<std::future<std::string>> answers;
    for (int i = 0; i < 200; ++i) {
        const std::shared_ptr<std::promise<std::string>> promise = std::make_shared<std::promise<std::string>>();
        answers.push_back(promise->get_future());
        client.request(7, std::to_string(i), kTestTimeout, [promise](const RequestResult& result) { promise->set_value(result.body); });
    }
    for (int i = 0; i < 200; ++i)
        BOOST_TEST(answers[i].get() == std::to_string(i));
    BOOST_TEST(echo.lastFrom == "client");
}

// Guards against accepting a peer without the cluster key, and against reporting its request as sent.
BOOST_AUTO_TEST_CASE(WrongClusterKeyIsRefusedByBothPeers)
{
    Echo echo;
    FrameClient client(echo.loop, optionsFor("client", std::string(40, 'x')), "127.0.0.1", echo.server.port());
    BOOST_TEST((ask(client, "hello").status == RequestStatus::NotSent));
    RawClient raw(echo.server.port());
    raw.performHandshake(std::string(40, 'x'));
    BOOST_TEST(raw.closedByServer());
    BOOST_TEST(echo.handled == 0);
}

// Guards against handling a replayed frame.
BOOST_AUTO_TEST_CASE(ReplayedFrameClosesTheConnection)
{
    Echo echo;
    RawClient raw(echo.server.port());
    raw.performHandshake();
    const std::string frame = raw.frame("once");
    raw.write(frame + frame);
    BOOST_TEST(raw.closedByServer());
    BOOST_TEST(echo.handled == 1);
}

// Guards against accepting a frame that was modified in transit, or that belongs to another connection.
BOOST_AUTO_TEST_CASE(ModifiedOrForeignFrameIsNotHandled)
{
    Echo echo;
    for (std::size_t position : { std::size_t { 5 }, std::size_t { 15 }, kHeaderBytes, kHeaderBytes + 8 }) {
        RawClient raw(echo.server.port());
        raw.performHandshake();
        std::string frame = raw.frame("12345678");
        frame[position] = static_cast<char>(frame[position] ^ 1);
        raw.write(frame);
        BOOST_TEST(raw.closedByServer());
    }
    RawClient first(echo.server.port());
    RawClient second(echo.server.port());
    first.performHandshake();
    second.performHandshake();
    second.write(first.frame("foreign"));
    BOOST_TEST(second.closedByServer());
    BOOST_TEST(echo.handled == 0);
}

// Guards against allocating memory for an untrusted length.
BOOST_AUTO_TEST_CASE(OversizedOrMalformedFrameIsRejectedByItsHeader)
{
    Echo echo;
    RawClient large(echo.server.port());
    large.performHandshake();
    large.write(encodeHeader({ UINT32_MAX, FrameKind::OneWay, 1, 0, 0 }));
    BOOST_TEST(large.closedByServer());
    RawClient noise(echo.server.port());
    noise.write(std::string(kHelloFixedBytes, 'z'));
    BOOST_TEST(noise.closedByServer());
    FrameClient client(echo.loop, optionsFor("client"), "127.0.0.1", echo.server.port());
    BOOST_TEST((ask(client, std::string(5000, 'a')).status == RequestStatus::NotSent));
    BOOST_TEST((ask(client, std::string(4096, 'a')).status == RequestStatus::Answered));
}

// Guards against a peer that occupies a connection by sending only part of a handshake or a frame.
BOOST_AUTO_TEST_CASE(SlowPeerIsDisconnected)
{
    Echo echo;
    RawClient silent(echo.server.port());
    BOOST_TEST(silent.closedByServer());
    RawClient partial(echo.server.port());
    partial.performHandshake();
    partial.write(partial.frame("cut off").substr(0, 30));
    BOOST_TEST(partial.closedByServer());
    BOOST_TEST(echo.handled == 0);
}

// Guards against keeping an unresponsive connection open, and against reporting its request as not sent.
BOOST_AUTO_TEST_CASE(UnresponsiveServerIsDisconnectedAndRequestIsUnknown)
{
    LinkOptions serverOptions = optionsFor("server");
    serverOptions.maximumUnansweredRequests = 1;
    EventLoop loop;
    std::vector<FrameResponder> held;
    std::atomic<int> up { 0 };
    FrameServer server(loop, serverOptions, "127.0.0.1", 0, [&](const IncomingFrame&, const FrameResponder& respond) { held.push_back(respond); });
    LinkOptions options = optionsFor("client");
    options.keepAliveInterval = std::chrono::milliseconds { 50 };
    options.receiveTimeout = std::chrono::milliseconds { 200 };
    std::promise<void> again;
    options.log = [&](const LogEvent& event) {
        if (event.description->name == "link_up" && ++up == 2)
            again.set_value();
    };
    FrameClient client(loop, options, "127.0.0.1", server.port());
    BOOST_TEST((ask(client, "never answered").status == RequestStatus::Unknown));
    BOOST_TEST((again.get_future().wait_for(kTestTimeout) == std::future_status::ready));
}

// Guards against a receive timeout on a connection whose frequent one-way messages, which get no reply, suppress the pings.
BOOST_AUTO_TEST_CASE(OneWayTrafficKeepsTheConnectionOpen)
{
    EventLoop loop;
    std::atomic<int> received { 0 };
    std::atomic<int> downs { 0 };
    FrameServer server(loop, optionsFor("server"), "127.0.0.1", 0, [&](const IncomingFrame&, const FrameResponder&) { ++received; });
    LinkOptions options = optionsFor("client");
    options.keepAliveInterval = std::chrono::milliseconds { 200 };
    options.receiveTimeout = std::chrono::milliseconds { 1'000 };
    options.log = [&](const LogEvent& event) { downs += event.description->name == "link_down" ? 1 : 0; };
    FrameClient client(loop, options, "127.0.0.1", server.port());
    for (int n = 0; n < 50; ++n) {
        client.send(1, "heartbeat");
        std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
    }
    BOOST_TEST(received > 0);
    BOOST_TEST(downs == 0);
}

// Guards against a client that keeps waiting for an unanswered connect although its server is available again.
BOOST_AUTO_TEST_CASE(UnansweredConnectIsRetried)
{
    EventLoop loop;
    LinkOptions options = optionsFor("client");
    options.connectTimeout = std::chrono::milliseconds { 50 };
    options.minimumBackoff = options.maximumBackoff = std::chrono::milliseconds { 10 };
    // A listener with a full accept queue drops further connection requests.
    boost::asio::io_context context;
    boost::asio::ip::tcp::acceptor full(context, { boost::asio::ip::address_v4::loopback(), 0 }, false);
    full.listen(0);
    std::vector<boost::asio::ip::tcp::socket> queue;
    for (int n = 0; n < 4; ++n) {
        boost::asio::ip::tcp::socket& socket = queue.emplace_back(context);
        socket.open(boost::asio::ip::tcp::v4());
        socket.native_non_blocking(true);
        // asio's connect() waits for completion, which never happens once the queue is full.
        const boost::asio::ip::tcp::endpoint target = full.local_endpoint();
        BOOST_TEST((::connect(socket.native_handle(), target.data(), static_cast<socklen_t>(target.size())) == 0 || errno == EINPROGRESS));
    }
    std::promise<void> up;
    std::atomic<bool> seen { false };
    options.log = [&](const LogEvent& event) {
        if (event.description->name == "link_up" && !seen.exchange(true))
            up.set_value();
    };
    const std::uint16_t port = full.local_endpoint().port();
    FrameClient client(loop, options, "127.0.0.1", port);
    std::this_thread::sleep_for(std::chrono::milliseconds { 200 });
    queue.clear();
    full.close();
    FrameServer server(loop, optionsFor("server"), "127.0.0.1", port, [](const IncomingFrame&, const FrameResponder&) {});
    // The operating system retransmits the connection request after one second, then after two more, so a connection within
    // 700 ms results from the client's retry.
    BOOST_TEST((up.get_future().wait_for(std::chrono::milliseconds { 700 }) == std::future_status::ready));
}

// Guards against a crash in the destructor of a server: the entry of a connection that closed just as its handshake
// completed was created again, without a connection.
BOOST_AUTO_TEST_CASE(HandshakeLongerThanReceiveTimeoutLeavesNoStaleConnection)
{
    LinkOptions options = optionsFor("server");
    options.handshakeTimeout = kTestTimeout;
    options.keepAliveInterval = std::chrono::milliseconds { 50 };
    options.receiveTimeout = std::chrono::milliseconds { 50 };
    std::optional<Echo> echo;
    echo.emplace(options);
    RawClient late(echo->server.port());
    // When this connection has been closed, the receive timeout has also expired for the other one.
    RawClient idle(echo->server.port());
    idle.performHandshake();
    BOOST_TEST(idle.closedByServer());
    late.performHandshake();
    late.write(late.frame("hello"));
    BOOST_TEST(late.closedByServer());
    BOOST_TEST(echo->handled == 1);
    echo.reset();
}

// Guards against a client that does not reconnect after its server was down.
BOOST_AUTO_TEST_CASE(ClientReconnectsAfterServerRestart)
{
    EventLoop loop;
    const FrameHandler echo = [](const IncomingFrame& frame, const FrameResponder& respond) { respond(frame.body); };
    std::unique_ptr<FrameServer> server = std::make_unique<FrameServer>(loop, optionsFor("server"), "127.0.0.1", 0, echo);
    const std::uint16_t port = server->port();
    FrameClient client(loop, optionsFor("client"), "127.0.0.1", port);
    BOOST_TEST((ask(client, "a").status == RequestStatus::Answered));
    server.reset();
    BOOST_TEST((ask(client, "b").status != RequestStatus::Answered));
    server = std::make_unique<FrameServer>(loop, optionsFor("server"), "127.0.0.1", port, echo);
    RequestResult result;
    for (int tries = 0; tries < 50 && result.status != RequestStatus::Answered; ++tries)
        result = ask(client, "c");
    BOOST_TEST(result.body == "c");
}

// Guards against lost causal order: the receiver must observe the stamp that the sender set on the frame.
BOOST_AUTO_TEST_CASE(EachFrameCarriesTheSendersStamp)
{
    std::atomic<std::uint64_t> seen { 0 };
    LinkOptions serverOptions = optionsFor("server");
    serverOptions.observe = [&](std::uint64_t stamp) { seen = stamp; };
    Echo echo(serverOptions);
    LinkOptions options = optionsFor("client");
    options.stamp = [] { return 4711; };
    FrameClient client(echo.loop, options, "127.0.0.1", echo.server.port());
    ask(client, "stamped");
    BOOST_TEST(seen == 4711);
}

BOOST_AUTO_TEST_SUITE_END()
