#include "main/operator_program.h"
#include "tests/main/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <sstream>

using namespace curranttrail;
using namespace curranttrail::test;
using stand_ins::bodyOf;
using stand_ins::RawClient;
using stand_ins::statusOf;

namespace {

// Servers of the collection "orders", one in each data centre.
constexpr std::size_t kFirstOrders = 4;
constexpr std::size_t kSecondOrders = 5;

struct EvacuationSystem : GatewayFixture {
    EvacuationSystem()
    {
        for (const std::size_t server : { std::size_t { 1 }, std::size_t { 3 }, kSecondOrders })
            servers.setDataCentre(server, "z2");
        startCoordinators();
        startGateway();
        BOOST_TEST_REQUIRE(put(document(1)) == "200");
        BOOST_TEST_REQUIRE(eventually([this] { return ready() == "200" && statusOf(ask("/order/warm", "warm")) == "200"; }));
    }

    // Sends an order to one coordinator. Returns the whole response, or nothing.
    std::string call(std::size_t coordinator, const std::string& method, const std::string& dataCentre) const
    {
        return request(coordinator, method, dataCentre.empty() ? "/curranttrail/evacuate" : "/curranttrail/evacuate/" + dataCentre);
    }

    std::string request(std::size_t coordinator, const std::string& method, const std::string& path) const
    {
        try {
            const transport::Endpoint& http = coordinatorSettings[coordinator].http;
            RawClient client(http.address, http.port);
            client.send(fmt::format("{} {} HTTP/1.1\r\nHost: {}\r\n\r\n", method, path, http.text()));
            return client.readMessage(2'000);
        } catch (const std::exception&) {
            return {};
        }
    }

    // Sends an order to all coordinators until the leader acknowledges it.
    bool order(const std::string& method, const std::string& dataCentre) const
    {
        return eventually([&] {
            for (std::size_t n = 0; n < coordinators.size(); ++n) {
                if (statusOf(call(n, method, dataCentre)) == "200")
                    return true;
            }
            return false;
        });
    }

    // Returns how many of some requests ran on the server.
    unsigned requestsThatReach(std::size_t server)
    {
        const std::string stamp = fmt::format("i-{}-", server);
        unsigned reached = 0;
        for (int n = 0; n < 30; ++n)
            reached += ask("/order/x", fmt::format("e-{}", ++sent)).find(stamp) != std::string::npos ? 1 : 0;
        return reached;
    }

    int run(std::vector<const char*> words, std::string& text)
    {
        const std::string coordinator = coordinatorSettings[2].http.text();
        words.insert(words.begin(), "curranttrail");
        words.insert(words.end(), { "--coordinator", coordinator.c_str() });
        std::ostringstream out;
        std::ostringstream err;
        const int status = runOperatorProgram(static_cast<int>(words.size()), words.data(), { out, err });
        text = out.str() + err.str();
        return status;
    }

    int sent = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(Evacuations)

// Guards against an order that only the coordinator obeys that got it, and against one that is lost when all coordinators restart.
BOOST_AUTO_TEST_CASE(AnOrderReachesTheGatewayAndOutlivesAllCoordinators)
{
    EvacuationSystem system;
    BOOST_TEST(system.requestsThatReach(kFirstOrders) > 0u);
    BOOST_TEST(system.order("POST", "z1"));
    BOOST_TEST(GatewayFixture::eventually([&] { return system.requestsThatReach(kFirstOrders) == 0; }));
    BOOST_TEST(system.requestsThatReach(kSecondOrders) == 30u);
    for (std::unique_ptr<CoordinatorDaemon>& coordinator : system.coordinators)
        coordinator.reset();
    system.startCoordinators();
    // A gateway that starts now learns of the order before it sends a request.
    system.stopGateway();
    system.startGateway();
    BOOST_TEST_REQUIRE(GatewayFixture::eventually([&] { return system.ready() == "200" && statusOf(system.ask("/order/warm", "again")) == "200"; }));
    BOOST_TEST(system.requestsThatReach(kFirstOrders) == 0u);
    BOOST_TEST(system.order("POST", "z2"));
    BOOST_TEST(GatewayFixture::eventually([&] { return system.ask("/order/x", "none").find("no_server") != std::string::npos; }));
    BOOST_TEST(system.order("DELETE", "z1"));
    BOOST_TEST(GatewayFixture::eventually([&] { return system.requestsThatReach(kFirstOrders) == 30; }));
}

// Guards against an order that a status ends although it may succeed later: only a malformed name is refused for good.
BOOST_AUTO_TEST_CASE(OrdersAreAcknowledgedRedirectedOrToBeRetried)
{
    EvacuationSystem system;
    BOOST_TEST(system.order("POST", "z2"));
    std::size_t leaders = 0;
    for (std::size_t n = 0; n < system.coordinators.size(); ++n) {
        for (const char* method : { "POST", "DELETE", "POST" }) {
            const std::string response = system.call(n, method, "not-known-yet");
            const bool isLeader = statusOf(response) == "200";
            BOOST_TEST((isLeader || statusOf(response) == "307"), response);
            BOOST_TEST((isLeader || response.find("/curranttrail/evacuate/not-known-yet\r\n") != std::string::npos), response);
            leaders += isLeader ? 1 : 0;
        }
        for (const char* name : { "a%20b", "a/b", "z2/" })
            BOOST_TEST(statusOf(system.call(n, "POST", name)) == "400");
        BOOST_TEST(statusOf(system.request(n, "DELETE", "/curranttrail/evacuate/")) == "400");
        BOOST_TEST(statusOf(system.call(n, "PUT", "z2")) == "405");
        const std::string list = system.call(n, "GET", "");
        if (statusOf(list) == "200")
            BOOST_TEST(bodyOf(list) == R"({"evacuated":[{"data_centre":"not-known-yet","servers":0},{"data_centre":"z2","servers":3}]})");
        else
            BOOST_TEST(statusOf(list) == "307");
    }
    BOOST_TEST(leaders == 3u);
    // A coordinator on its own.
    system.coordinators[0].reset();
    system.coordinators[1].reset();
    BOOST_TEST(GatewayFixture::eventually([&] {
        const std::string response = system.call(2, "POST", "z3");
        return statusOf(response) == "503" && response.find("Retry-After") != std::string::npos;
    }));
    BOOST_TEST(statusOf(system.call(2, "POST", "a%20b")) == "400");
}

BOOST_AUTO_TEST_CASE(OperatorsEvacuateFromTheCommandLine)
{
    EvacuationSystem system;
    std::string text;
    BOOST_TEST(system.run({ "evacuation", "order", "z2" }, text) == 0, text);
    BOOST_TEST(system.run({ "evacuation", "order", "z2" }, text) == 0, text);
    BOOST_TEST(system.run({ "evacuation", "list" }, text) == 0);
    BOOST_TEST(text == "z2  evacuated  3 servers listed\n");
    BOOST_TEST(system.run({ "evacuation", "order", "z 2" }, text) == 1, text);
    BOOST_TEST(system.run({ "evacuation", "withdraw", "z2" }, text) == 0, text);
    BOOST_TEST(system.run({ "evacuation", "list" }, text) == 0);
    BOOST_TEST(text.empty());
}

BOOST_AUTO_TEST_SUITE_END()
