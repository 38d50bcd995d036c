// A server answers a long request early, with a body that has no length, and crashes in the middle of it.

#include "system.h"

using namespace review;

namespace {

constexpr int kServers = 8;
constexpr int kRequests = 3;
constexpr std::size_t kRequestBytes = 262'144;
constexpr std::size_t kAnswerBytes = 24'000;

std::string answerBody()
{
    std::string body;
    while (body.size() < kAnswerBytes)
        body += "record " + std::to_string(body.size()) + "\n";
    return body.substr(0, kAnswerBytes - 5) + "\nend\n";
}

struct Server {
    pid_t process = -1;
    int port = 0;
    // The server writes a byte when it has sent half an answer.
    int half = -1;
};

// Runs in a process of its own.
void runServer(int listener, int half, const std::string& id)
{
    prctl(PR_SET_PDEATHSIG, SIGKILL);
    signal(SIGPIPE, SIG_IGN);
    while (true) {
        const int accepted = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            _exit(0);
        std::thread([connection = accepted, half, id] {
            std::string buffer;
            while (true) {
                Message request;
                if (!readHeader(connection, buffer, request))
                    break;
                const bool isLong = request.start.starts_with("POST");
                const std::string common = "X-Curranttrail-Instance-Id: " + id + "\r\nX-Curranttrail-Request-Id: " + request.field("X-Curranttrail-Request-Id") + "\r\nX-Curranttrail-Server-Stamp: stamp-" + id + "\r\n";
                if (!isLong) {
                    if (!readBody(connection, buffer, request, false) || !sendAll(connection, "HTTP/1.1 200 OK\r\n" + common + "Content-Length: 2\r\n\r\nok"))
                        break;
                    continue;
                }
                const std::string body = answerBody();
                sendAll(connection, "HTTP/1.1 200 OK\r\n" + common + "Connection: close\r\n\r\n" + body.substr(0, body.size() / 2));
                if (write(half, "h", 1) != 1)
                    break;
                pause(400);
                sendAll(connection, body.substr(body.size() / 2));
                shutdown(connection, SHUT_WR);
                // Reads on, so that the end of the connection is no reset.
                readBody(connection, buffer, request, false);
                while (fill(connection, buffer, buffer.size() + 1, request))
                    buffer.clear();
                break;
            }
            close(connection);
        }).detach();
    }
}

Server startServer(const std::string& id)
{
    Server server;
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    // Segments and a window of a real link: loopback would take the whole request at once.
    const int segment = 1'460;
    const int window = 16'384;
    setsockopt(listener, IPPROTO_TCP, TCP_MAXSEG, &segment, sizeof segment);
    setsockopt(listener, SOL_SOCKET, SO_RCVBUF, &window, sizeof window);
    const sockaddr_in local = endpoint("127.0.1.3", 0);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || listen(listener, 64) != 0)
        std::exit(kCouldNotRun);
    server.port = portOf(listener);
    int ends[2];
    if (pipe2(ends, O_CLOEXEC) != 0)
        std::exit(kCouldNotRun);
    server.half = ends[0];
    server.process = fork();
    if (server.process == 0) {
        runServer(listener, ends[1], id);
        _exit(0);
    }
    close(listener);
    close(ends[1]);
    return server;
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

    std::vector<Server> servers;
    std::vector<ListedServer> listed;
    for (int i = 0; i < kServers; ++i) {
        const std::string id = "i-000" + std::to_string(i);
        servers.push_back(startServer(id));
        listed.push_back({ id, "uploads", "127.0.1.3:" + std::to_string(servers.back().port), "zone-1" });
    }
    System system(1);
    system.setServers(listed);
    if (!system.startPlatform())
        return kCouldNotRun;
    for (int i = 0; i < System::kCoordinators; ++i)
        system.startCoordinator(i, true);
    system.startGateway(0);
    const std::string document = R"({"version":7,"routes":[{"name":"r-upload","host":"example.test","pathPrefix":"/upload/","kind":"unsafe","timeoutMs":4000,"sloMs":1000,"priority":1,"service":"uploads","maxAttempts":2}],"services":[{"name":"uploads","healthPath":"/health","maxConns":26,"protocol":"h1","tls":false}],"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
    int result = kCouldNotRun;
    if (!system.configure(document))
        record("no coordinator acknowledged the configuration");
    else if (!system.waitUntilReady(0))
        record("the gateway did not become ready");
    else {
        pause(3'000);
        result = kHeld;
        const std::string body(kRequestBytes, 'u');
        const std::string whole = answerBody();
        int answered = 0;
        for (int i = 0; i < kRequests; ++i) {
            const std::string id = "review11-" + std::to_string(getpid()) + "-" + std::to_string(i);
            std::atomic<bool> done { false };
            std::thread crash([&] {
                std::vector<pollfd> halves;
                for (const Server& server : servers)
                    halves.push_back({ server.half, POLLIN, 0 });
                while (!done) {
                    if (poll(halves.data(), halves.size(), 50) <= 0)
                        continue;
                    for (std::size_t k = 0; k < halves.size(); ++k) {
                        char byte;
                        if (!(halves[k].revents & POLLIN) || read(halves[k].fd, &byte, 1) != 1)
                            continue;
                        record("server %zu has sent the header and %zu of %zu bytes of its answer", k, whole.size() / 2, whole.size());
                        // One crash: an eighth of the servers.
                        if (!trouble || i > 0)
                            continue;
                        pause(150);
                        kill(servers[k].process, SIGKILL);
                        waitpid(servers[k].process, nullptr, 0);
                        servers[k].process = -1;
                        halves[k].fd = -1;
                        record("server %zu is killed", k);
                    }
                    for (std::size_t k = 0; k < halves.size(); ++k) {
                        if (halves[k].revents & POLLHUP)
                            halves[k].fd = -1;
                    }
                }
            });
            record("client sends POST /upload/1, id %s, %zu bytes", id.c_str(), body.size());
            const Message answer = call(system.gatewayAddress(0), system.frontPort(), "POST /upload/1 HTTP/1.1\r\nHost: example.test\r\nX-Curranttrail-Request-Id: " + id + "\r\nX-Curranttrail-Deadline-Ms: 4000\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body);
            done = true;
            crash.join();
            record("client got status %d, %s, stamp '%s', content-length '%s', body of %zu bytes, end '%s'", answer.status, answer.isComplete ? "complete" : "incomplete", answer.field("X-Curranttrail-Server-Stamp").c_str(), answer.field("Content-Length").c_str(), answer.body.size(), answer.end.c_str());
            if (answer.isComplete && answer.status / 100 == 2) {
                ++answered;
                if (answer.body != whole) {
                    record("MIXED: a success that looks complete, with a body that is not the server's whole body");
                    result = kBroken;
                }
            }
            pause(300);
        }
        if (!trouble && answered != kRequests) {
            record("only %d of %d requests were answered without the disruption", answered, kRequests);
            result = kCouldNotRun;
        }
    }
    for (const Server& server : servers) {
        if (server.process > 0) {
            kill(server.process, SIGKILL);
            waitpid(server.process, nullptr, 0);
        }
    }
    record("result %d", result);
    return result;
}
