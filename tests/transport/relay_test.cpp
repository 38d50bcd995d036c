#include "tests/stand_ins/raw_client.h"
#include "transport/raw_http_client.h"
#include "transport/raw_http_server.h"
#include "transport/relay_protocol.h"
#include "transport/relay_records.h"
#include "transport/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <array>
#include <chrono>
#include <csignal>
#include <optional>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>
#include <utility>

using namespace curranttrail;
using namespace curranttrail::transport;
using stand_ins::RawClient;
using stand_ins::RawServer;

namespace {

const std::string kKey = "key of this deployment";

const std::string kHeadWithoutLength = "HTTP/1.1 200 OK\r\nConnection: close\r\n\r\n";

// A relay in a process of its own, so that a test can kill it.
class RelayProcess {
public:
    RelayProcess()
    {
        std::array<int, 2> channel {};
        BOOST_REQUIRE(::pipe(channel.data()) == 0);
        m_process = ::fork();
        if (m_process == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            boost::asio::io_context context { 1 };
            const RelayServer relay(context, { "127.0.0.1", 0 }, kKey, [](const std::string&) { return true; });
            const std::uint16_t port = relay.port();
            if (::write(channel[1], &port, sizeof(port)) == sizeof(port))
                context.run();
            ::_exit(1);
        }
        BOOST_REQUIRE(m_process > 0);
        BOOST_REQUIRE(::read(channel[0], &m_port, sizeof(m_port)) == sizeof(m_port));
        ::close(channel[0]);
        ::close(channel[1]);
    }

    ~RelayProcess() { kill(); }
    RelayProcess(const RelayProcess&) = delete;
    RelayProcess& operator=(const RelayProcess&) = delete;

    std::uint16_t port() const { return m_port; }

    void kill()
    {
        if (m_process <= 0)
            return;
        ::kill(m_process, SIGKILL);
        ::waitpid(std::exchange(m_process, 0), nullptr, 0);
    }

private:
    pid_t m_process = 0;
    std::uint16_t m_port = 0;
};

// A server, a relay and a client in one event loop.
struct RelayFixture {
    RelayFixture()
        : server(context, { "127.0.0.1", 0 }, serverHandlers())
        , relay(context, { "127.0.0.1", 0 }, kKey, [this](const std::string&) { return isPermitted; })
        , client(context, clientHandlers())
    {
    }

    RawHttpServer::Handlers serverHandlers()
    {
        RawHttpServer::Handlers handlers;
        handlers.request = [this](ExchangeId exchange, const RawRequest& request, RawRequestInfo) {
            lastExchange = exchange;
            if (request.path() == "/echo")
                server.respond(exchange, { 200, {}, request.body });
            outcome = "arrived";
        };
        handlers.disconnected = [this](ExchangeId) { outcome = "server saw the end"; };
        return handlers;
    }

    RawHttpClient::Handlers clientHandlers()
    {
        RawHttpClient::Handlers handlers;
        handlers.opened = [this](ConnectionId) { outcome = "opened"; };
        handlers.disconnected = [this](ConnectionId, const std::string& reason) { outcome = "disconnected: " + reason; };
        handlers.relayFailed = [this](ConnectionId, const std::string& reason) { outcome = "relay failed: " + reason; };
        handlers.belongsToRequest = [](ConnectionId, const RawReply&) { return true; };
        handlers.replied = [this](ConnectionId, const RawReply& reply, bool) { outcome = "replied"; body = reply.body; };
        handlers.requestFailed = [this](ConnectionId, const std::string& reason) { outcome = "failed: " + reason; };
        return handlers;
    }

    // Runs the event loop until the outcome begins with the text. Returns false after 10 s.
    bool reaches(const std::string& text)
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
        while (!outcome.starts_with(text) && std::chrono::steady_clock::now() < deadline)
            context.run_one_for(std::chrono::milliseconds { 50 });
        return outcome.starts_with(text);
    }

    void open(const std::string& key = kKey, std::optional<std::uint16_t> port = {})
    {
        client.openThroughRelay({ 1 }, fmt::format("127.0.0.1:{}", port.value_or(server.port())), fmt::format("127.0.0.1:{}", relay.port()), key);
    }

