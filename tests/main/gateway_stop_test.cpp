#include "tests/main/gateway_fixture.h"
#include "tests/soak/soak_processes.h"
#include "tests/stand_ins/dribbling_server.h"

#include <boost/test/unit_test.hpp>

#include <csignal>
#include <fstream>
#include <functional>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::test;
using namespace std::chrono_literals;
using stand_ins::AnswerFraming;
using stand_ins::bodyOf;
using stand_ins::DribblingServer;
using stand_ins::RawClient;
using stand_ins::StampedServers;
using stand_ins::statusOf;

namespace {

constexpr Micros kGrace { 3'000'000 };
constexpr Micros kNeverAnswers { 60'000'000 };

// Routes by the behaviour of their servers, with limits that end after the process.
struct Kind {
    const char* path;
    const char* method;
    // Collection whose answer the caller gets, if any.
    const char* collection;
};
constexpr Kind kKinds[] = {
    { "/order/", "GET", "orders" },
    { "/silent/", "GET", "" },
    { "/once/", "POST", "" },
    { "/half/", "GET", "half" },
    { "/all/", "GET", "" },
    { "/most/", "GET", "shard0" },
    { "/length/", "GET", "length" },
    { "/chunked/", "GET", "chunked" },
    { "/close/", "GET", "close" },
    { "/endless/", "GET", "" },
};

// Gateway processes that stop while their servers are silent or answer slowly.
class StoppingGateways : public GatewayFixture {
public:
    explicit StoppingGateways(std::size_t gateways = 1)
    {
        for (const char* collection : { "silent", "silent", "half" })
            servers.set(servers.add(collection), { kNeverAnswers });
        servers.add("half");
        for (const DribblingServer* server : { &m_length, &m_chunked, &m_close, &m_endless })
            servers.setListedAddress(servers.add(server->collection()), server->address());
        startCoordinators();
        BOOST_TEST_REQUIRE(put(routes(1)) == "200");
        for (std::size_t n = 0; n < gateways; ++n) {
            gatewaySettings.name = fmt::format("gateway-{}", n);
            gatewaySettings.callers.address = gatewaySettings.ready.address = fmt::format("127.0.0.{}", 21 + n);
            writeSettings();
            m_addresses.push_back(gatewaySettings.callers);
            m_processes.emplace_back(std::string { CURRANTTRAIL_BINARY_DIR } + "/curranttrail-gateway", settingsFile(), settingsFile() + ".log").start();
            BOOST_TEST_REQUIRE(eventually([this] { return ready() == "200"; }));
            BOOST_TEST_REQUIRE(eventually([this] { return statusOf(ask("/order/x", "warm")) == "200" && statusOf(ask("/half/x", "warm")) == "200"; }));
        }
    }

    static std::string routes(std::uint64_t version)
    {
        std::string text;
        for (const char* name : { "silent", "once", "half", "length", "chunked", "close", "endless", "order" })
            text += fmt::format(R"({{"name":"{0}","host":"site","pathPrefix":"/{0}/","kind":"{1}","timeoutMs":9000,"sloMs":400,"priority":1,"service":"{2}","maxAttempts":2}},)", name, name == std::string { "once" } ? "unsafe" : "safe", name == std::string { "once" } ? "silent" : name == std::string { "order" } ? "orders"
                                                                                                                                                                                                                                                                                                                        : name);
        for (const char* name : { "all", "most" })
            text += fmt::format(R"({{"name":"{0}","host":"site","pathPrefix":"/{0}/","kind":"safe","timeoutMs":9000,"sloMs":400,"priority":1,"gather":["shard0","silent"],"maxAttempts":2,"topK":5,"minCoverage":{1}}},)", name, name == std::string { "all" } ? 1 : 0.5);
        text.pop_back();
        std::string services;
        for (const char* name : { "orders", "shard0", "silent", "half", "length", "chunked", "close", "endless" })
            services += fmt::format(R"({{"name":"{}","maxConns":50}},)", name);
        services.pop_back();
        return fmt::format(R"({{"version":{},"routes":[{}],"services":[{}],"limits":{{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":9000,"idleTimeoutMs":9000}}}})", version, text, services);
    }

    // Opens connections for rounds of requests of each kind, each round at the next gateway.
    void connect(std::size_t rounds)
    {
        for (std::size_t n = 0; n < rounds * std::size(kKinds); ++n) {
            const transport::Endpoint& gateway = m_addresses[n / std::size(kKinds) % m_addresses.size()];
            RawClient& connection = m_connections.emplace_back(gateway.address, gateway.port);
            connection.send(requestText("/order/x", "first"));
            BOOST_TEST_REQUIRE(statusOf(connection.readMessage()) == "200");
        }
    }

    // Sends a request of each kind on the next connections.
    void sendAll()
    {
        for (const Kind& kind : kKinds) {
            m_sent.push_back({ &kind, fmt::format("r-{}", m_sent.size()) });
            const std::string body = kind.method == std::string { "POST" } ? "visit" : "";
            std::string text = requestText(kind.path, m_sent.back().id, kind.method, body);
            text.replace(text.find("Deadline-Ms: 2000"), 17, "Deadline-Ms: 9000");
            m_connections[m_sent.size() - 1].send(text);
        }
    }

    void signal(int number)
    {
        for (soak::ChildProcess& process : m_processes)
            process.signal(number);
    }

    void freeze(Micros duration)
    {
        signal(SIGSTOP);
        std::this_thread::sleep_for(duration);
        signal(SIGCONT);
    }

    // Each request gets one whole answer that is true.
    void checkAnswers()
    {
        std::size_t served = 0;
        for (std::size_t n = 0; n < m_sent.size(); ++n) {
            const Kind& kind = *m_sent[n].kind;
            const std::string& id = m_sent[n].id;
            const std::string answer = m_connections[n].readMessage();
            const std::string status = statusOf(answer);
            BOOST_TEST_CONTEXT(kind.path << " " << id << ": " << answer.substr(0, 300))
            {
                BOOST_TEST((status == "200" || status == "503" || status == "504"));
                if (status == "200") {
                    ++served;
                    BOOST_TEST(bodyOf(answer).size() == StampedServers::recordsOf(kind.collection, id).size());
                    BOOST_TEST(*kind.collection != '\0');
                }
                if (status == "503")
                    BOOST_TEST(servers.runsOf(id) == 0u);
            }
        }
        BOOST_TEST_MESSAGE(served << " of " << m_sent.size() << " requests were served");
        for (soak::ChildProcess& process : m_processes)
            BOOST_TEST(process.waitForExit(5s));
    }

