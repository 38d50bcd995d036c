#include "tests/main/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::test;
using stand_ins::RawClient;
using stand_ins::statusOf;

namespace {

constexpr const char* kAccounts = R"(,"tenants":[{"name":"counter","apiKeys":["secret-1"]},{"name":"portal","apiKeys":["secret-3"],"ratePerS":2,"burst":3}]})";

struct AccountsFixture : GatewayFixture {
    AccountsFixture()
    {
        gatewaySettings.keyRevocationLimit = std::chrono::seconds { 1 };
        startCoordinators();
        startGateway();
        const std::string publicRoute = R"(,{"name":"open","host":"site","pathPrefix":"/open/","kind":"safe","timeoutMs":2000,"service":"orders","public":true})";
        std::string withAccounts = document(1, publicRoute);
        withAccounts.replace(withAccounts.rfind('}'), 1, kAccounts);
        BOOST_TEST_REQUIRE(put(withAccounts) == "200");
        BOOST_TEST_REQUIRE(eventually([this] { return statusOf(ask("/open/x", "warm")) == "200"; }));
    }

    std::string askWith(const std::string& key, const std::string& path, const std::string& id) const
    {
        RawClient client(gatewaySettings.callers.address, gatewaySettings.callers.port);
        std::string text = requestText(path, id);
        client.send(text.insert(text.find("\r\n") + 2, fmt::format("Authorization: Token {}\r\nX-Curranttrail-Tenant: forged\r\n", key)));
        return client.readMessage();
    }

    // Returns the account that a server was told with the last request.
    std::string lastAccount() const
    {
        const transport::HttpFields fields = servers.lastFields();
        BOOST_TEST(!transport::findField(fields, "Authorization").has_value());
        return std::string { transport::findField(fields, "X-Curranttrail-Tenant").value_or("none") };
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(GatewayAccounts)

// Guards against requests that run without a key, servers that see the key or an account that the caller chose, and a key in the log.
BOOST_AUTO_TEST_CASE(CallersAreIdentifiedByKeys)
{
    AccountsFixture system;
    BOOST_TEST(statusOf(system.askWith("secret-1", "/order/x", "known")) == "200");
    BOOST_TEST(system.lastAccount() == "counter");
    BOOST_TEST(statusOf(system.askWith("secret-2", "/open/x", "public")) == "200");
    BOOST_TEST(system.lastAccount() == "none");
    BOOST_TEST(GatewayFixture::eventually([&] { return statusOf(system.askWith("secret-2", "/order/x", "unknown")) == "401"; }));
    const std::string refused = system.ask("/order/x", "unknown");
    BOOST_TEST(refused.find("WWW-Authenticate: Token\r\n") != std::string::npos);
    BOOST_TEST(refused.find("unknown_key") != std::string::npos);
    BOOST_TEST(system.servers.runsOf("unknown") == 0u);
    BOOST_TEST(system.sink.recentAsJson(0, 4'096).find("secret-") == std::string::npos);
}

// Guards against a quota that is not kept, not granted or named to nobody, by the daemons together, and against a limit for other accounts.
BOOST_AUTO_TEST_CASE(AnAccountBeyondItsQuotaIsRefusedUntilTheLeaderGrantsMore)
{
    AccountsFixture system;
    std::size_t sent = 0;
    const auto status = [&] { return statusOf(system.askWith("secret-3", "/order/x", fmt::format("p-{}", sent++))); };
    const auto isLimited = [&] { return system.sink.recentAsJson(0, 4'096).find("account_limited") != std::string::npos; };
    BOOST_TEST(GatewayFixture::eventually([&] { return status() == "429" && isLimited(); }));
    BOOST_TEST(status() == "429");
    BOOST_TEST(statusOf(system.askWith("secret-1", "/order/x", "other")) == "200");
    BOOST_TEST(GatewayFixture::eventually([&] { return status() == "200"; }));
}

// The control group ends. Guards against keys that are admitted although nobody could withdraw them any more.
BOOST_AUTO_TEST_CASE(KeysAreRefusedWithoutControl)
{
    AccountsFixture system;
    BOOST_TEST(statusOf(system.askWith("secret-1", "/order/x", "before")) == "200");
    for (std::unique_ptr<CoordinatorDaemon>& coordinator : system.coordinators)
        coordinator.reset();
    std::string response;
    BOOST_TEST(GatewayFixture::eventually([&] {
        response = system.askWith("secret-1", "/order/x", "after");
        return statusOf(response) == "503";
    }));
    BOOST_TEST(response.find("key_unconfirmed") != std::string::npos);
    BOOST_TEST(response.find("Retry-After") != std::string::npos);
    BOOST_TEST(statusOf(system.ask("/open/x", "still")) == "200");
}

BOOST_AUTO_TEST_SUITE_END()