    // Opens a connection to a server whose part the test plays, through the given relay, and sends a request on it.
    RawClient request(RawServer& rawServer, std::uint16_t relayPort)
    {
        client.openThroughRelay({ 1 }, fmt::format("127.0.0.1:{}", rawServer.port()), fmt::format("127.0.0.1:{}", relayPort), kKey);
        BOOST_TEST_REQUIRE(reaches("opened"), outcome);
        RawClient peer = rawServer.accept();
        client.send({ 1 }, "GET /report HTTP/1.1\r\nHost: x\r\n\r\n", true);
        settle();
        BOOST_TEST_REQUIRE(!peer.readMessage().empty());
        return peer;
    }

    // Runs the event loop for a time in which bytes on their way arrive.
    void settle()
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds { 100 };
        while (std::chrono::steady_clock::now() < deadline)
            context.run_one_for(std::chrono::milliseconds { 10 });
    }

    // Runs the event loop until the relay holds no connection. Returns false after 10 s.
    bool hasNoConnections()
    {
        const auto deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 10 };
        while (relay.connections() > 0 && std::chrono::steady_clock::now() < deadline)
            context.run_one_for(std::chrono::milliseconds { 50 });
        return relay.connections() == 0;
    }

    boost::asio::io_context context { 1 };
    bool isPermitted = true;
    std::string outcome;
    std::string body;
    ExchangeId lastExchange;
    RawHttpServer server;
    RelayServer relay;
    RawHttpClient client;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Relays)

