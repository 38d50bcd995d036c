#include "tests/routing/oversubscribed_fleet.h"
#include "tests/routing/router_harness.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <map>
#include <string>
#include <utility>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::routing;

namespace {

std::uint64_t sumOf(const std::array<std::uint64_t, kAttemptReasonNames.size()>& counts)
{
    return counts[0] + counts[1] + counts[2];
}

// The attempts of a data centre's instances: those that stayed there, and all.
struct Attempts {
    std::uint64_t atHome = 0;
    std::uint64_t all = 0;
};

Attempts attemptsOf(const OversubscribedFleet& fleet, const DataCentreName& dataCentre)
{
    Attempts attempts;
    for (std::size_t n = 0; n < fleet.routers.size(); ++n) {
        if (fleet.ownDataCentre[n] != dataCentre)
            continue;
        const RouterCounters& counters = fleet.routers[n]->counters();
        attempts.atHome += sumOf(counters.attemptsAtHome);
        attempts.all += sumOf(counters.attemptsAtHome) + sumOf(counters.attemptsElsewhere);
    }
    return attempts;
}

// Returns the share of attempts that stay in the data centre once the instances are connected.
double shareAtHome(OversubscribedFleet& fleet, const DataCentreName& dataCentre)
{
    const Attempts before = attemptsOf(fleet, dataCentre);
    fleet.run(milliseconds { 4'000 });
    const Attempts after = attemptsOf(fleet, dataCentre);
    return static_cast<double>(after.atHome - before.atHome) / static_cast<double>(after.all - before.all);
}

// Slows every second server of data centre dc-0, so that each instance there compares them with others of its own.
void slowHalf(OversubscribedFleet& fleet, milliseconds additionalTime)
{
    bool isSlow = false;
    for (const auto& [server, dataCentre] : fleet.dataCentreOf) {
        if (dataCentre == "dc-0" && std::exchange(isSlow, !isSlow))
            fleet.additionalTime[server] = additionalTime;
    }
}

// One shard whose servers "a", "b", ... stand in data centres dc-a, dc-b, ...
struct SpreadShard {
    SpreadShard(std::size_t servers, std::uint32_t connectionLimit)
    {
        harness.setUpCollections(1, 1.0);
        harness.document = std::make_shared<RouteDocument>(*harness.document);
        harness.document->version = 2;
        harness.document->collections["shard0"].connectionLimit = connectionLimit;
        harness.handle(RouteDocumentUpdated { harness.document });
        std::erase_if(harness.serverList, [](const ServerRecord& record) { return record.collection == "shard0"; });
        for (std::size_t n = 0; n < servers; ++n) {
            const std::string name(1, static_cast<char>('a' + n));
            harness.addServer(name, "shard0");
            harness.serverList.back().address = "10.1.0." + name;
            harness.serverList.back().dataCentre = "dc-" + name;
        }
        harness.publish();
        harness.advance(milliseconds { 500 });
    }

    // Lets this instance learn of all instances, so many in each of the data centres dc-a, dc-b, ...
    void setInstances(std::size_t dataCentres, std::size_t each)
    {
        EntryInstancesChanged changed { { "gateway-1" }, { { "gateway-1", "dc-a" } } };
        for (std::size_t n = 1; n < dataCentres * each; ++n) {
            changed.instances.push_back(fmt::format("other-{}", n));
            changed.dataCentres[changed.instances.back()] = "dc-" + std::string(1, static_cast<char>('a' + n % dataCentres));
        }
        harness.handle(changed);
        harness.advance(milliseconds { 11'000 });
    }

    RouterHarness harness;
};

} // namespace

BOOST_AUTO_TEST_SUITE(DataCentres)

// Half of the servers of a data centre need four times as long as the others; the objective is far. Guards against queries that leave for a faster
// server although nobody gets an answer sooner than needed: traffic between data centres is billed.
BOOST_AUTO_TEST_CASE(QueriesStayWithSlowerServersWhileTheirObjectiveIsFar)
{
    OversubscribedFleet fleet(3, 65, milliseconds { 300 });
    slowHalf(fleet, milliseconds { 45 });
    fleet.run(milliseconds { 4'000 });
    BOOST_TEST(shareAtHome(fleet, "dc-0") > 0.98);
    for (const auto& [server, count] : fleet.mostOpen)
        BOOST_TEST(count <= OversubscribedFleet::kConnectionLimit * 0.85, server << ": " << count);
}

// The same servers, but the objective would be missed. Guards against queries that stay for the price alone.
BOOST_AUTO_TEST_CASE(QueriesLeaveSlowServersForTheirObjective)
{
    OversubscribedFleet fleet(3, 65, milliseconds { 40 });
    slowHalf(fleet, milliseconds { 60 });
    fleet.run(milliseconds { 4'000 });
    const double shareAtSlowServers = 2 * shareAtHome(fleet, "dc-0") - shareAtHome(fleet, "dc-1");
    BOOST_TEST(shareAtSlowServers < 0.5, shareAtSlowServers);
}

// A server at home is a little late. Guards against a hedge to another data centre that hardly any request needs, against one that comes
// too late, and against waiting where a second server is at home.
BOOST_AUTO_TEST_CASE(HedgesThatLeaveTheDataCentreWaitLonger)
{
    SpreadShard shard(2, 26);
    RouterHarness& harness = shard.harness;
    shard.setInstances(2, 6);
    harness.takeSent();
    harness.sendRequest("/search/x");
    std::vector<SendAttempt> sent = harness.takeSent();
    BOOST_TEST_REQUIRE(sent.size() == 1U);
    BOOST_TEST(sent.front().instance == "a");
    harness.advance(milliseconds { 36 });
    BOOST_TEST(harness.takeSent().empty());
    harness.advance(milliseconds { 14 });
    BOOST_TEST(harness.takeSent().size() == 1U);
    BOOST_TEST(harness.router.counters().attemptsElsewhere[static_cast<std::size_t>(AttemptReason::Hedge)] == 1U);

    harness.addServer("a2", "shard0");
    harness.serverList.back().dataCentre = "dc-a";
    harness.publish();
    harness.advance(milliseconds { 500 });
    harness.takeSent();
    harness.sendRequest("/search/x");
    harness.advance(milliseconds { 36 });
    BOOST_TEST(harness.takeSent().size() == 2U);
}

// More instances share the servers than before. Guards against connections that stay open beyond the smaller quota: the others count on
// them.
BOOST_AUTO_TEST_CASE(ConnectionsBeyondASmallerQuotaAreClosed)
{
    SpreadShard shard(2, 26);
    RouterHarness& harness = shard.harness;
    shard.setInstances(2, 6);
    const auto connections = [&] { return harness.router.servers().all().at("a")->connections; };
    harness.sendRequest("/search/x");
    harness.sendRequest("/search/x");
    for (const SendAttempt& send : harness.takeSent())
        harness.reply(send, RouterHarness::success("stamp"));
    BOOST_TEST(connections() == 2U);
    shard.setInstances(2, 10);
    BOOST_TEST(connections() == 1U);
}

// Each instance has connections to two of three servers, and both fail. Guards against requests that are refused although a server of
// the shard is left.
BOOST_AUTO_TEST_CASE(AnyServerIsUsedWhenThePlannedOnesFail)
{
    for (const char* remaining : { "b", "c" }) {
        SpreadShard shard(3, 10);
        RouterHarness& harness = shard.harness;
        shard.setInstances(3, 4);
        for (const ServerRecord& record : harness.serverList) {
            if (record.collection == "shard0" && record.instance != remaining)
                harness.unreachableAddresses.insert(record.address);
        }
        for (int n = 0; n < 20; ++n) {
            harness.sendRequest("/search/x");
            harness.advance(milliseconds { 200 });
        }
        harness.advance(milliseconds { 1'000 });
        harness.takeSent();
        harness.sendRequest("/search/x");
        const std::vector<SendAttempt> sent = harness.takeSent();
        BOOST_TEST_REQUIRE(sent.size() == 1U);
        BOOST_TEST(sent.front().instance == remaining);
    }
}

BOOST_AUTO_TEST_SUITE_END()
