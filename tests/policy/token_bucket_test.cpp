#include "policy/token_bucket.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::policy;

BOOST_AUTO_TEST_SUITE(TokenBuckets)

// Guards against tokens at the start, beyond the capacity or faster than the rate, and against a stated time at which there is none.
BOOST_AUTO_TEST_CASE(TokensAccumulateAtTheRateUpToTheCapacity)
{
    TimePoint now { Micros { 1'000'000 } };
    TokenBucket bucket(now);
    BOOST_TEST((bucket.timeUntilToken(now) == Micros::max()));
    bucket.configure(0.7, 2, now);
    BOOST_TEST(!bucket.tryAcquire(now));
    now += bucket.timeUntilToken(now) - Micros { 1 };
    BOOST_TEST(!bucket.tryAcquire(now));
    now += Micros { 1 };
    BOOST_TEST(bucket.tryAcquire(now));
    now += Micros { 3'600'000'000 };
    BOOST_TEST(bucket.tryAcquire(now));
    BOOST_TEST(bucket.tryAcquire(now));
    BOOST_TEST(!bucket.tryAcquire(now));
    bucket.add(5, now);
    bucket.configure(0, 1, now);
    BOOST_TEST(bucket.tryAcquire(now));
    BOOST_TEST(!bucket.tryAcquire(now));
    BOOST_TEST((bucket.timeUntilToken(now) == Micros::max()));
}

BOOST_AUTO_TEST_SUITE_END()
