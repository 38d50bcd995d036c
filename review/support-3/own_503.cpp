// A server runs requests that may run once at most and answers some of them with a 503 of its own.

#include "system.h"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kRequests = 70;

std::mutex g_runsMutex;
// Ids of requests that have run, with the status of the server.
std::map<std::string, int> g_runs;
// Number of runs of each order, whatever their ids.
std::map<std::string, int> g_orders;

void serveRequests(int connection, int number, bool isFailing)
{
    static std::atomic<int> served { 0 };
    const std::string instance = "i-000" + std::to_string(number);
    std::string buffer;
    while (true) {
        Message request;
        if (!readHeader(connection, buffer, request) || !readBody(connection, buffer, request, false))
            return;
        const std::string id = request.field("X-Curranttrail-Request-Id");
        // Two of each five.
        const bool fails = isFailing && served++ % 5 < 2;
        const int status = fails ? 503 : 200;
        if (request.start.starts_with("POST")) {
            const std::lock_guard<std::mutex> lock(g_runsMutex);
            g_runs[id] = status;
            ++g_orders[request.body];
        }
        const std::string body = fails ? "the order was written, its confirmation was not" : "done";
        if (!sendAll(connection, "HTTP/1.1 " + std::string(fails ? "503 Service Unavailable" : "200 OK") + "\r\nX-Curranttrail-Instance-Id: " + instance + "\r\nX-Curranttrail-Request-Id: " + id + "\r\nX-Curranttrail-Server-Stamp: stamp-" + id + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
            return;
    }
}

} // namespace

int main(int argumentCount, char** arguments)
{
    if (argumentCount < 2)
        return kCouldNotRun;
    g_record.open(arguments[1]);
    signal(SIGPIPE, SIG_IGN);
    const char* setting = std::getenv("TROUBLE");
    const bool trouble = !setting || std::strcmp(setting, "0") != 0;

    std::vector<ListedServer> listed;
    for (int i = 0; i < kServers; ++i) {
        const int listener = listenOn("127.0.1.3", 0);
        if (listener < 0)
            return kCouldNotRun;
        serve(listener, [i, isFailing = trouble && i == 0](int connection) { serveRequests(connection, i, isFailing); });
        listed.push_back({ "i-000" + std::to_string(i), "orders", "127.0.1.3:" + std::to_string(portOf(listener)), "zone-1" });
    }
    System system(1);
    system.setServers(listed);
    if (!system.startPlatform())
        return kCouldNotRun;
    for (int i = 0; i < System::kCoordinators; ++i)
        system.startCoordinator(i, true);
    system.startGateway(0);
    const std::string document = R"({"version":7,"routes":[{"name":"r-order","host":"example.test","pathPrefix":"/order/","kind":"unsafe","timeoutMs":4000,"sloMs":1000,"priority":1,"service":"orders","maxAttempts":2}],"services":[{"name":"orders","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    if (!system.configure(document) || !system.waitUntilReady(0)) {
        record("the system did not become ready");
        return kCouldNotRun;
    }
    pause(2'000);
    int answered = 0;
    int refused = 0;
    // A client repeats such a request only after a promise that it has not run, with a new id.
    for (int i = 0; i < kRequests; ++i) {
        const std::string order = "order " + std::to_string(i);
        for (int attempt = 0; attempt < 2; ++attempt) {
            const std::string id = "review12-" + std::to_string(i) + "-" + std::to_string(attempt);
            const Message answer = call(system.gatewayAddress(0), system.frontPort(), "POST /order/new HTTP/1.1\r\nHost: example.test\r\nX-Curranttrail-Request-Id: " + id + "\r\nX-Curranttrail-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(order.size()) + "\r\n\r\n" + order);
            const std::lock_guard<std::mutex> lock(g_runsMutex);
            const auto run = g_runs.find(id);
            record("%s, id %s: %s; the client gets '%s', stamp '%s'", order.c_str(), id.c_str(), run == g_runs.end() ? "not run" : ("run, and answered by the server with " + std::to_string(run->second)).c_str(), answer.start.c_str(), answer.field("X-Curranttrail-Server-Stamp").c_str());
            answered += answer.status == 200 ? 1 : 0;
            if (answer.status != 503 && answer.status != 429)
                break;
            if (run == g_runs.end())
                continue;
            record("REFUSED: %s was answered with %d and has run", id.c_str(), answer.status);
            ++refused;
        }
        {
            const std::lock_guard<std::mutex> lock(g_runsMutex);
            if (g_orders[order] > 1)
                record("%s has run %d times", order.c_str(), g_orders[order]);
        }
        pause(20);
    }
    int result = refused > 0 ? kBroken : kHeld;
    if (!trouble && answered != kRequests)
        result = kCouldNotRun;
    record("%d of %d orders answered with success, %d requests refused although they have run; result %d", answered, kRequests, refused, result);
    return result;
}