private:
    struct Sent {
        const Kind* kind;
        std::string id;
    };

    void writeSettings() const
    {
        const GroupConnection& group = gatewaySettings.groupConnection;
        std::string seeds;
        for (const transport::Endpoint& seed : group.seeds)
            seeds += fmt::format("\"{}\",", seed.text());
        std::ofstream(settingsFile()) << fmt::format("name = \"{}\"\ndata_centre = \"z1\"\ncallers = \"{}\"\nready = \"{}\"\ngrace = \"{}us\"\n[group]\nseeds = [{}]\ngroup_port = {}\nlink_key = \"{}\"\n[repeats]\nallowance = 100\n",
            gatewaySettings.name, gatewaySettings.callers.text(), gatewaySettings.ready.text(), kGrace.count(), seeds, group.groupPort, group.linkKey);
    }

    std::string settingsFile() const { return (folder.path() / gatewaySettings.name).string(); }

    DribblingServer m_length { "length", AnswerFraming::Length, 2ms };
    DribblingServer m_chunked { "chunked", AnswerFraming::Chunked, 2ms };
    DribblingServer m_close { "close", AnswerFraming::UntilClose, 2ms };
    DribblingServer m_endless { "endless", AnswerFraming::Length, 500ms };
    std::vector<soak::ChildProcess> m_processes;
    std::vector<transport::Endpoint> m_addresses;
    std::vector<RawClient> m_connections;
    std::vector<Sent> m_sent;
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayStops)

// Guards against requests that get no whole answer because the process ends: their servers are silent, answer one byte at a time, or send
// answers without a length.
BOOST_AUTO_TEST_CASE(RequestsAtSilentAndSlowServersAreAnsweredAtAStop)
{
    StoppingGateways system;
    system.connect(4);
    system.sendAll();
    system.signal(SIGTERM);
    for (const Micros pause : { Micros { 10'000 }, Micros { 700'000 }, Micros { 900'000 } }) {
        std::this_thread::sleep_for(pause);
        system.sendAll();
    }
    system.checkAnswers();
}

// Guards against a stop that a reload, a second stop signal or a new configuration cuts short.
BOOST_AUTO_TEST_CASE(SignalsAndConfigurationsDoNotCutAStopShort)
{
    StoppingGateways system;
    system.connect(3);
    system.sendAll();
    system.signal(SIGHUP);
    system.signal(SIGTERM);
    system.signal(SIGHUP);
    system.sendAll();
    std::this_thread::sleep_for(500ms);
    system.signal(SIGTERM);
    BOOST_TEST(system.put(GatewayFixture::document(2)) == "200");
    system.signal(SIGHUP);
    BOOST_TEST(system.put(StoppingGateways::routes(3)) == "200");
    std::this_thread::sleep_for(500ms);
    system.sendAll();
    system.checkAnswers();
}

// Guards against open requests that are cut off if the process does not run shortly before its end.
BOOST_AUTO_TEST_CASE(RequestsAreAnsweredAfterAStallAtTheEndOfAStop)
{
    constexpr std::size_t kGateways = 6;
    StoppingGateways system { kGateways };
    system.connect(kGateways);
    system.signal(SIGTERM);
    std::this_thread::sleep_for(500ms);
    for (std::size_t n = 0; n < kGateways; ++n)
        system.sendAll();
    std::this_thread::sleep_for(2'000ms);
    system.freeze(450ms);
    system.checkAnswers();
}

BOOST_AUTO_TEST_SUITE_END()
