#include "tests/stand_ins/backend_server.h"
#include "tests/stand_ins/raw_client.h"
#include "transport/backend_client.h"
#include "transport/backend_protocol.h"
#include "transport/event_sink.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"

#include <boost/test/unit_test.hpp>

#include <condition_variable>
#include <deque>
#include <mutex>
#include <thread>

using namespace curranttrail;
using namespace curranttrail::transport;
using namespace curranttrail::query;
using stand_ins::RawClient;
using stand_ins::RawServer;

namespace {

constexpr std::chrono::seconds kTestTimeout { 30 };
const ShardRange kShard { "orders/1/00", { 0, 1000 } };

// A client connected to a scripted server. next() returns the client's events one by one.
struct Fixture {
    void post(Event event)
    {
        const std::lock_guard lock(mutex);
        events.push_back(std::move(event));
        arrived.notify_one();
    }

    template <typename Expected>
    Expected next()
    {
        std::unique_lock lock(mutex);
        BOOST_REQUIRE(arrived.wait_for(lock, kTestTimeout, [this] { return !events.empty(); }));
        const Event event = std::move(events.front());
        events.pop_front();
        BOOST_REQUIRE_MESSAGE(std::holds_alternative<Expected>(event), "unexpected event, index " << event.index());
        return std::get<Expected>(event);
    }

    void open(std::uint64_t connection, std::uint16_t port)
    {
        client.open({ { connection }, { 1 } }, { "127.0.0.1", port });
    }

    void send(std::uint64_t attempt, std::uint64_t connection, std::string body = "{}", std::uint64_t snapshot = 1)
    {
        client.send({ { attempt }, { connection }, { 1 }, { snapshot }, kShard, Micros { 5'000'000 }, std::nullopt, std::make_shared<const std::string>(std::move(body)) });
    }

    // Opens connection 1 to the raw server, sends attempt 1 on it and returns the server's end.
    RawClient serveRequest()
    {
        open(1, raw.port());
        RawClient peer = raw.accept();
        next<ConnectionOpened>();
        send(1, 1);
        BOOST_TEST(peer.readMessage().find("X-Request-Attempt: e1-a-1\r\n") != std::string::npos);
        return peer;
    }

    static std::string reply(const std::string& attempt, const std::string& status = "200 OK", const std::string& body = "{}")
    {
        return "HTTP/1.1 " + status + "\r\nX-Request-Attempt: " + attempt + "\r\nX-Snapshot: 1\r\nX-Shard: orders/1/00\r\nX-Key-Range: " + keyRangeText(kShard.range)
            + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }

    void expectLostWith(AttemptProgress progress)
    {
        const SubqueryEnded ended = next<SubqueryEnded>();
        BOOST_TEST(ended.attempt.value == 1U);
        BOOST_TEST(nameOf(kAttemptProgressNames, ended.progress) == nameOf(kAttemptProgressNames, progress));
        BOOST_TEST(next<ConnectionLost>().connection.value == 1U);
    }

    std::mutex mutex;
    std::condition_variable arrived;
    std::deque<Event> events;
    IoThreads threads { 2 };
    EventSink sink { { "e1", Severity::Error, 16, nullptr } };
    Metrics metrics;
    RawServer raw;
    BackendClient client { threads, { "e1-a" }, sink, metrics, [this](Event event) { post(std::move(event)); } };
    ~Fixture() { threads.stop(); }
};

// Like Fixture, with connection 1 open to a backend server stand-in that holds the shard.
struct BackendFixture : Fixture {
    BackendFixture()
    {
        server->holdShard({ { 1 }, kShard });
        server->start();
        open(1, server->address().port);
        next<ConnectionOpened>();
    }

    void waitForJobs(std::size_t n)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + kTestTimeout;
        while (server->jobCount() != n && std::chrono::steady_clock::now() < deadline)
            std::this_thread::yield();
        BOOST_REQUIRE(server->jobCount() == n);
    }

