#include "policy/admission.h"
#include "policy/concurrency_limit.h"
#include "policy/hedge_budget.h"
#include "policy/latency_quantiles.h"
#include "policy/replica_choice.h"
#include "policy/retry_budget.h"
#include "policy/server_estimate.h"
#include "policy/server_health.h"
#include "policy/silence_detector.h"

#include <boost/test/unit_test.hpp>

#include <array>

using namespace curranttrail;
using namespace curranttrail::policy;
using std::chrono::milliseconds;

namespace {
const TimePoint kStart { Micros { 1'000'000 } };

ClassTarget target(const char* owner, Micros latency)
{
    return { "class", owner, "catalogue", 0.99, latency, 1.0, true, {} };
}
} // namespace

BOOST_AUTO_TEST_SUITE(LoadPolicies)

// Guards against quantiles that are off by more than a bin or follow a change too slowly.
BOOST_AUTO_TEST_CASE(QuantilesFollowRecentSamples)
{
    LatencyQuantiles latency;
    BOOST_TEST(latency.quantile(0.5).count() == 0);
    for (int i = 1; i <= 1'000; ++i)
        latency.add(Micros { i * 100 });
    BOOST_TEST(static_cast<double>(latency.quantile(0.5).count()) == 50'000.0, boost::test_tools::tolerance(0.08));
    BOOST_TEST(static_cast<double>(latency.quantile(0.99).count()) == 99'000.0, boost::test_tools::tolerance(0.08));
    for (int i = 0; i < 4'000; ++i)
        latency.add(Micros { 1'000'000 });
    BOOST_TEST(latency.quantile(0.4).count() > 900'000);
}

// Guards against more hedges than the targets allow at each share of stragglers: none, 1% and 5%.
BOOST_AUTO_TEST_CASE(HedgesStayWithinTheirBudget)
{
    const std::array<std::pair<int, double>, 3> cases { { { 0, 0.02 }, { 100, 0.03 }, { 20, 0.08 } } };
    for (const auto& [every, maximumShare] : cases) {
        HedgeBudget budget;
        int taken = 0;
        for (int i = 1; i <= 100'000; ++i) {
            budget.onFirstAttempt();
            if (every > 0 && i % every == 0)
                budget.onStraggler();
            taken += budget.tryAcquire() ? 1 : 0;
        }
        BOOST_TEST(taken <= maximumShare * 100'000);
        BOOST_TEST(taken >= (every > 0 ? 1.5 / every : 0.005) * 100'000);
    }
}

// Guards against hedging if most subqueries are late, which is caused by load and not by stragglers.
BOOST_AUTO_TEST_CASE(HedgesStopWhenEverythingIsSlow)
{
    HedgeBudget budget;
    for (int i = 0; i < 400; ++i) {
        budget.onFirstAttempt();
        if (i % 2 == 0)
            budget.onOverdue();
    }
    BOOST_TEST(budget.isSuppressed());
    BOOST_TEST(!budget.tryAcquire());
    for (int i = 0; i < 400; ++i)
        budget.onFirstAttempt();
    BOOST_TEST(budget.tryAcquire());
}

// Guards against more retries than a tenth of the first attempts, and against synchronised retries.
BOOST_AUTO_TEST_CASE(RetriesAreLimitedAndRandomised)
{
    RetryBudget budget;
    int taken = 0;
    for (int i = 0; i < 10'000; ++i) {
        budget.onFirstAttempt();
        taken += budget.tryAcquire() ? 1 : 0;
    }
    BOOST_TEST(taken <= 1'021);
    Random random(1);
    BOOST_TEST((RetryBudget::backoff(2, random) != RetryBudget::backoff(2, random)));
    for (std::uint32_t retry = 0; retry < 80; ++retry)
        BOOST_TEST((RetryBudget::backoff(retry, random) <= RetryBudget::maximumBackoff(retry)));
    BOOST_TEST((RetryBudget::maximumBackoff(3) == 2 * RetryBudget::maximumBackoff(2)));
}

// Guards against trusting the reports of a server that reports low load but replies slowly.
BOOST_AUTO_TEST_CASE(ReportsThatContradictRepliesLoseTheirWeight)
{
    ServerEstimate honest { Micros { 500 } };
    ServerEstimate dishonest { Micros { 500 } };
    TimePoint now = kStart;
    for (int i = 0; i < 6; ++i) {
        now += milliseconds(20);
        honest.onReport(0.5, now);
        dishonest.onReport(0.0, now);
        honest.onReply(milliseconds(10), milliseconds(9), 2, now);
        dishonest.onReply(milliseconds(60), milliseconds(9), 2, now);
    }
    BOOST_TEST(honest.reportTrust(now) > 0.4);
    BOOST_TEST(dishonest.reportTrust(now) < 0.1);
    BOOST_TEST(dishonest.expectedMicros(0, 2, milliseconds(10), now) > 2 * honest.expectedMicros(0, 2, milliseconds(10), now));
}

// Guards against reports that do not lose weight with age.
BOOST_AUTO_TEST_CASE(OldReportsLoseTheirWeight)
{
    ServerEstimate estimate { Micros { 500 } };
    estimate.onReport(0.1, kStart);
    BOOST_TEST(estimate.reportTrust(kStart + milliseconds(2'000)) < estimate.reportTrust(kStart) / 10);
    // A report never has more weight than own observations.
    BOOST_TEST(estimate.reportTrust(kStart) <= 0.5);
}

// Guards against avoiding a server for ever after it was slow, and against a large effect of one straggler.
BOOST_AUTO_TEST_CASE(SlownessDecaysAndOneStragglerHasLittleEffect)
{
    ServerEstimate estimate { Micros { 500 } };
    for (int i = 0; i < 20; ++i)
        estimate.onReply(milliseconds(10), milliseconds(9), 2, kStart);
    estimate.onReply(milliseconds(100), milliseconds(99), 2, kStart);
    BOOST_TEST(estimate.expectedMicros(0, 2, milliseconds(10), kStart) < 15'000.0);
    for (int i = 0; i < 20; ++i)
        estimate.onReply(milliseconds(100), milliseconds(99), 2, kStart);
    BOOST_TEST(estimate.expectedMicros(0, 2, milliseconds(10), kStart) > 50'000.0);
    BOOST_TEST(estimate.expectedMicros(0, 2, milliseconds(10), kStart + milliseconds(8'000)) < 15'000.0);
}

// Guards against sending all subqueries to the server with the lowest cost.
BOOST_AUTO_TEST_CASE(PowerOfTwoChoicesSpreadsTheLoad)
{
    Random random(7);
    const std::array<double, 8> costs { 1, 2, 2, 2, 2, 2, 2, 9 };
    std::array<int, 8> chosen {};
    for (int i = 0; i < 8'000; ++i)
        ++chosen[ReplicaChoice::choose(costs, random)];
    BOOST_TEST(chosen[0] > 1'700);
    BOOST_TEST(chosen[0] < 2'300);
    BOOST_TEST(chosen[7] == 0);
    BOOST_TEST(chosen[3] > 700);
}

// Guards against full load on a server in slow start, and against sending every query to a failing server.
BOOST_AUTO_TEST_CASE(SlowStartAndSuspension)
{
    Random random(1);
    ServerHealth health(true, kStart);
    BOOST_TEST(health.slowStartFactor(kStart) == 0.1);
    BOOST_TEST(health.slowStartFactor(kStart + milliseconds(2'500)) == 0.5);
    BOOST_TEST(health.slowStartFactor(kStart + milliseconds(6'000)) == 1.0);
    for (int i = 0; i < 3; ++i)
        health.onFailure(random, kStart);
    BOOST_TEST(health.isSuspended(kStart + milliseconds(40)));
    const TimePoint later = kStart + milliseconds(10'000);
    BOOST_TEST(!health.isSuspended(later));
    health.onFailure(random, later);
    BOOST_TEST(health.isSuspended(later + milliseconds(90)));
    health.onReply(later);
    BOOST_TEST(!health.isSuspended(later));
    BOOST_TEST(health.slowStartFactor(later) == 0.1);
}

// Guards against queues on a server that several instances use without coordination.
BOOST_AUTO_TEST_CASE(QueueDelayLowersTheLimit)
{
    ConcurrencyLimit limit(2);
    TimePoint now = kStart;
    const std::uint32_t before = limit.limit();
    limit.onReply(milliseconds(100), milliseconds(10), before, now);
    BOOST_TEST(limit.limit() == before);
    for (int i = 0; i < 40; ++i)
        limit.onReply(milliseconds(40), milliseconds(10), before, now += milliseconds(40));
    BOOST_TEST(limit.limit() == 1U);
    for (int i = 0; i < 60; ++i)
        limit.onReply(milliseconds(0), milliseconds(10), limit.limit(), now += milliseconds(10));
    BOOST_TEST(limit.limit() == before);
}

// Guards against shedding urgent queries before ordinary ones, and against starving ordinary ones.
BOOST_AUTO_TEST_CASE(OrdinaryQueriesAreShedFirstAndNotStarved)
{
    Admission admission;
    const ClassTarget urgent = target("nile", milliseconds(100));
    const ClassTarget ordinary = target("nile", milliseconds(1'000));
    TimePoint now = kStart;
    int urgentIn = 0;
    int ordinaryIn = 0;
    for (int i = 0; i < 20'000; ++i) {
        now += milliseconds(1);
        // The wait grows with the queries in flight, as on servers with fixed capacity.
        const Micros wait = milliseconds(2 * admission.inFlight());
        const Admission::Demand first { &urgent, milliseconds(200), Micros { 0 }, milliseconds(10) };
        const Admission::Demand second { &ordinary, milliseconds(2'000), Micros { 0 }, milliseconds(10) };
        urgentIn += admission.tryAdmit(first, now) ? 1 : 0;
        ordinaryIn += admission.tryAdmit(second, now) ? 1 : 0;
        if (i % 2 == 0 && admission.inFlight() > 0) {
            const bool isOrdinary = ordinaryIn * 10 > urgentIn;
            admission.onEnded(isOrdinary ? ordinary : urgent, wait, true, now);
        }
    }
    BOOST_TEST(urgentIn > 8'000);
    BOOST_TEST(ordinaryIn > 500);
    BOOST_TEST(ordinaryIn < 2'000);
    // The mean wait stays within the part of the urgent class's target that is allowed for queueing.
    BOOST_TEST(admission.inFlight() < 15U);
}

// Guards against ordinary queries that fill the limit and leave no capacity for urgent ones.
BOOST_AUTO_TEST_CASE(PartOfTheLimitIsReservedForUrgentQueries)
{
    Admission admission;
    admission.setInitialLimit(10);
    const ClassTarget urgent = target("nile", milliseconds(100));
    const ClassTarget ordinary = target("nile", milliseconds(1'000));
    const Admission::Demand first { &urgent, milliseconds(200), milliseconds(20), milliseconds(10) };
    const Admission::Demand second { &ordinary, milliseconds(2'000), milliseconds(20), milliseconds(10) };
    BOOST_TEST(admission.tryAdmit(first, kStart));
    int taken = 0;
    while (taken < 100 && admission.tryAdmit(second, kStart))
        ++taken;
    // Seven of ten are in flight with the urgent query; one more comes from the ordinary tokens.
    BOOST_TEST(taken == 7);
    BOOST_TEST(admission.tryAdmit(first, kStart));
    BOOST_TEST(admission.tryAdmit(first, kStart));
}

// Guards against one owner's overload that uses up the capacity of another owner.
BOOST_AUTO_TEST_CASE(OwnersKeepTheirShareOfTheLimit)
{
    Admission admission;
    admission.setInitialLimit(10);
    const ClassTarget nile = target("nile", milliseconds(100));
    const ClassTarget stone = target("stone", milliseconds(100));
    const Admission::Demand greedy { &nile, milliseconds(200), milliseconds(20), milliseconds(10) };
    const Admission::Demand modest { &stone, milliseconds(200), milliseconds(20), milliseconds(10) };
    BOOST_TEST(admission.tryAdmit(modest, kStart));
    int taken = 0;
    while (taken < 100 && admission.tryAdmit(greedy, kStart))
        ++taken;
    BOOST_TEST(taken <= 9);
    for (int i = 0; i < 4; ++i)
        BOOST_TEST(admission.tryAdmit(modest, kStart));
    BOOST_TEST(!admission.tryAdmit(modest, kStart));
}

// Guards against admitting queries that cannot meet their target latency or deadline.
BOOST_AUTO_TEST_CASE(QueriesThatCannotMeetTheirTargetAreNotAdmitted)
{
    Admission admission;
    const ClassTarget urgent = target("nile", milliseconds(100));
    BOOST_TEST(!admission.tryAdmit({ &urgent, milliseconds(200), milliseconds(60), milliseconds(10) }, kStart));
    BOOST_TEST(!admission.tryAdmit({ &urgent, milliseconds(5), Micros { 0 }, milliseconds(10) }, kStart));
    BOOST_TEST(admission.tryAdmit({ &urgent, milliseconds(200), milliseconds(10), milliseconds(10) }, kStart));
}

// Guards against closing connections of a slow server or of a server that stalled as a whole.
BOOST_AUTO_TEST_CASE(SilenceRequiresRecentRepliesOnOtherConnections)
{
    const Micros silenceTimeout = milliseconds(100);
    const TimePoint late = kStart + silenceTimeout;
    BOOST_TEST(SilenceDetector::isSilent({ kStart, 2, late - milliseconds(10) }, silenceTimeout, late));
    BOOST_TEST(!SilenceDetector::isSilent({ kStart, 1, late - milliseconds(10) }, silenceTimeout, late));
    BOOST_TEST(!SilenceDetector::isSilent({ kStart, 2, kStart + milliseconds(1) }, silenceTimeout, late));
    BOOST_TEST(!SilenceDetector::isSilent({ kStart, 2, late - milliseconds(10) }, silenceTimeout, late - milliseconds(1)));
    LatencyQuantiles latency;
    for (int i = 0; i < 100; ++i)
        latency.add(milliseconds(i < 95 ? 10 : 100));
    // A straggler of ten times the typical duration keeps its connection.
    BOOST_TEST((SilenceDetector::silenceTimeout(latency) >= milliseconds(180)));
}

BOOST_AUTO_TEST_SUITE_END()
