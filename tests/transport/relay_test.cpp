#include "tests/stand_ins/raw_client.h"
#include "transport/raw_http_client.h"
#include "transport/raw_http_server.h"
#include "transport/relay_protocol.h"
#include "transport/relay_server.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <chrono>
#include <optional>

using namespace curranttrail;
using namespace curranttrail::transport;

namespace {

const std::string kKey = "key of this deployment";

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
    fixture.client.send({ 1 }, "GET /echo HTTP/1.1\r\nHost: x\r\n\r\n", true);
    fixture.outcome.clear();
    BOOST_TEST(fixture.reaches("failed"), fixture.outcome);
    BOOST_TEST(fixture.relay.connections() == 0u);

    mayRequest = true;
    fixture.client.openThroughRelay({ 2 }, fmt::format("127.0.0.1:{}", fixture.server.port()), fmt::format("127.0.0.1:{}", fixture.relay.port()), kKey);
    BOOST_TEST_REQUIRE(fixture.reaches("opened"));
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.relay.connections() == 1u);
    mayRequest = false;
    fixture.relay.closeForbidden();
    BOOST_TEST(fixture.relay.connections() == 0u);
}

BOOST_AUTO_TEST_CASE(MalformedHeadsAreRefused)
{
    const std::string request = relayRequest(kKey, "10.0.0.1:80");
    BOOST_TEST(addressInRelayRequest(kKey, request).value_or("") == "10.0.0.1:80");
    std::string other = request;
    other.replace(other.find("10.0.0.1:80"), 11, "10.0.0.2:80");
    BOOST_TEST(!addressInRelayRequest(kKey, other));
    BOOST_TEST(!addressInRelayRequest(kKey, "GET / HTTP/1.1\r\n\r\n"));
    BOOST_TEST(!addressInRelayRequest(kKey, "garbage\r\n\r\n"));
    BOOST_TEST(statusOfRelayResponse(relayResponse(kRelayOpened)) == kRelayOpened);
    BOOST_TEST(statusOfRelayResponse(relayResponse(kRelayServerUnreachable)) == kRelayServerUnreachable);
    BOOST_TEST(statusOfRelayResponse("nonsense\r\n\r\n") == 0u);
}

BOOST_AUTO_TEST_SUITE_END()
