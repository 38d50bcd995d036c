#include "tests/stand_ins/raw_client.h"
#include "transport/event_sink.h"
#include "transport/http_router.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"
#include "transport/metrics.h"

#include <boost/test/unit_test.hpp>

#include <future>
#include <mutex>

using namespace curranttrail;
using namespace curranttrail::transport;
using curranttrail::stand_ins::bodyOf;
using curranttrail::stand_ins::httpRequestText;
using curranttrail::stand_ins::RawClient;
using curranttrail::stand_ins::statusOf;

namespace {

constexpr std::chrono::seconds kTestTimeout { 30 };

HttpResponse withBody(std::string body)
{
    HttpResponse response;
    response.body = std::move(body);
    return response;
}

// A server with short timeouts and small limits. "/hold" passes its responder to the test; other paths echo the request.
struct Fixture {
    static HttpServerOptions options()
    {
        HttpServerOptions options;
        options.maximumHeaderBytes = 1024;
        options.maximumBodyBytes = 4096;
        options.headerTimeout = std::chrono::milliseconds { 200 };
        options.bodyTimeout = std::chrono::milliseconds { 200 };
        options.idleTimeout = std::chrono::milliseconds { 10'000 };
        options.connections = 4;
        return options;
    }

    void handle(const HttpRequest& request, const Responder& responder)
    {
        if (request.path != "/hold") {
            responder.send(withBody(request.path + "|" + request.query + "|" + request.body));
            return;
        }
        responder.onDisconnect([this] { disconnected.set_value(); });
        held.set_value(responder);
    }

    IoThreads threads { 2 };
    std::promise<Responder> held;
    std::promise<void> disconnected;
    HttpServer server { threads, options(), [this](const HttpRequest& request, const Responder& responder) { handle(request, responder); } };
};

} // namespace

BOOST_AUTO_TEST_SUITE(HttpServers)

struct InvalidInput {
    std::string bytes;
    std::string status;
    std::string error;
};

// Guards against invalid input that reaches the handler, or that is not answered with "not_run".
BOOST_FIXTURE_TEST_CASE(InvalidInputIsRefusedAndTheConnectionClosed, Fixture)
{
    const std::vector<InvalidInput> inputs {
        { "nonsense\r\n\r\n", "400", "malformed" },
        { "GET / HTTP/9.9\r\n\r\n", "400", "malformed" },
        { "GET /a HTTP/1.1\r\nContent-Length: many\r\n\r\n", "400", "malformed" },
        { "GET /a HTTP/1.1\r\nbad header\r\n\r\n", "400", "malformed" },
        { "POST /a HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n", "400", "malformed" },
        { "POST /a HTTP/1.1\r\nTransfer-Encoding: gzip\r\n\r\nGET /b HTTP/1.1\r\n\r\n", "400", "malformed" },
        { "GET /a HTTP/1.1\r\nX: " + std::string(2000, 'x') + "\r\n\r\n", "413", "oversized" },
        { httpRequestText("POST", "/a", std::string(5000, 'x')), "413", "oversized" },
        { "POST /a HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n", "413", "oversized" },
        { "GET /a HTTP/1.1\r\nHost:", "408", "slow_input" },
        { "POST /a HTTP/1.1\r\nContent-Length: 10\r\n\r\nabc", "408", "slow_input" },
    };
    for (const InvalidInput& input : inputs) {
        RawClient client(server.port());
        client.send(input.bytes);
        const std::string response = client.readMessage();
        BOOST_TEST_CONTEXT(input.bytes.substr(0, 60))
        {
            BOOST_TEST(statusOf(response) == input.status);
            BOOST_TEST(bodyOf(response).find("\"" + input.error + "\"") != std::string::npos);
            BOOST_TEST(bodyOf(response).find("\"run\":\"not_run\"") != std::string::npos);
            BOOST_TEST(client.isClosedWithin(10'000));
        }
    }
}

// Guards against reordered or mismatched responses to pipelined requests.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestsAreAnsweredInOrder, Fixture)
{
    RawClient client(server.port());
    std::string bytes;
    for (int n = 0; n < 20; ++n)
        bytes += httpRequestText("POST", "/echo?n=" + std::to_string(n), "body" + std::to_string(n));
    client.send(bytes);
    for (int n = 0; n < 20; ++n)
        BOOST_TEST(bodyOf(client.readMessage()) == "/echo|n=" + std::to_string(n) + "|body" + std::to_string(n));
}

// Guards against answering a later request on a connection before an earlier one.
BOOST_FIXTURE_TEST_CASE(PipelinedRequestWaitsForThePreviousOne, Fixture)
{
    RawClient client(server.port());
    client.send(httpRequestText("GET", "/hold") + httpRequestText("GET", "/echo"));
    std::future<Responder> future = held.get_future();
    BOOST_REQUIRE((future.wait_for(kTestTimeout) == std::future_status::ready));
    future.get().send(withBody("first"));
    BOOST_TEST(bodyOf(client.readMessage()) == "first");
    BOOST_TEST(bodyOf(client.readMessage()) == "/echo||");
}

// Guards against continuing work for a client that has disconnected.
BOOST_FIXTURE_TEST_CASE(ClientDisconnectIsReported, Fixture)
{
    RawClient client(server.port());
    client.send(httpRequestText("GET", "/hold"));
    std::future<Responder> future = held.get_future();
    BOOST_REQUIRE((future.wait_for(kTestTimeout) == std::future_status::ready));
    client.close();
    BOOST_TEST((disconnected.get_future().wait_for(kTestTimeout) == std::future_status::ready));
    future.get().send(withBody("too late"));
}

// Guards against a graceful stop that aborts a request in flight or accepts a new connection.
BOOST_FIXTURE_TEST_CASE(StopFinishesRequestsInFlight, Fixture)
{
    RawClient idle(server.port());
    idle.send(httpRequestText("GET", "/echo"));
    idle.readMessage();
    RawClient busy(server.port());
    busy.send(httpRequestText("GET", "/hold"));
    std::future<Responder> future = held.get_future();
    BOOST_REQUIRE((future.wait_for(kTestTimeout) == std::future_status::ready));

    std::promise<void> stopped;
    std::future<void> stop = stopped.get_future();
    server.stop(kTestTimeout, [&stopped] { stopped.set_value(); });
    BOOST_TEST(idle.isClosedWithin(10'000));
    BOOST_CHECK_THROW(RawClient { server.port() }, std::runtime_error);
    BOOST_TEST((stop.wait_for(std::chrono::seconds { 0 }) == std::future_status::timeout));

    future.get().send(withBody("finished"));
    const std::string response = busy.readMessage();
    BOOST_TEST(bodyOf(response) == "finished");
    BOOST_TEST(response.find("Connection: close") != std::string::npos);
    BOOST_TEST((stop.wait_for(kTestTimeout) == std::future_status::ready));
}

// Guards against an unbounded number of connections.
BOOST_FIXTURE_TEST_CASE(ConnectionsBeyondTheLimitAreRefused, Fixture)
{
    std::vector<std::unique_ptr<RawClient>> clients;
    for (int n = 0; n < 4; ++n) {
        clients.push_back(std::make_unique<RawClient>(server.port()));
        clients.back()->send(httpRequestText("GET", "/echo"));
        BOOST_TEST(statusOf(clients.back()->readMessage()) == "200");
    }
    RawClient extra(server.port());
    BOOST_TEST(statusOf(extra.readMessage()) == "503");
    BOOST_TEST(extra.isClosedWithin(10'000));
}

// Guards against a client that waits forever because a handler never responds.
BOOST_FIXTURE_TEST_CASE(DroppedResponderResponds500, Fixture)
{
    RawClient client(server.port());
    client.send(httpRequestText("GET", "/hold"));
    std::future<Responder> future = held.get_future();
    BOOST_REQUIRE((future.wait_for(kTestTimeout) == std::future_status::ready));
    {
        const Responder dropped = future.get();
    }
    held = {};
    BOOST_TEST(statusOf(client.readMessage()) == "500");
}

// Guards against health routes that report a wrong readiness state or omit metrics and events.
BOOST_AUTO_TEST_CASE(HealthRoutesReportStateMetricsAndEvents)
{
    static constexpr EventDescription kEvent { 9999, "test_event", Severity::Warning, "Only for this test." };
    IoThreads threads(1);
    EventSink sink({ "entry-1", Severity::Information, 2, nullptr });
    Metrics metrics;
    metrics.counter("curranttrail_queries_total", "Queries.", { { "class", "a\"b" } }).add(3);
    metrics.latency("curranttrail_query_latency_seconds", "Latency.").record(std::chrono::milliseconds { 5 });
    for (int n = 1; n <= 3; ++n)
        sink.log(kEvent, { { "n", std::to_string(n) } });
    std::atomic<bool> ready { true };
    HttpRouter router;
    addHealthRoutes(router, sink, metrics, [&ready] { return ready ? std::nullopt : std::optional<std::string> { "draining" }; });
    HttpServer server(threads, {}, router);
    RawClient client(server.port());
    const auto get = [&client](const std::string& path) {
        client.send(httpRequestText("GET", path));
        return client.readMessage();
    };
    BOOST_TEST(statusOf(get("/live")) == "200");
    BOOST_TEST(statusOf(get("/ready")) == "200");
    ready = false;
    BOOST_TEST(statusOf(get("/ready")) == "503");
    const std::string text = bodyOf(get("/metrics"));
    BOOST_TEST(text.find("curranttrail_queries_total{class=\"a\\\"b\"} 3\n") != std::string::npos);
    BOOST_TEST(text.find("curranttrail_query_latency_seconds_count 1\n") != std::string::npos);
    const std::string events = bodyOf(get("/v1/events?after=2"));
    BOOST_TEST(events.find("\"first\":2") != std::string::npos);
    BOOST_TEST(events.find("{\"n\":\"3\"}") != std::string::npos);
    BOOST_TEST(events.find("{\"n\":\"2\"}") == std::string::npos);
    BOOST_TEST(statusOf(get("/v1/events?after=x")) == "400");
    BOOST_TEST(statusOf(get("/nowhere")) == "404");
    client.send(httpRequestText("POST", "/live"));
    BOOST_TEST(statusOf(client.readMessage()) == "405");
}

// Guards against stamps that do not order a received message before later events.
BOOST_AUTO_TEST_CASE(StampsExceedObservedStamps)
{
    HybridLogicalClock clock;
    const std::uint64_t own = clock.stamp();
    BOOST_TEST(clock.stamp() > own);
    const std::uint64_t remote = own + (std::uint64_t { 1'000 } << 16U);
    clock.observe(remote);
    BOOST_TEST(clock.stamp() > remote);
    clock.observe(UINT64_MAX);
    BOOST_TEST(clock.stamp() < UINT64_MAX / 2);
}

BOOST_AUTO_TEST_SUITE_END()