    std::shared_ptr<stand_ins::BackendServer> server
        = std::make_shared<stand_ins::BackendServer>(threads, "orders-00-0", 1, stand_ins::BackendBehaviour { 1, 8, Micros { 1'000 } }, 10, Endpoint { "127.0.0.1", 0 });
};

} // namespace

BOOST_AUTO_TEST_SUITE(BackendClients)

// Guards against reporting "may have run" for a request that was never sent.
BOOST_FIXTURE_TEST_CASE(ConnectionRefusedMeansNotSent, Fixture)
{
    raw.close();
    open(1, raw.port());
    next<ConnectionLost>();
    send(1, 1);
    BOOST_TEST((next<SubqueryEnded>().progress == AttemptProgress::NotSent));
}

// Guards against counting a request as sent although the server had already closed the connection.
BOOST_FIXTURE_TEST_CASE(ResetBeforeAnyByteMeansNotSent, Fixture)
{
    open(1, raw.port());
    RawClient peer = raw.accept();
    next<ConnectionOpened>();
    peer.close(true);
    next<ConnectionLost>();
    send(1, 1);
    BOOST_TEST((next<SubqueryEnded>().progress == AttemptProgress::NotSent));
}

// Guards against reporting "not run" for a request that the server has read.
BOOST_FIXTURE_TEST_CASE(ResetAfterTheRequestMeansBytesSent, Fixture)
{
    RawClient peer = serveRequest();
    peer.close(true);
    expectLostWith(AttemptProgress::BytesSent);
}

// Guards against accepting a truncated reply as complete.
BOOST_FIXTURE_TEST_CASE(TruncatedReplyMeansBytesSent, Fixture)
{
    RawClient peer = serveRequest();
    peer.send("HTTP/1.1 200 OK\r\nContent-Length: 100\r\n\r\n{");
    peer.close();
    expectLostWith(AttemptProgress::BytesSent);
}

// Guards against losing a reply, such as a refusal that says "not run", because the server resets the connection without having read the
// rest of the request. The order in which the client learns of both is left to the system, so there are many tries.
BOOST_FIXTURE_TEST_CASE(AReplyBeforeAResetIsNotLost, Fixture)
{
    raw.limitWindow();
    for (std::uint64_t n = 1; n <= 100; ++n) {
        open(n, raw.port());
        RawClient peer = raw.accept();
        next<ConnectionOpened>();
        send(n, n, '"' + std::string(262'144, 'x') + '"');
        peer.send(reply("e1-a-" + std::to_string(n), "503 Busy\r\nX-Run: not_run"));
        peer.close(true);
        BOOST_TEST_REQUIRE((next<SubqueryReplied>().status == ReplyStatus::Shed), "try " << n);
        next<ConnectionLost>();
    }
}

// Guards against a number that is cut off with its connection and looks whole.
BOOST_FIXTURE_TEST_CASE(NumberWithoutALengthMeansBytesSent, Fixture)
{
    std::string text = reply("e1-a-1", "200 OK", "12");
    const std::size_t begin = text.find("Content-Length");
    text.erase(begin, text.find("\r\n", begin) + 2 - begin);
    RawClient peer = serveRequest();
    peer.send(text);
    peer.close();
    expectLostWith(AttemptProgress::BytesSent);
}

// Guards against merging a reply that lacks the echoed attempt fields, violates the protocol or is not JSON.
BOOST_FIXTURE_TEST_CASE(MalformedRepliesEndTheConnection, Fixture)
{
    const std::vector<std::string> replies { "nonsense\r\n\r\n", "HTTP/1.1 200 OK\r\nContent-Length: 2\r\n\r\n{}", reply("e1-a-x"), reply("e2-a-1"), reply("e1-a-1", "200 OK", "{\"a\":"),
        reply("e1-a-1", "200 OK", "{},{}"), "HTTP/1.1 503 Busy\r\nX-Run: not_run\r\nContent-Length: 0\r\n\r\n" };
    for (const std::string& text : replies) {
        RawClient peer = serveRequest();
        peer.send(text);
        expectLostWith(AttemptProgress::BytesSent);
    }
}

// Guards against hiding a reply for another attempt from the reducer, and against reusing its connection.
BOOST_FIXTURE_TEST_CASE(ReplyForAnotherAttemptIsReportedAndEndsTheConnection, Fixture)
{
    RawClient peer = serveRequest();
    peer.send(reply("e1-a-7"));
    BOOST_TEST(next<SubqueryReplied>().attempt.value == 7U);
    expectLostWith(AttemptProgress::BytesSent);
}

// Guards against reading a second reply to one request as the reply to the next request.
BOOST_FIXTURE_TEST_CASE(DuplicateReplyEndsTheConnection, Fixture)
{
    RawClient peer = serveRequest();
    peer.send(reply("e1-a-1") + reply("e1-a-1"));
    BOOST_TEST(next<SubqueryReplied>().attempt.value == 1U);
    next<ConnectionLost>();
    send(2, 1);
    BOOST_TEST((next<SubqueryEnded>().progress == AttemptProgress::NotSent));
}

// Guards against treating a refusal as "not run" unless the server states explicitly that nothing was run.
BOOST_FIXTURE_TEST_CASE(OnlyStatedRefusalsCountAsNotRun, Fixture)
{
    struct Case {
        std::string status;
        std::string body;
        ReplyStatus expected;
    };
    const std::vector<Case> cases { { "503 Busy\r\nX-Run: not_run", "{}", ReplyStatus::Shed }, { "503 Busy", "{}", ReplyStatus::Failed },
        { "503 Busy\r\nX-Run: may_have_run", "{}", ReplyStatus::Failed }, { "409 Conflict", R"({"error":"snapshot_gone"})", ReplyStatus::SnapshotGone },
        { "409 Conflict", R"({"error":"other"})", ReplyStatus::Failed }, { "500 Error", "{}", ReplyStatus::Failed } };
    for (const Case& row : cases) {
        RawClient peer = serveRequest();
        peer.send(reply("e1-a-1", row.status, row.body));
        BOOST_TEST((next<SubqueryReplied>().status == row.expected), row.status << " " << row.body);
        client.close({ { 1 } });
        BOOST_TEST(peer.isClosedWithin(10'000));
    }
}

// Guards against header injection through a request id or a shard name.
BOOST_FIXTURE_TEST_CASE(ValuesInvalidInHeaderFieldsAreNotSent, Fixture)
{
    open(1, raw.port());
    next<ConnectionOpened>();
    client.send({ { 1 }, { 1 }, { 1 }, { 1 }, kShard, Micros { 1'000 }, "id\r\nX-Run: not_run", std::make_shared<const std::string>("{}") });
    BOOST_TEST((next<SubqueryEnded>().progress == AttemptProgress::NotSent));
}

// Guards against lost or mismatched replies when a connection is reused.
BOOST_FIXTURE_TEST_CASE(ConnectionIsReusedForSequentialRequests, BackendFixture)
{
    for (std::uint64_t attempt = 1; attempt <= 20; ++attempt) {
        send(attempt, 1, std::to_string(attempt));
        const SubqueryReplied replied = next<SubqueryReplied>();
        BOOST_TEST(replied.attempt.value == attempt);
        BOOST_TEST((replied.status == ReplyStatus::Ok));
        BOOST_TEST(replied.shard.shard == kShard.shard);
        BOOST_TEST((replied.shard.range == kShard.range));
        BOOST_TEST(replied.payload.find("\"echo\":" + std::to_string(attempt) + "}") != std::string::npos);
        BOOST_TEST(replied.report.has_value());
    }
}

// Guards against a connection that is unusable after a cancellation, or delivers the cancelled request's reply to the next one.
BOOST_FIXTURE_TEST_CASE(ConnectionIsReusableAfterACancelledRequest, BackendFixture)
{
    server->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.serviceTime = Micros { 60'000'000 }; });
    send(1, 1);
    waitForJobs(1);
    open(2, server->address().port);
    next<ConnectionOpened>();
    send(2, 2);
    waitForJobs(2);
    // The server has one slot: attempt 1 is running, attempt 2 is queued.
    client.cancel({ { 2 }, { 2 }, { 1 } }, server->address());
    BOOST_TEST((next<SubqueryReplied>().status == ReplyStatus::Shed));
    client.cancel({ { 1 }, { 1 }, { 1 } }, server->address());
    BOOST_TEST((next<SubqueryReplied>().status == ReplyStatus::Failed));
    server->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.serviceTime = Micros { 1'000 }; });
    for (std::uint64_t connection : { 1, 2 }) {
        send(10 + connection, connection, "\"again\"");
        const SubqueryReplied again = next<SubqueryReplied>();
        BOOST_TEST((again.status == ReplyStatus::Ok));
        BOOST_TEST(again.attempt.value == 10 + connection);
        BOOST_TEST(again.payload.find("again") != std::string::npos);
    }
}

// Guards against treating a refusal by a draining server, or because of a missing snapshot, as a failure.
BOOST_FIXTURE_TEST_CASE(DrainAndMissingSnapshotAreReported, BackendFixture)
{
    send(1, 1, "{}", 2);
    BOOST_TEST((next<SubqueryReplied>().status == ReplyStatus::SnapshotGone));
    server->change([](stand_ins::BackendBehaviour& behaviour) { behaviour.draining = true; });
    send(2, 1);
    const SubqueryReplied replied = next<SubqueryReplied>();
    BOOST_TEST((replied.status == ReplyStatus::Shed));
    BOOST_TEST((replied.report && replied.report->draining));
}

BOOST_AUTO_TEST_SUITE_END()
