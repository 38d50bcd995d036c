// A request whose body is neither sent with a length nor in chunks carries another request.

#include "system.h"

using namespace review;

namespace {

struct Run {
    std::string start;
    std::string id;
    std::size_t bodyBytes;
};

std::mutex g_runsMutex;
std::vector<Run> g_runs;

void serveRequests(int connection)
{
    std::string buffer;
    while (true) {
        Message request;
        if (!readHeader(connection, buffer, request) || !readBody(connection, buffer, request, false))
            return;
        const std::string id = request.field("X-Curranttrail-Request-Id");
        if (!request.start.starts_with("GET /health")) {
            record("server runs '%s', id %s, body of %zu bytes", request.start.c_str(), id.c_str(), request.body.size());
            const std::lock_guard<std::mutex> lock(g_runsMutex);
            g_runs.push_back({ request.start, id, request.body.size() });
        }
        if (!sendAll(connection, "HTTP/1.1 200 OK\r\nX-Curranttrail-Instance-Id: i-0001\r\nX-Curranttrail-Request-Id: " + id + "\r\nX-Curranttrail-Server-Stamp: stamp-" + id + "\r\nContent-Length: 2\r\n\r\nok"))
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

    const int listener = listenOn("127.0.1.3", 0);
    if (listener < 0)
        return kCouldNotRun;
    serve(listener, serveRequests);
    System system(1);
    system.setServers({ { "i-0001", "notes", "127.0.1.3:" + std::to_string(portOf(listener)), "zone-1" } });
    if (!system.startPlatform())
        return kCouldNotRun;
    for (int i = 0; i < 3; ++i)
        system.startCoordinator(i, true);
    system.startGateway(0);
    const std::string document = R"({"version":7,"routes":[{"name":"r-note","host":"example.test","pathPrefix":"/note/","kind":"unsafe","timeoutMs":4000,"sloMs":1000,"priority":1,"service":"notes","maxAttempts":2}],"services":[{"name":"notes","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    if (!system.configure(document) || !system.waitUntilReady(0)) {
        record("the system did not become ready");
        return kCouldNotRun;
    }
    pause(2'000);
    int result = kHeld;
    int number = 0;
    for (const std::string coding : { "identity", "gzip", "xchunked", "chunked, identity" }) {
        const std::string outer = "outer-" + std::to_string(++number);
        const std::string inner = "inner-" + std::to_string(number);
        const std::string common = "Host: example.test\r\nX-Curranttrail-Deadline-Ms: 4000\r\nX-Curranttrail-Request-Id: ";
        const std::string body = "POST /note/inner HTTP/1.1\r\n" + common + inner + "\r\nContent-Length: 0\r\n\r\n";
        const std::string framing = trouble ? "Transfer-Encoding: " + coding : "Content-Length: " + std::to_string(body.size());
        record("client sends POST /note/outer, id %s, '%s', body of %zu bytes that holds the text of a request with id %s", outer.c_str(), framing.c_str(), body.size(), inner.c_str());
        const int connection = connectTo(system.gatewayAddress(0), system.frontPort());
        const timeval limit { 2, 0 };
        setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
        sendAll(connection, "POST /note/outer HTTP/1.1\r\n" + common + outer + "\r\n" + framing + "\r\n\r\n" + body);
        std::string buffer;
        for (int i = 0; i < 2; ++i) {
            Message answer;
            if (!readHeader(connection, buffer, answer)) {
                record("client gets no further answer: %s", answer.end.c_str());
                break;
            }
            readBody(connection, buffer, answer, true);
            record("client gets answer %d: '%s', id '%s'", i + 1, answer.start.c_str(), answer.field("X-Curranttrail-Request-Id").c_str());
        }
        close(connection);
        pause(200);
        const std::lock_guard<std::mutex> lock(g_runsMutex);
        const bool ranInner = std::any_of(g_runs.begin(), g_runs.end(), [&](const Run& run) { return run.id == inner; });
        const bool ranOuterChanged = std::any_of(g_runs.begin(), g_runs.end(), [&](const Run& run) { return run.id == outer && run.bodyBytes != body.size(); });
        if (ranInner)
            record("UNASKED: a server ran %s, which was smuggled inside %s", inner.c_str(), outer.c_str());
        if (ranOuterChanged)
            record("UNASKED: a server ran %s without its body", outer.c_str());
        if (ranInner || ranOuterChanged)
            result = kBroken;
        if (!trouble && std::none_of(g_runs.begin(), g_runs.end(), [&](const Run& run) { return run.id == outer; }))
            result = kCouldNotRun;
    }
    record("result %d", result);
    return result;
}
