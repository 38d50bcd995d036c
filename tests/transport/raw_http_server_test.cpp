#include "transport/raw_http_server.h"

#include "tests/stand_ins/raw_client.h"

#include <boost/asio/io_context.hpp>
#include <boost/test/unit_test.hpp>

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

BOOST_AUTO_TEST_SUITE_END()
