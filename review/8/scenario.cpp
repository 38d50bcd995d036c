#include "world.h"

#include <csignal>

// A gateway that is cut off from the servers opens its connections through another gateway. That one is killed while a server sends an
// answer without a length. The end of the other gateway must not look like the end of the answer.

using namespace review;

namespace {
constexpr const char* kConfiguration = R"({"version":3,"routes":[
{"name":"r-record","host":"site.example","pathPrefix":"/record/","kind":"safe","timeoutMs":2000,"sloMs":400,"priority":1,"service":"records","maxAttempts":2},
{"name":"r-report","host":"site.example","pathPrefix":"/report/","kind":"safe","timeoutMs":4000,"sloMs":2000,"priority":2,"service":"records","maxAttempts":2}],
"services":[{"name":"records","healthPath":"/health","maxConns":37,"protocol":"h1","tls":false}],
"limits":{"maxHeaderBytes":16384,"maxBodyBytes":262144,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";
constexpr std::size_t kCutOff = 0;
constexpr std::size_t kOther = 1;
constexpr std::size_t kServers = 6;
constexpr std::size_t kReportClients = 4;
// Time between the two halves of a report.
constexpr Millis kReportTime { 500 };

class Scenario {
public:
    explicit Scenario(World& world)
        : m_world(world)
    {
    }

    int run()
    {
        for (std::size_t n = 0; n < kServers; ++n) {
            ServerStandIn& server = m_world.addServer("records", [this](ServedRequest& request) { answer(request); });
            server.isCutOff = [this](const Socket& socket) { return m_isCut && m_world.gateways[kCutOff]->holdsPort(socket.peerPort()); };
        }
        m_world.startPlatform();
        m_world.startAll();
        if (!m_world.configure(kConfiguration, Millis { 10'000 }) || !m_world.waitUntilServed(kCutOff, "/record/1", Millis { 5'000 }) || !m_world.waitUntilServed(kOther, "/record/1", Millis { 5'000 }))
            return 2;
        sleepFor(Millis { 3'000 });
        std::vector<std::thread> callers;
        for (const std::size_t gateway : { kCutOff, kOther })
            callers.emplace_back([this, gateway] { requestRecords(gateway); });
        sleepFor(Millis { 1'000 });
        if (hasTrouble())
            cutOff();
        for (std::size_t n = 0; n < kReportClients; ++n)
            callers.emplace_back([this, n] { requestReports(n); });
        if (hasTrouble())
            killOther();
        else
            sleepFor(Millis { 4'000 });
        m_isEnding = true;
        for (std::thread& caller : callers)
            caller.join();
        if (m_incomplete > 0)
            return 1;
        return m_whole == 0 || (hasTrouble() && !m_isRelayed) ? 2 : 0;
    }

private:
    // Reports have no length and end with the connection.
    void answer(ServedRequest& request)
    {
        if (!request.message.path().starts_with("/report/")) {
            ServerStandIn::answerNormally(request);
            return;
        }
        const std::string body = ServerStandIn::bodyOf(request.server.service, request.id);
        request.socket.send("HTTP/1.1 200 OK\r\nX-Curranttrail-Request-Id: " + request.id + "\r\nX-Curranttrail-Server-Stamp: " + request.server.stamp(request.id) + "\r\nConnection: close\r\n\r\n" + body.substr(0, body.size() / 2));
        if (m_isCut && m_world.gateways[kOther]->holdsPort(request.socket.peerPort())) {
            m_world.record.add("server " + request.server.instance + " sends half of the answer to " + request.id + " through gateway 1");
            m_isRelayed = true;
        }
        sleepFor(kReportTime);
        request.socket.send(body.substr(body.size() / 2));
        request.socket.close();
    }

    // Connections of gateway 0 to servers are reset, and new ones are refused. The listeners refuse those of gateway 1 too, so they are
    // opened once more, while gateway 0 stands still, for the connections that gateway 1 opens on its behalf.
    void cutOff()
    {
        m_isCut = true;
        setListening(false);
        m_world.record.add("gateway 0 is cut off from the servers");
        sleepFor(Millis { 1'500 });
        Process& other = *m_world.gateways[kOther];
        Process& cutOff = *m_world.gateways[kCutOff];
        other.signal(SIGSTOP);
        sleepFor(Millis { 300 });
        cutOff.signal(SIGSTOP);
        setListening(true);
        other.signal(SIGCONT);
        sleepFor(Millis { 80 });
        setListening(false);
        cutOff.signal(SIGCONT);
    }

    void killOther()
    {
        for (int n = 0; n < 300 && !m_isRelayed; ++n)
            sleepFor(Millis { 10 });
        sleepFor(Millis { 100 });
        m_world.gateways[kOther]->kill();
        m_world.record.add("gateway 1 killed");
        sleepFor(Millis { 500 });
        m_isCut = false;
        setListening(true);
        m_world.record.add("the cut ends");
        sleepFor(Millis { 2'000 });
    }

    void setListening(bool isListening)
    {
        for (const std::unique_ptr<ServerStandIn>& server : m_world.servers) {
            if (isListening)
                server->listener().open();
            else
                server->listener().close();
        }
    }

    void requestRecords(std::size_t gateway)
    {
        std::unique_ptr<Socket> socket;
        unsigned lastStatus = 0;
        for (int n = 0; !m_isEnding; ++n) {
            if (!socket)
                socket = Socket::connect(m_world.callers(gateway));
            if (socket) {
                const std::string id = "record-" + std::to_string(gateway) + "-" + std::to_string(n);
                socket->send(m_world.requestText("GET", "/record/1", id, 1'000));
                const Message response = readMessage(*socket, Millis { 1'500 }, true);
                if (response.status() != lastStatus)
                    m_world.record.add(id + ": " + std::to_string(response.status()) + ", and so on");
                lastStatus = response.status();
                judge(id, response);
                if (!response.isComplete || response.field("connection") == "close")
                    socket.reset();
            }
            sleepFor(Millis { 40 });
        }
    }

    void requestReports(std::size_t client)
    {
        for (int n = 0; !m_isEnding; ++n) {
            const std::string id = "report-" + std::to_string(client) + "-" + std::to_string(n);
            const Message response = exchange(m_world.callers(kCutOff), m_world.requestText("GET", "/report/1", id, 4'000), Millis { 4'500 });
            if (response.status() == 200 || m_isRelayed)
                m_world.record.add(id + ": " + std::to_string(response.status()) + ", " + std::to_string(response.body.size()) + " bytes");
            judge(id, response);
            sleepFor(Millis { 20 });
        }
    }

    // A success must have the whole body of the server.
    void judge(const std::string& id, const Message& response)
    {
        if (response.status() != 200 || !response.isComplete)
            return;
        const std::string expected = ServerStandIn::bodyOf("records", id);
        if (response.body == expected) {
            ++m_whole;
            return;
        }
        ++m_incomplete;
        m_world.record.add("MIXED: " + id + " got 200 with the stamp " + response.field("x-curranttrail-server-stamp") + ", Content-Length " + response.field("content-length") + " and " + std::to_string(response.body.size()) + " of the server's " + std::to_string(expected.size()) + " bytes");
    }

    World& m_world;
    std::atomic<bool> m_isCut { false };
    std::atomic<bool> m_isRelayed { false };
    std::atomic<bool> m_isEnding { false };
    std::atomic<unsigned> m_whole { 0 };
    std::atomic<unsigned> m_incomplete { 0 };
};
} // namespace

int main(int argc, char** argv)
{
    return runScenario(argc, argv, { 3, 2 }, [](World& world) { return Scenario(world).run(); });
}
