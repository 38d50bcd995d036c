#include "tests/transport/raw_http_client_fixture.h"
#include "transport/relay_protocol.h"
#include "transport/relay_server.h"
#include "transport/stream_end.h"

#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <thread>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::transport;
using boost::system::error_code;

namespace {

// The answer of a server to a request that it has not read.
const std::string kHead = "HTTP/1.1 200 OK\r\nId: a\r\n";
const std::string kBody(24'000, 'b');

// How an answer shows where it ends.
enum class Form {
    WithConnection,
    WithLength,
    InChunks,
};

enum class End {
    InOrder,
    Reset,
    InOrderThenReset,
};

std::string answerText(Form form)
{
    switch (form) {
    case Form::WithConnection:
        return kHead + "Connection: close\r\n\r\n" + kBody;
    case Form::WithLength:
        return kHead + "Content-Length: 24000\r\n\r\n" + kBody;
    case Form::InChunks:
        return kHead + "Transfer-Encoding: chunked\r\n\r\n5dc0\r\n" + kBody + "\r\n0\r\n\r\n";
    }
    return {};
}

struct Fixture : RawHttpClientFixture {
    Fixture() { server.limitWindow(); }

    bool hasEnded(std::uint64_t connection) const { return failures.contains(connection) || replies.contains(connection); }

    // Opens a connection to the server through the relay.
    RawClient openThrough(const RelayServer& relay, std::uint64_t connection)
    {
        client->openThroughRelay({ connection }, "127.0.0.1:" + std::to_string(server.port()), "127.0.0.1:" + std::to_string(relay.port()), kKey);
        BOOST_TEST_REQUIRE(runUntil([&] { return opened[connection]; }));
        return server.accept();
    }

    // Lets the server answer a long request that it does not read. The event loop runs after each step whose bit is set.
    void playAnswer(RawClient& peer, std::uint64_t connection, std::string_view sent, End end, unsigned settled)
    {
        const auto step = [&](unsigned number) {
            if ((settled >> number & 1) != 0)
                settle();
        };
        sendLong(connection, "a");
        step(0);
        peer.send(sent);
        step(1);
        if (end != End::Reset) {
            peer.shutDown();
            step(2);
        }
        if (end != End::InOrder)
            peer.close(true);
        runUntil([&] { return hasEnded(connection); }, std::chrono::seconds { 10 });
    }

    // Plays answers of all forms, whole and cut off, that end in all ways. Returns the number of cases.
    unsigned checkAllEnds(const RelayServer* relay)
    {
        std::uint64_t connection = 0;
        for (const Form form : { Form::WithConnection, Form::WithLength, Form::InChunks }) {
            const std::string text = answerText(form);
            for (const std::size_t size : { text.find("\r\n\r\n") + 4, text.size() / 2, text.size() }) {
                for (const End end : { End::InOrder, End::Reset, End::InOrderThenReset }) {
                    for (unsigned settled = 0; settled < 8; ++settled)
                        checkEnd(relay, ++connection, form, std::string_view { text }.substr(0, size), size == text.size(), end, settled);
                }
            }
        }
        return static_cast<unsigned>(connection);
    }

    void checkEnd(const RelayServer* relay, std::uint64_t connection, Form form, std::string_view sent, bool isWhole, End end, unsigned settled)
    {
        // HTTP has no sign for an answer without a length whose server breaks off and closes in order.
        const bool isTold = form != Form::WithConnection || end == End::Reset;
        RawClient peer = relay ? openThrough(*relay, connection) : open(connection);
        playAnswer(peer, connection, sent, end, settled);
        const std::string name = "form " + std::to_string(static_cast<int>(form)) + ", " + std::to_string(sent.size()) + " bytes, end " + std::to_string(static_cast<int>(end)) + ", settled " + std::to_string(settled);
        BOOST_TEST(hasEnded(connection), name);
        const bool isComplete = replies.contains(connection);
        if (isTold && !isWhole)
            BOOST_TEST(!isComplete, name);
        if (isComplete && isWhole)
            BOOST_TEST((replies[connection].front() == kBody), name);
        if (isWhole && form == Form::WithConnection)
            BOOST_TEST(isComplete == (end != End::Reset), name);
        // A relay passes a reset on at once, so that the end of the answer may be lost on the way.
        if (isWhole && form != Form::WithConnection && !relay)
            BOOST_TEST(isComplete, name);
    }

    const std::string kKey = "key of this deployment";
};

} // namespace

BOOST_AUTO_TEST_SUITE(AnswerEnds)

// Guards against half an answer, or none of its body, that is passed on as a whole one: the write of the rest of the request took the error
// of the reset, and the read saw an orderly end.
BOOST_FIXTURE_TEST_CASE(AnAnswerWithoutALengthThatIsResetIsIncomplete, Fixture)
{
    const std::string text = answerText(Form::WithConnection);
    for (std::uint64_t n = 1; n <= 2; ++n) {
        RawClient peer = open(n);
        sendLong(n, "a");
        settle();
        peer.send(text.substr(0, n == 1 ? text.find("\r\n\r\n") + 4 : text.size() / 2));
        settle();
        peer.close(true);
        BOOST_TEST(runUntil([&] { return hasEnded(n); }));
        BOOST_TEST(!replies.contains(n));
        BOOST_TEST(failures[n].find("reset") != std::string::npos, failures[n]);
    }
}

// Guards against an answer that counts as whole although its server has broken off, and against one that is lost although it is whole, for
// all forms of answers and orders of events.
BOOST_FIXTURE_TEST_CASE(AnAnswerIsWholeOnlyIfItsEndArrived, Fixture)
{
    BOOST_TEST(checkAllEnds(nullptr) == 216U);
}

// The same through a relay, which writes the request and reads the answer at once as well.
BOOST_FIXTURE_TEST_CASE(AnAnswerThroughARelayIsWholeOnlyIfItsEndArrived, Fixture)
{
    const RelayServer relay(context, { "127.0.0.1", 0 }, kKey, [](const std::string&) { return true; });
    BOOST_TEST(checkAllEnds(&relay) == 216U);
}

// Guards against a request that is lost because its server, which runs, reads the rest of it only after a few seconds.
BOOST_FIXTURE_TEST_CASE(AServerThatReadsSlowlyKeepsItsRequest, Fixture)
{
    const RelayServer relay(context, { "127.0.0.1", 0 }, kKey, [](const std::string&) { return true; });
    std::vector<RawClient> peers;
    peers.push_back(open(1));
    peers.push_back(openThrough(relay, 2));
    for (const std::uint64_t n : { 1, 2 })
        sendLong(n, "a");
    settle(std::chrono::milliseconds { 4'500 });
    for (RawClient& peer : peers) {
        std::thread reader([&] { BOOST_TEST(!peer.readMessage().empty()); });
        settle(std::chrono::milliseconds { 500 });
        peer.send(answerText(Form::WithLength));
        reader.join();
    }
    BOOST_TEST(runUntil([&] { return hasEnded(1) && hasEnded(2); }));
    BOOST_TEST(replies.contains(1), failures[1]);
    BOOST_TEST(replies.contains(2), failures[2]);
}

// Guards against a system that reports a reset after the peer's orderly end like one before it. Reads come first, so this matters only
// for an end that arrives between a read and the next write.
BOOST_AUTO_TEST_CASE(AFailedWriteTellsAResetAfterAnOrderlyEnd)
{
    namespace asio = boost::asio;
    RawServer server;
    asio::io_context context;
    for (const bool closesInOrder : { false, true }) {
        asio::ip::tcp::socket socket(context);
        socket.connect({ asio::ip::make_address("127.0.0.1"), server.port() });
        RawClient peer = server.accept();
        peer.send("half");
        if (closesInOrder)
            peer.shutDown();
        peer.close(true);
        StreamEnd end;
        error_code ec;
        socket.write_some(asio::buffer("x", 1), ec);
        BOOST_TEST_REQUIRE(ec.failed());
        end.recordWriteError(ec);
        socket.write_some(asio::buffer("x", 1), ec);
        end.recordWriteError(ec);
        std::array<char, 16> bytes {};
        BOOST_TEST(socket.read_some(asio::buffer(bytes), ec) == 4U);
        socket.read_some(asio::buffer(bytes), ec);
        BOOST_TEST((ec == asio::error::eof));
        BOOST_TEST((end.causeOf(ec) == asio::error::eof) == closesInOrder, end.causeOf(ec).message());
    }
}

BOOST_AUTO_TEST_SUITE_END()
