#include "tests/main/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::test;

namespace {

// A group of six coordinators, of which only the first three are seeds.
struct LargerGroup : GatewayFixture {
    LargerGroup()
    {
        startCoordinators();
        for (const char* address : { "127.0.0.14", "127.0.0.15", "127.0.0.16" }) {
            CoordinatorSettings settings = coordinatorSettings[0];
            settings.name = settings.group.address = settings.http.address = address;
            settings.dataFolder = (folder.path() / address).string();
            settings.bootstrap = false;
            coordinatorSettings.push_back(settings);
            coordinators.emplace_back();
            start(coordinators.size() - 1);
        }
        BOOST_TEST_REQUIRE(areVoters({ 11, 12, 13, 14, 15, 16 }));
        coordinators[0].reset();
        coordinators[1].reset();
        BOOST_TEST_REQUIRE(areVoters({ 13, 14, 15, 16 }));
        // One of those that are no seeds leads from now on.
        coordinators[2].reset();
        BOOST_TEST_REQUIRE(areVoters({ 14, 15, 16 }));
    }

    void startEmpty(std::size_t n)
    {
        std::filesystem::remove_all(coordinatorSettings[n].dataFolder);
        start(n);
    }

    void start(std::size_t n)
    {
        coordinatorSettings[n].bootstrap = false;
        coordinators[n] = std::make_unique<CoordinatorDaemon>(coordinatorSettings[n], sink);
        coordinators[n]->start();
    }

    std::string statusAt(std::size_t n) const { return stand_ins::statusOf(control(n, "GET", "")); }

    // Waits until an instance knows a leader, to which it redirects operators.
    bool findsLeader(std::size_t n) const
    {
        return eventually([&] { return statusAt(n) == "307"; });
    }

    // Waits until a leader has proposed exactly these voters and a later document is accepted, so that they are committed.
    bool areVoters(const std::vector<int>& hosts)
    {
        std::string names;
        for (const int host : hosts)
            names += fmt::format("{}127.0.0.{}:{}", names.empty() ? "" : ",", host, coordinatorSettings[0].group.port);
        const std::string voters = fmt::format("\"voters\":\"{}\"", names);
        return eventually([&] { return sink.recentAsJson(0, 4'096).find(voters) != std::string::npos; }) && put(document(++version)) == "200";
    }

    std::uint64_t version = 0;
};

} // namespace

BOOST_AUTO_TEST_SUITE(InstancesOutsideTheGroup)

// No seed leads, and the only seed that is a member follows. Guards against an instance that has lost its disk and stays outside the group for
// good: it asked only its seeds to join, and a follower did not say who leads.
BOOST_AUTO_TEST_CASE(AnEmptySeedJoinsThroughAMemberThatDoesNotLead)
{
    LargerGroup system;
    system.start(2);
    BOOST_TEST_REQUIRE(system.findsLeader(2));
    system.startEmpty(0);
    BOOST_TEST(system.findsLeader(0));
}

// All seeds have lost their disks, as in a group of an earlier build. Guards against seeds that stay outside the group for good because none
// of them knows a member.
BOOST_AUTO_TEST_CASE(EmptySeedsJoinAfterAnElection)
{
    LargerGroup system;
    for (const std::size_t n : { 0, 1, 2 })
        system.startEmpty(n);
    std::size_t leader = 3;
    while (leader < 5 && system.statusAt(leader) != "200")
        ++leader;
    system.coordinators[leader].reset();
    for (const std::size_t n : { 0, 1, 2 })
        BOOST_TEST(system.findsLeader(n));
}

BOOST_AUTO_TEST_SUITE_END()
