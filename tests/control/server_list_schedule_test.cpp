#include "control/server_list_schedule.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::control;

BOOST_AUTO_TEST_SUITE(ServerListSchedules)

// Guards against servers that leave unnoticed without a leader, and against a new leader that waits because it fetched the list just before.
BOOST_AUTO_TEST_CASE(TheListIsFetchedWithAndWithoutALeader)
{
    const TimePoint start { std::chrono::hours { 1 } };
    ServerListSchedule schedule;
    ReplicaStatus status;
    double share = 0;
    for (int n = 0; n <= 45; ++n) {
        status.timeWithoutLeader = std::chrono::milliseconds { 100 * n };
        const std::optional<ServerListSchedule::Fetch> fetch = schedule.next(status, 3, start + status.timeWithoutLeader);
        BOOST_TEST(fetch.has_value() == (n == 15 || n == 25 || n == 35 || n == 45));
        share = std::max(share, fetch && fetch->withoutLeader ? fetch->rateShare : 0);
    }
    BOOST_TEST(share * 3 <= 1.0);
    status = { .role = Role::Leader, .leaseValid = true };
    const std::optional<ServerListSchedule::Fetch> fetch = schedule.next(status, 3, start + std::chrono::milliseconds { 4'600 });
    BOOST_TEST((fetch && !fetch->withoutLeader));
    BOOST_TEST(!schedule.next(status, 3, start + std::chrono::milliseconds { 5'500 }));
}

BOOST_AUTO_TEST_SUITE_END()
