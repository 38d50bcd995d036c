#include "tests/main/gateway_fixture.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::test;
using stand_ins::statusOf;

namespace {

// Within this time after the server list shows that a server leaves, it gets its last request.
constexpr std::chrono::seconds kDrainTime { 3 };

struct LeaderlessGroup : GatewayFixture {
    LeaderlessGroup()
    {
        startCoordinators();
        startGateway();
        BOOST_TEST_REQUIRE(put(document(1)) == "200");
        BOOST_TEST_REQUIRE(eventually([this] { return ready() == "200"; }));
        BOOST_TEST_REQUIRE(eventually([this] { return statusOf(ask("/order/warm", "warm")) == "200"; }));
        // Two of three lose their disks, which is more than the group can repair.
        for (std::size_t n = 0; n < 2; ++n) {
            coordinators[n].reset();
            std::filesystem::remove_all(coordinatorSettings[n].dataFolder);
        }
        coordinators[2].reset();
        for (CoordinatorSettings& settings : coordinatorSettings)
            settings.bootstrap = false;
        startCoordinators();
        std::this_thread::sleep_for(kDrainTime);
        BOOST_TEST_REQUIRE(read().empty());
    }

    // Sends requests for a while. Returns how many of them reached the server.
    unsigned requestsThatReach(const std::string& server)
    {
        unsigned reached = 0;
        for (int n = 0; n < 40; ++n)
            reached += ask("/order/x", fmt::format("d-{}", n)).find(server) != std::string::npos ? 1 : 0;
        return reached;
    }
};

} // namespace

BOOST_AUTO_TEST_SUITE(LeaderlessGroups)

// Guards against requests to a server that began to leave while the control group had no leader: only a leader passed the server list on.
BOOST_AUTO_TEST_CASE(AServerThatLeavesMeanwhileGetsNothingNew)
{
    LeaderlessGroup system;
    BOOST_TEST(system.requestsThatReach("i-4-") > 0u);
    stand_ins::ServerBehaviour leaving;
    leaving.leaving = true;
    system.servers.set(4, leaving);
    std::this_thread::sleep_for(kDrainTime);
    BOOST_TEST(system.requestsThatReach("i-4-") == 0u);
    BOOST_TEST(statusOf(system.ask("/order/x", "last")) == "200");
}

BOOST_AUTO_TEST_SUITE_END()
