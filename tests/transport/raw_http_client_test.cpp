#include "tests/transport/raw_http_client_fixture.h"

#include <atomic>
#include <chrono>
#include <string>
#include <thread>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::transport;

namespace {

// The memory that an instance may use for incomplete replies, whatever its servers send.
constexpr std::size_t kReplyMemoryBytes = 64u << 20;

std::string replyText(const std::string& id, const std::string& body)
{
    return "HTTP/1.1 200 OK\r\nId: " + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

struct Fixture : RawHttpClientFixture {
    // The server sends the start of a reply and then the same bytes again and again, up to the limit.
    bool failsWhileServerSends(const std::string& start, const std::string& repeated, std::size_t limit)
    {
        RawClient peer = open(1);
        send(1, "a");
        std::thread sender([&] {
            peer.send(start);
            for (std::size_t sent = 0; sent < limit && !stopSending; sent += repeated.size())
                peer.send(repeated);
        });
        const bool failed = runUntil([&] { return failures.contains(1); }, std::chrono::seconds { 15 });
        stopSending = true;
        peer.close(true);
        sender.join();
        return failed;
    }

    std::atomic<bool> stopSending { false };
};

} // namespace

BOOST_AUTO_TEST_SUITE(RawHttpClients)

// Guards against losing a request because a second copy of an earlier reply arrives first, and against handing that copy to the
// caller. The reply to the request itself follows, in the same segment or later.
BOOST_FIXTURE_TEST_CASE(ALateCopyOfAnEarlierReplyIsDropped, Fixture)
{
    RawClient peer = open(1);
    send(1, "a");
    peer.send(replyText("a", "first"));
    BOOST_TEST_REQUIRE(runUntil([&] { return replies[1].size() == 1; }));
    BOOST_TEST(!closed[1]);
    send(1, "b");
    peer.send(replyText("a", "first") + replyText("b", "second").substr(0, 30));
    runUntil([&] { return !failures.empty(); }, std::chrono::milliseconds { 100 });
    peer.send(replyText("b", "second").substr(30));
    BOOST_TEST(runUntil([&] { return replies[1].size() == 2; }));
    BOOST_TEST(failures.empty());
    BOOST_TEST((replies[1] == std::vector<std::string> { "first", "second" }));
    // Another copy may follow, so the connection is not used again.
    BOOST_TEST(closed[1]);
}

// Guards against a reply of another request that counts when the bytes arrive one by one, and against an early reply: one that
// arrives before its request is sent belongs to no request.
BOOST_FIXTURE_TEST_CASE(RepliesArePairedWithRequestsAtEverySplit, Fixture)
{
    const std::string stream = replyText("z", "foreign") + "HTTP/1.1 100 Continue\r\n\r\n" + replyText("a", "own");
    for (std::uint64_t split = 1; split < stream.size(); ++split) {
        RawClient peer = open(split);
        send(split, "a");
        peer.send(stream.substr(0, split));
        runUntil([&] { return false; }, std::chrono::milliseconds { 1 });
        peer.send(stream.substr(split));
        BOOST_TEST_REQUIRE(runUntil([&] { return !replies[split].empty() || failures.contains(split); }));
        BOOST_TEST((replies[split] == std::vector<std::string> { "own" }), "split at byte " << split);
    }
    RawClient early = open(stream.size());
    early.send(replyText("a", "early"));
    BOOST_TEST(runUntil([&] { return lost.contains(stream.size()); }));
}

// Guards against memory and processor time that a server uses up with bytes that never become a reply.
BOOST_FIXTURE_TEST_CASE(AHeaderLineWithoutEndFailsTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\nField: ", std::string(4'096, 'x'), kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(HeaderLinesWithoutEndFailTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\n", "Field: value\r\n", kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(AStatusLineWithoutEndFailsTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 ", std::string(4'096, 'x'), kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(AChunkHeaderWithoutEndFailsTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n5;extension=", std::string(4'096, 'x'), kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(TrailersWithoutEndFailTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n", "Field: value\r\n", kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(ABodyWithoutLengthOrEndFailsTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\n\r\n", std::string(65'536, 'x'), kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(ChunksWithoutEndFailTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n", "2000\r\n" + std::string(8'192, 'x') + "\r\n", kReplyMemoryBytes));
}

BOOST_FIXTURE_TEST_CASE(InterimRepliesWithoutEndFailTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("", "HTTP/1.1 100 Continue\r\n\r\n", 1u << 20));
}

BOOST_FIXTURE_TEST_CASE(ForeignRepliesWithoutEndFailTheRequest, Fixture)
{
    BOOST_TEST(failsWhileServerSends("", replyText("z", "foreign"), 1u << 20));
}

// Guards against handing a caller the answer of a server in trouble whose status is none of HTTP, and against waiting for another
// answer after it: a status below 100 was skipped as an interim reply.
BOOST_FIXTURE_TEST_CASE(AStatusOutsideOfHttpFailsTheRequest, Fixture)
{
    const std::vector<std::string> statuses { "000", "001", "099", "600", "999" };
    for (std::uint64_t n = 1; n <= statuses.size(); ++n) {
        RawClient peer = open(n);
        send(n, "a");
        peer.send("HTTP/1.1 " + statuses[n - 1] + " Odd\r\nId: a\r\nContent-Length: 4\r\n\r\nbody");
        BOOST_TEST(runUntil([&] { return failures.contains(n); }, std::chrono::seconds { 2 }), "status " << statuses[n - 1]);
        BOOST_TEST(replies[n].empty(), "status " << statuses[n - 1]);
    }
}

// Guards against many servers that each stay below the limit of one reply and together exceed the memory of the instance. A
// connection with a short reply is not affected.
BOOST_FIXTURE_TEST_CASE(IncompleteRepliesOfManyServersStayWithinTheMemoryLimit, Fixture)
{
    constexpr std::uint64_t kConnections = 16;
    constexpr std::size_t kBodyBytes = 7u << 20;
    RawClient sound = open(100);
    send(100, "a");
    sound.send("HTTP/1.1 200 OK\r\nId: a\r\n");
    std::vector<RawClient> peers;
    for (std::uint64_t n = 1; n <= kConnections; ++n) {
        peers.push_back(open(n));
        send(n, "a");
    }
    std::atomic<std::size_t> senders { kConnections };
    std::vector<std::thread> threads;
    threads.reserve(kConnections);
    for (RawClient& peer : peers) {
        threads.emplace_back([&] {
            peer.send("HTTP/1.1 200 OK\r\nId: a\r\nContent-Length: 8000000\r\n\r\n");
            peer.send(std::string(kBodyBytes, 'x'));
            --senders;
        });
    }
    BOOST_TEST(runUntil([&] { return senders == 0; }));
    runUntil([] { return false; }, std::chrono::milliseconds { 300 });
    BOOST_TEST((kConnections - failures.size()) * kBodyBytes <= kReplyMemoryBytes);
    for (std::thread& thread : threads)
        thread.join();
    sound.send("Content-Length: 5\r\n\r\nwhole");
    BOOST_TEST(runUntil([&] { return !replies[100].empty(); }));
}

BOOST_AUTO_TEST_SUITE_END()
