#include "policy/server_rate_limit.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <deque>
#include <limits>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::policy;

namespace {

constexpr Micros kStep { 10'000 };
constexpr Micros kUpdateInterval { 100'000 };

// Sends as many requests as the share allows and returns their number.
int sendAll(ServerRateLimit& limit, std::uint32_t instances, TimePoint& now, Micros duration, std::uint32_t priority = 1)
{
    int sent = 0;
    for (const TimePoint until = now + duration; now < until; now += kStep) {
        if ((now.time_since_epoch() % kUpdateInterval).count() == 0 && !limit.update(instances, now))
            return -1;
        sent += limit.tryAcquire(priority, now) ? 1 : 0;
    }
    return sent;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerRateLimits)

// Guards against a share that is exceeded, full at the start or not used, for limits from none to more than can be sent.
BOOST_AUTO_TEST_CASE(AShareIsAPartOfTheLimit)
{
    Random random(3);
    for (const double named : { 0.0, 0.4, 5.0, 40.0, 1e300, std::numeric_limits<double>::max() }) {
        TimePoint now { Micros { 1'000'000 } };
        ServerRateLimit limit(named, 4, random, now);
        BOOST_TEST(!limit.canAcquire(1, now));
        const int sent = sendAll(limit, 4, now, Micros { 40'000'000 });
        BOOST_TEST(sent >= 1, named);
        BOOST_TEST(sent <= std::max(named, 0.4) / 4 * 40 + 1, named);
        if (named >= 5 && named <= 40)
            BOOST_TEST(sent >= named / 4 * 40 * 0.7, named);
    }
}

// Guards against a value that changes with each reply and thereby grants tokens, or never lets one mature.
BOOST_AUTO_TEST_CASE(AChangingLimitGrantsNoTokens)
{
    Random random(5);
    TimePoint now { Micros { 1'000'000 } };
    ServerRateLimit limit(10, 1, random, now);
    int sent = 0;
    for (int n = 0; n < 4'000; ++n, now += kStep) {
        limit.onNamed(n % 2 == 0 ? 5 : 15, now);
        sent += limit.tryAcquire(1, now) ? 1 : 0;
    }
    BOOST_TEST(sent <= 10 * 40 + 10);
    BOOST_TEST(sent >= 10 * 40 * 0.7);
}

// Guards against a share that falls behind the number of instances when that grows.
BOOST_AUTO_TEST_CASE(MoreInstancesLeaveSmallerShares)
{
    Random random(7);
    TimePoint now { Micros { 1'000'000 } };
    ServerRateLimit limit(20, 2, random, now);
    sendAll(limit, 2, now, Micros { 5'000'000 });
    const int sent = sendAll(limit, 10, now, Micros { 20'000'000 });
    BOOST_TEST(sent <= 20 / 10 * 20 + 8);
}

// Guards against tokens that many instances save up while a server gets no requests.
BOOST_AUTO_TEST_CASE(FewInstancesHoldAnUnspentToken)
{
    constexpr std::uint32_t kInstances = 200;
    constexpr double kLimit = 10;
    Random random(11);
    TimePoint now { Micros { 1'000'000 } };
    std::vector<ServerRateLimit> limits;
    for (std::uint32_t n = 0; n < kInstances; ++n)
        limits.emplace_back(kLimit, kInstances, random, now);
    for (int n = 0; n < 1'200; ++n) {
        now += kUpdateInterval;
        int unspent = 0;
        for (ServerRateLimit& limit : limits) {
            limit.update(kInstances, now);
            unspent += limit.canAcquire(1, now) ? 1 : 0;
        }
        // These and the tokens of the next 4 s are at most what one and a half times the limit allows.
        BOOST_TEST(unspent <= 1.5 * kLimit * 4 + 5 - kLimit * 4);
    }
}

// Guards against a less urgent class that takes the share of a more urgent one, and against one that gets nothing.
BOOST_AUTO_TEST_CASE(AMoreUrgentClassTakesMostOfTheShare)
{
    Random random(13);
    TimePoint now { Micros { 1'000'000 } };
    ServerRateLimit limit(20, 1, random, now);
    int urgent = 0;
    int usual = 0;
    for (int n = 0; n < 6'000; ++n, now += kStep) {
        if (n % 10 == 0)
            limit.update(1, now);
        // The less urgent requests come first and more often.
        for (const std::uint32_t priority : { 2U, 1U }) {
            if (n % (priority == 2 ? 2 : 4) != 0)
                continue;
            if (!limit.tryAcquire(priority, now))
                limit.onHeldBack(priority, now);
            else
                ++(priority == 1 ? urgent : usual);
        }
    }
    BOOST_TEST(urgent >= 3 * usual);
    BOOST_TEST(usual * 10 >= urgent);
    // Without the more urgent class the whole share is left to the other.
    now += Micros { 60'000'000 };
    const int alone = sendAll(limit, 1, now, Micros { 20'000'000 }, 2);
    BOOST_TEST(alone >= 20 * 20 * 0.7);
}

// Guards against a limit that never ends, ends at once, or does not come back when the server names it again.
BOOST_AUTO_TEST_CASE(AnEndedLimitIsLiftedGradually)
{
    Random random(17);
    TimePoint now { Micros { 1'000'000 } };
    ServerRateLimit limit(10, 1, random, now);
    sendAll(limit, 1, now, Micros { 4'000'000 });
    BOOST_TEST(limit.onUnnamed(now));
    BOOST_TEST(!limit.onUnnamed(now));
    BOOST_TEST(sendAll(limit, 1, now, Micros { 1'000'000 }) <= 1.5 * 10 + 5);
    limit.onNamed(10, now);
    BOOST_TEST(sendAll(limit, 1, now, Micros { 10'000'000 }) <= 10 * 10 + 20);
    BOOST_TEST(limit.onUnnamed(now));
    BOOST_TEST(sendAll(limit, 1, now, Micros { 10'000'000 }) == -1);
}

// Guards against a request that was not sent and still uses up the share.
BOOST_AUTO_TEST_CASE(AReleasedTokenCanBeTakenAgain)
{
    Random random(19);
    TimePoint now { Micros { 1'000'000 } };
    ServerRateLimit limit(1, 1, random, now);
    now += Micros { 2'000'000 };
    BOOST_TEST(limit.tryAcquire(1, now));
    BOOST_TEST(!limit.tryAcquire(1, now));
    limit.release(now);
    BOOST_TEST(limit.tryAcquire(1, now));
}

BOOST_AUTO_TEST_SUITE_END()
