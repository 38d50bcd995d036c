#include "transport/raw_http_server.h"

#include "tests/stand_ins/raw_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

#include <memory>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::transport;
using curranttrail::stand_ins::RawClient;
using curranttrail::stand_ins::statusOf;

BOOST_AUTO_TEST_SUITE(RawHttpServers)

// Guards against pipelined requests that a stop leaves without an answer although they arrived before the client was told to leave.
BOOST_AUTO_TEST_CASE(RetiringConnectionsAnswerWhatHasArrived)
{
    boost::asio::io_context context;
    std::vector<ExchangeId> arrived;
    RawHttpServer::Handlers handlers;
    handlers.request = [&arrived](ExchangeId exchange, const RawRequest&, RawRequestInfo) { arrived.push_back(exchange); };
    handlers.disconnected = [](ExchangeId) {};
    RawHttpServer server(context, Endpoint { "127.0.0.1", 0 }, std::move(handlers));
    RawClient client(server.port());
    const std::string request = "GET /x HTTP/1.1\r\nHost: site\r\n\r\n";
    client.send(request + request);
    context.run_for(std::chrono::milliseconds { 100 });
    BOOST_TEST_REQUIRE(arrived.size() == 1u);
    server.retireConnections(true);
    std::vector<std::string> answers;
    for (std::size_t n = 0; n < 2; ++n) {
        BOOST_TEST_REQUIRE(arrived.size() == n + 1);
        server.respond(arrived.back(), { 200, {}, "answer" });
        context.run_for(std::chrono::milliseconds { 100 });
        answers.push_back(client.readMessage(100));
        BOOST_TEST(statusOf(answers.back()) == "200");
    }
    BOOST_TEST(answers.front().find("Connection: close") == std::string::npos);
    BOOST_TEST(answers.back().find("Connection: close") != std::string::npos);
    BOOST_TEST(client.isClosedWithin(1'000));
}

// Guards against a request inside the body of another one that is run because the outer one's transfer codings do not tell where its body
// ends.
BOOST_AUTO_TEST_CASE(ABodyWithoutAKnownEndIsNoFurtherRequest)
{
    struct Framing {
        std::string version;
        std::string fields;
        bool isValid = false;
    };
    const std::vector<Framing> framings {
        { "1.1", "Transfer-Encoding: chunked\r\n", true },
        { "1.1", "transfer-encoding: CHUNKED\r\n", true },
        { "1.1", "Transfer-Encoding: gzip\r\n" },
        { "1.1", "Transfer-Encoding: identity\r\n" },
        { "1.1", "Transfer-Encoding:\r\n" },
        { "1.1", "Transfer-Encoding: ,\r\n" },
        { "1.1", "Transfer-Encoding: \"chunked\"\r\n" },
        { "1.1", "Transfer-Encoding: xchunked\r\n" },
        { "1.1", "Transfer-Encoding: chunked;q=1\r\n" },
        { "1.1", "Transfer-Encoding: chunked, identity\r\n" },
        { "1.1", "Transfer-Encoding: gzip, chunked\r\n" },
        { "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: identity\r\n" },
        { "1.1", "Transfer-Encoding: identity\r\nTransfer-Encoding: chunked\r\n" },
        { "1.1", "Transfer-Encoding: chunked\r\nTransfer-Encoding: chunked\r\n" },
        { "1.1", "Transfer-Encoding: chunked\r\nContent-Length: 3\r\n" },
        { "1.1", "Content-Length: 3\r\nTransfer-Encoding: gzip\r\n" },
        { "1.0", "Transfer-Encoding: chunked\r\n" },
    };
    for (const Framing& framing : framings) {
        boost::asio::io_context context;
        std::vector<std::string> bodies;
        std::unique_ptr<RawHttpServer> server;
        RawHttpServer::Handlers handlers;
        handlers.request = [&](ExchangeId exchange, const RawRequest& request, RawRequestInfo) {
            bodies.push_back(request.body);
            server->respond(exchange, { 200, {}, "answer" });
        };
        handlers.disconnected = [](ExchangeId) {};
        server = std::make_unique<RawHttpServer>(context, Endpoint { "127.0.0.1", 0 }, std::move(handlers));
        RawClient client(server->port());
        client.send("POST /outer HTTP/" + framing.version + "\r\nHost: site\r\n" + framing.fields + "\r\n3\r\nabc\r\n0\r\n\r\nGET /inner HTTP/1.1\r\nHost: site\r\n\r\n");
        context.run_for(std::chrono::milliseconds { 50 });
        if (framing.isValid) {
            BOOST_TEST((bodies == std::vector<std::string> { "abc", "" }), framing.fields);
            continue;
        }
        BOOST_TEST(bodies.empty(), framing.fields);
        BOOST_TEST(statusOf(client.readMessage(100)) == "400", framing.fields);
        BOOST_TEST(client.readMessage(100).empty(), framing.fields);
    }
}

BOOST_AUTO_TEST_SUITE_END()
