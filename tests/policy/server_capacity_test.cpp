#include "core/random.h"
#include "policy/server_capacity.h"

#include <boost/random/lognormal_distribution.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::policy;

namespace {

constexpr std::uint32_t kSlots = 6;

// Replies ten times a second with up to the given number of requests in flight. Beyond the knee durations grow with each request, and one
// reply of thirty is late by a pause.
void observe(ServerCapacity& capacity, std::uint32_t knee, std::uint32_t most, Random& random, TimePoint& now, int replies)
{
    boost::random::lognormal_distribution<double> spread(0, 0.35);
    for (int n = 0; n < replies; ++n, now += Micros { 100'000 }) {
        const std::uint32_t inFlight = boost::random::uniform_int_distribution<std::uint32_t>(1, most)(random);
        const double pause = n % 30 == 0 ? 10 : 0;
        capacity.onReply(inFlight, spread(random) * (1 + (inFlight > knee ? inFlight - knee : 0)) + pause, kSlots, now);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerCapacities)

// Guards against a knee that is not found, or is found where durations vary or are interrupted by pauses.
BOOST_AUTO_TEST_CASE(TheNumberBeyondWhichDurationsRiseIsFound)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        Random random(seed);
        TimePoint now { Micros { 1'000'000 } };
        ServerCapacity narrow;
        BOOST_TEST(narrow.estimate(kSlots, now).usableSlots == kSlots);
        observe(narrow, 2, kSlots, random, now, 300);
        BOOST_TEST(narrow.estimate(kSlots, now).usableSlots >= 1, "seed " << seed);
        BOOST_TEST(narrow.estimate(kSlots, now).usableSlots < 4, "seed " << seed);
        ServerCapacity wide;
        observe(wide, kSlots, kSlots, random, now, 300);
        BOOST_TEST(wide.estimate(kSlots, now).usableSlots > 5, "seed " << seed);
        BOOST_TEST(wide.estimate(kSlots, now).slowness < 1.25, "seed " << seed);
    }
}

// A server that slowed down early recovers. Its low capacity keeps most requests from it, so that there are none to show the recovery.
// Guards against an estimate that stays low for want of observations.
BOOST_AUTO_TEST_CASE(ALowCapacityIsForgottenWithinSeconds)
{
    Random random(7);
    TimePoint now { Micros { 1'000'000 } };
    ServerCapacity capacity;
    observe(capacity, 1, kSlots, random, now, 300);
    BOOST_TEST(capacity.estimate(kSlots, now).usableSlots < 3);
    observe(capacity, kSlots, 1, random, now, 100);
    BOOST_TEST(capacity.estimate(kSlots, now).usableSlots > 3);
    BOOST_TEST(capacity.estimate(kSlots, now + Micros { 30'000'000 }).usableSlots == kSlots);
}

BOOST_AUTO_TEST_SUITE_END()
