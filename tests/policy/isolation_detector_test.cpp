#include "policy/isolation_detector.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::policy;

namespace {
const TimePoint kStart { Micros { 1'000'000 } };
TimePoint at(int ms) { return kStart + std::chrono::milliseconds { ms }; }
}

BOOST_AUTO_TEST_SUITE(IsolationDetectors)

// A data centre is partitioned from the others while callers still reach it. Guards against an instance there that stays ready
// and fails most requests, which instances in other data centres could serve.
BOOST_AUTO_TEST_CASE(FailuresAfterLosingTheLeaderIsolateAnInstance)
{
    IsolationDetector detector;
    for (int n = 0; n < 20; ++n)
        detector.recordRequestOutcome(true, at(n * 20));
    detector.recordLeaderContact(false, at(1'400));
    BOOST_TEST(!detector.isIsolated());
    for (int n = 0; n < 10; ++n)
        detector.recordRequestOutcome(n % 4 == 0, at(1'400 + n * 40));
    BOOST_TEST(detector.isIsolated());
    // Outcomes do not end the isolation; contact with the leader does.
    detector.recordRequestOutcome(true, at(10'000));
    BOOST_TEST(detector.isIsolated());
    detector.recordLeaderContact(true, at(10'500));
    BOOST_TEST(!detector.isIsolated());
}

// A data centre is partitioned from the others, and each of its instances gets about one request per second, to many shards.
// Guards against an instance that gets too few requests to be detected and fails all of them while the partition lasts.
BOOST_AUTO_TEST_CASE(OneFailedRequestToManyShardsIsSufficient)
{
    IsolationDetector detector;
    detector.recordRequestOutcome(true, at(0));
    detector.recordLeaderContact(false, at(600));
    detector.recordRequestOutcome(false, at(1'500), 22);
    BOOST_TEST(detector.isIsolated());
    IsolationDetector fewUnanswered;
    fewUnanswered.recordLeaderContact(false, at(600));
    fewUnanswered.recordRequestOutcome(false, at(1'500), 3);
    BOOST_TEST(!fewUnanswered.isIsolated());
}

// A data centre is partitioned from the others. Guards against an instance that waits for its requests to fail, which takes as
// long as their callers wait, before callers are sent elsewhere.
BOOST_AUTO_TEST_CASE(SilentDataCentresIsolateAnInstanceWithoutALeader)
{
    IsolationDetector detector;
    detector.recordOtherDataCentres(true, at(300));
    BOOST_TEST(!detector.isIsolated());
    detector.recordLeaderContact(false, at(400));
    BOOST_TEST(detector.isIsolated());
    detector.recordOtherDataCentres(false, at(1'000));
    BOOST_TEST(detector.isIsolated());
    detector.recordLeaderContact(true, at(5'000));
    BOOST_TEST(!detector.isIsolated());
    detector.recordLeaderContact(false, at(6'000));
    BOOST_TEST(!detector.isIsolated());
}

// Guards against callers that return while the load balancer still sends them to the isolated instances of their data centre.
BOOST_AUTO_TEST_CASE(RefusedCallersReturnWhenTheyReachAnotherInstance)
{
    const std::chrono::milliseconds removalDelay { 2'300 };
    IsolationDetector detector;
    BOOST_TEST((detector.timeUntilRemoved(removalDelay, at(0)) == Micros { 0 }));
    detector.recordLeaderContact(false, at(400));
    detector.recordOtherDataCentres(true, at(500));
    detector.recordRequestOutcome(false, at(900), 22);
    BOOST_TEST((detector.timeUntilRemoved(removalDelay, at(1'500)) == std::chrono::milliseconds { 1'300 }));
    BOOST_TEST((detector.timeUntilRemoved(removalDelay, at(4'000)) == Micros { 0 }));
    detector.recordLeaderContact(true, at(4'100));
    BOOST_TEST((detector.timeUntilRemoved(removalDelay, at(4'100)) == Micros { 0 }));
}

// Guards against all instances becoming unready if the servers fail everywhere, or if only the control group is down.
BOOST_AUTO_TEST_CASE(FailuresOrALostLeaderAloneDoNotIsolate)
{
    IsolationDetector detector;
    for (int n = 0; n < 50; ++n)
        detector.recordRequestOutcome(false, at(n * 20));
    BOOST_TEST(!detector.isIsolated());
    IsolationDetector serving;
    serving.recordLeaderContact(false, at(0));
    for (int n = 0; n < 50; ++n)
        serving.recordRequestOutcome(n % 3 != 0, at(n * 20));
    BOOST_TEST(!serving.isIsolated());
}

BOOST_AUTO_TEST_SUITE_END()