BOOST_AUTO_TEST_CASE(RequestsAndRepliesPassUnchanged)
{
    RelayFixture fixture;
    fixture.open();
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    const std::string large(90'000, 'x');
    for (int n = 0; n < 3; ++n) {
        fixture.client.send({ 1 }, fmt::format("POST /echo HTTP/1.1\r\nHost: x\r\nContent-Length: {}\r\n\r\n{}", large.size(), large), true);
        BOOST_TEST_REQUIRE(fixture.reaches("replied"));
        BOOST_TEST(fixture.body == large);
        fixture.outcome.clear();
    }
    BOOST_TEST(fixture.relay.connections() == 1u);
}

// Guards against a server that goes on working for a caller who has left, and against an answer that breaks off and looks complete.
BOOST_AUTO_TEST_CASE(TheEndOfEitherSideIsPassedOn)
{
    RelayFixture fixture;
    fixture.open();
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.client.send({ 1 }, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n", true);
    BOOST_TEST_REQUIRE(fixture.reaches("arrived"));
    fixture.client.close({ 1 });
    BOOST_TEST(fixture.reaches("server saw the end"));
    BOOST_TEST(fixture.relay.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(RefusalsOfTheRelayAreNotThoseOfTheServer)
{
    RelayFixture fixture;
    fixture.open("another key");
    BOOST_TEST(fixture.reaches("relay failed: refused with status 403"));
    fixture.isPermitted = false;
    fixture.open();
    BOOST_TEST(fixture.reaches("relay failed: refused with status 503"));
    fixture.isPermitted = true;
    fixture.open(kKey, 1);
    BOOST_TEST(fixture.reaches("disconnected: the server cannot be reached"));
    fixture.client.openThroughRelay({ 2 }, "127.0.0.1:1", "127.0.0.1:1", kKey);
    BOOST_TEST(fixture.reaches("relay failed: Connection refused"));
}

// Another instance goes on sending requests through a connection whose server gets none any more. Guards against requests that reach the
// server, and against a request that is cut off while the server works on it.
BOOST_AUTO_TEST_CASE(AServerThatGetsNoMoreRequestsFinishesTheRunningOne)
{
    RelayFixture fixture;
    bool mayRequest = true;
    fixture.relay.setRequestPermission([&](const std::string&) { return mayRequest; });
    fixture.open();
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.client.send({ 1 }, "GET /wait HTTP/1.1\r\nHost: x\r\n\r\n", true);
    BOOST_TEST_REQUIRE(fixture.reaches("arrived"));
    mayRequest = false;
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.relay.connections() == 1u);
    fixture.server.respond(fixture.lastExchange, { 200, {}, "done" });
    BOOST_TEST_REQUIRE(fixture.reaches("replied"));
    BOOST_TEST(fixture.body == "done");
    BOOST_TEST(fixture.hasNoConnections());

    // The instance has not been told.
    mayRequest = true;
    fixture.open();
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.client.send({ 1 }, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", true);
    BOOST_TEST_REQUIRE(fixture.reaches("replied"));
    mayRequest = false;
    const ExchangeId last = fixture.lastExchange;
    fixture.client.send({ 1 }, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", true);
    fixture.outcome.clear();
    BOOST_TEST(fixture.reaches("failed"), fixture.outcome);
    BOOST_TEST(fixture.relay.connections() == 0u);
    BOOST_TEST((fixture.lastExchange == last));

    mayRequest = true;
    fixture.client.openThroughRelay({ 2 }, fmt::format("127.0.0.1:{}", fixture.server.port()), fmt::format("127.0.0.1:{}", fixture.relay.port()), kKey);
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.relay.connections() == 1u);
    mayRequest = false;
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.relay.connections() == 0u);
}

// Guards against half of an answer without a length that looks whole because the process of the relay has ended.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsIncompleteIfTheRelayIsKilled)
{
    for (const std::string& sent : { kHeadWithoutLength, kHeadWithoutLength + "half of the answer" }) {
        RelayProcess killed;
        RelayFixture fixture;
        RawServer server;
        RawClient peer = fixture.request(server, killed.port());
        peer.send(sent);
        fixture.settle();
        killed.kill();
        BOOST_TEST(fixture.reaches("failed: the relay closed the connection"), fixture.outcome << " " << fixture.body);
    }
}

// Guards against an instance that cannot reach its servers and loses all answers without a length.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsWholeIfTheServerClosesInOrder)
{
    RelayProcess process;
    RelayFixture fixture;
    RawServer server;
    const std::string body(300'000, 'x');
    RawClient peer = fixture.request(server, process.port());
    peer.send(kHeadWithoutLength);
    fixture.settle();
    peer.send(body);
    peer.close();
    BOOST_TEST_REQUIRE(fixture.reaches("replied"), fixture.outcome);
    BOOST_TEST((fixture.body == body));
}

// Guards against half of an answer that looks whole because the server has reset the connection behind the relay.
BOOST_AUTO_TEST_CASE(AnAnswerWithoutALengthIsIncompleteIfTheServerResets)
{
    RelayProcess process;
    RelayFixture fixture;
    RawServer server;
    RawClient peer = fixture.request(server, process.port());
    peer.send(kHeadWithoutLength + "half of the answer");
    fixture.settle();
    peer.close(true);
    BOOST_TEST(fixture.reaches("failed"), fixture.outcome);
}

// A relay of an earlier build passes on mere bytes. Guards against half an answer that looks whole, and against answers with a length
// that are lost during a replacement.
BOOST_AUTO_TEST_CASE(AnEarlierRelaysEndDoesNotCompleteAnAnswer)
{
    const std::string withLength = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    for (const std::string& answer : { kHeadWithoutLength + "half of the answer", withLength }) {
        RelayFixture fixture;
        RawServer earlierRelay;
        fixture.client.openThroughRelay({ 1 }, "127.0.0.1:1", fmt::format("127.0.0.1:{}", earlierRelay.port()), kKey);
        fixture.settle();
        RawClient peer = earlierRelay.accept();
        BOOST_TEST(!peer.readMessage().empty());
        peer.send("HTTP/1.1 200 OK\r\n\r\n");
        BOOST_TEST_REQUIRE(fixture.reaches("opened"));
        fixture.client.send({ 1 }, "GET /report HTTP/1.1\r\nHost: x\r\n\r\n", true);
        BOOST_TEST(!peer.readMessage().empty());
        peer.send(answer);
        peer.close();
        BOOST_TEST(fixture.reaches(answer == withLength ? "replied" : "failed: the relay closed the connection"), fixture.outcome);
    }
}

// Guards against records in the answers of an instance that does not read them.
BOOST_AUTO_TEST_CASE(AnEarlierInstanceGetsMereBytes)
{
    RelayProcess process;
    RawServer server;
    RawClient instance("127.0.0.1", process.port());
    std::string request = relayRequest(kKey, fmt::format("127.0.0.1:{}", server.port()));
    request.erase(request.rfind("\r\n", request.size() - 5) + 2);
    instance.send(request + "\r\n");
    RawClient peer = server.accept();
    BOOST_TEST(instance.readMessage() == relayResponse(kRelayOpened));
    const std::string answer = "HTTP/1.1 200 OK\r\nContent-Length: 4\r\n\r\nbody";
    peer.send(answer);
    BOOST_TEST(instance.readMessage() == answer);
    peer.close();
    BOOST_TEST(instance.isClosedWithin(5'000));
}

// An order to evacuate a server comes in the middle of its answer. Guards against an answer that is cut off, and against one that looks
// whole without its second half.
BOOST_AUTO_TEST_CASE(AServerThatGetsNoMoreRequestsFinishesTheAnswerThatHasBegun)
{
    RelayFixture fixture;
    RawServer server;
    bool mayRequest = true;
    fixture.relay.setRequestPermission([&](const std::string&) { return mayRequest; });
    RawClient peer = fixture.request(server, fixture.relay.port());
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\nhalf");
    fixture.settle();
    mayRequest = false;
    fixture.relay.closeForbidden();
    fixture.settle();
    BOOST_TEST(fixture.outcome == "opened");
    peer.send("half");
    BOOST_TEST_REQUIRE(fixture.reaches("replied"), fixture.outcome);
    BOOST_TEST(fixture.body == "halfhalf");
    BOOST_TEST(fixture.hasNoConnections());
}

// Guards against idle connections that stay open to a server that gets no more requests, until the next request fails on them.
BOOST_AUTO_TEST_CASE(AnIdleConnectionToAServerThatGetsNoMoreRequestsIsClosed)
{
    RelayFixture fixture;
    bool mayRequest = true;
    fixture.relay.setRequestPermission([&](const std::string&) { return mayRequest; });
    fixture.open();
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.client.send({ 1 }, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", true);
    BOOST_TEST_REQUIRE(fixture.reaches("replied"));
    fixture.relay.closeForbidden();
    fixture.settle();
    BOOST_TEST(fixture.relay.connections() == 1u);
    mayRequest = false;
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.reaches("disconnected: the relay sends the server no more requests"), fixture.outcome);
    BOOST_TEST(fixture.hasNoConnections());
}

// Guards against a reader that takes a broken or continued stream for one that has ended in order.
BOOST_AUTO_TEST_CASE(RecordsAreReadFromAnyPieces)
{
    const std::string body(70'000, 'x');
    const std::string stream = relayRecord(RelayRecordKind::Data, "first ") + relayRecord(RelayRecordKind::NoMoreRequests) + relayRecord(RelayRecordKind::Data, body) + relayRecord(RelayRecordKind::ServerClosed);
    for (const std::size_t pieceBytes : { std::size_t { 1 }, std::size_t { 3 }, std::size_t { 8'192 }, stream.size() }) {
        RelayRecordReader reader;
        std::string data;
        for (std::size_t at = 0; at < stream.size(); at += pieceBytes) {
            BOOST_TEST(!reader.hasServerClosed());
            BOOST_TEST(reader.read(std::string_view { stream }.substr(at, pieceBytes), data));
        }
        BOOST_TEST((data == "first " + body));
        BOOST_TEST(reader.hasServerClosed());
        BOOST_TEST(reader.takesNoMoreRequests());
        BOOST_TEST(!reader.read("x", data));
    }
    std::string data;
    BOOST_TEST(!RelayRecordReader {}.read(std::string_view { "\3\0\0\0", 4 }, data));
    BOOST_TEST(!RelayRecordReader {}.read(std::string_view { "\1\0\0\1", 4 }, data));
    BOOST_TEST(data.empty());
}

BOOST_AUTO_TEST_CASE(MalformedHeadsAreRefused)
{
    const std::string request = relayRequest(kKey, "10.0.0.1:80");
    BOOST_TEST_REQUIRE(parseRelayRequest(kKey, request).has_value());
    BOOST_TEST(parseRelayRequest(kKey, request)->address == "10.0.0.1:80");
    BOOST_TEST(parseRelayRequest(kKey, request)->readsRecords);
    std::string other = request;
    other.replace(other.find("10.0.0.1:80"), 11, "10.0.0.2:80");
    BOOST_TEST(!parseRelayRequest(kKey, other));
    BOOST_TEST(!parseRelayRequest(kKey, "GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(!parseRelayRequest(kKey, "garbage\r\n\r\n"));
    BOOST_TEST(parseRelayResponse(relayResponse(kRelayOpened)).status == kRelayOpened);
    BOOST_TEST(parseRelayResponse(relayResponse(kRelayServerUnreachable)).status == kRelayServerUnreachable);
    BOOST_TEST(parseRelayResponse("nonsense\r\n\r\n").status == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
