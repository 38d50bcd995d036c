#include "tests/policy/quota_world.h"

#include <boost/test/unit_test.hpp>

using namespace curranttrail;
using namespace curranttrail::policy;

namespace {

constexpr std::size_t kSeeds = 16;
constexpr double kTarget = 0.95;
// Buckets begin empty and are full by then.
constexpr double kWarmUpSeconds = 15;

// Runs the disturbance in worlds with small and large bursts, and checks that no window exceeds the bound.
void checkBound(const std::function<void(QuotaWorld&)>& disturb, double seconds = 25)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (const double burstSeconds : { 0.2, 1.0, 4.0 }) {
            QuotaWorld world(seed, burstSeconds);
            world.run(kWarmUpSeconds);
            disturb(world);
            world.run(seconds);
            BOOST_TEST(world.worstExcess() <= 0, "seed " << seed << ", burst of " << burstSeconds << " s: " << world.worstExcess() << " beyond the bound");
        }
    }
}

void makeHot(QuotaWorld& world)
{
    for (const std::size_t n : { std::size_t { 0 }, QuotaWorld::kAccounts - 1, std::size_t { 1 } })
        world.accounts[n].factor = 7;
}

} // namespace

BOOST_AUTO_TEST_SUITE(Quotas)

// Guards against refusals of accounts that are within their quotas, most of whose requests arrive at an instance that holds no credit.
BOOST_AUTO_TEST_CASE(SteadyDemandWithinTheQuotaIsServed)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (const double burstSeconds : { 1.0, 4.0 }) {
            QuotaWorld world(seed, burstSeconds);
            world.run(kWarmUpSeconds);
            world.beginMeasurement();
            world.run(60);
            BOOST_TEST(world.servedPart(0, QuotaWorld::kAccounts) >= kTarget, seed << ": " << world.servedPart(0, QuotaWorld::kAccounts));
            BOOST_TEST(world.servedPart(0, 1) >= kTarget, seed << ": " << world.servedPart(0, 1));
            BOOST_TEST(world.worstExcess() <= 0, world.worstExcess());
        }
    }
}

// Guards against an account at seven times its usual demand that exceeds its quota, gets less than its quota or takes that of others.
BOOST_AUTO_TEST_CASE(AHotAccountGetsItsQuotaAndNoMore)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        for (const double burstSeconds : { 0.2, 1.0, 4.0 }) {
            QuotaWorld world(seed, burstSeconds);
            world.run(kWarmUpSeconds);
            world.beginMeasurement();
            makeHot(world);
            world.run(40);
            BOOST_TEST(world.servedPart(0, 1) >= kTarget, seed << "/" << burstSeconds << ": " << world.servedPart(0, 1));
            BOOST_TEST((burstSeconds < 1 || world.servedPart(2, QuotaWorld::kAccounts - 1) >= kTarget), seed << ": " << world.servedPart(2, QuotaWorld::kAccounts - 1));
            BOOST_TEST(world.worstExcess() <= 0, seed << "/" << burstSeconds << ": " << world.worstExcess());
        }
    }
}

// Guards against credits that are used after the leader has granted them anew, by instances that were paused, with and without a clock
// that notices it.
BOOST_AUTO_TEST_CASE(PausedInstancesUseNoExpiredCredits)
{
    for (const Micros lost : { Micros { 0 }, Micros { 2'500'000 } }) {
        checkBound([&](QuotaWorld& world) {
            makeHot(world);
            for (std::size_t n = 0; n < QuotaWorld::kInstances; n += 2) {
                world.at(1 + 0.05 * static_cast<double>(n), [&world, n] { world.pause(n); });
                world.at(3.5 + 0.05 * static_cast<double>(n), [&world, n, lost] { world.resume(n, lost); });
            }
            world.run(10);
        });
    }
}

// Guards against a part of the instances that goes on with old news of the leader while the others use the whole quota.
BOOST_AUTO_TEST_CASE(InstancesThatAreCutOffKeepToTheirShare)
{
    checkBound([](QuotaWorld& world) {
        makeHot(world);
        world.at(1, [&world] {
            for (std::size_t n = 0; n < QuotaWorld::kInstances; n += 3)
                world.instances[n].isCutOff = true;
        });
        world.run(12);
        for (QuotaWorld::Instance& instance : world.instances)
            instance.isCutOff = false;
    });
}

// Guards against instances that get a new allowance with each start.
BOOST_AUTO_TEST_CASE(RestartedInstancesGetNoNewAllowance)
{
    checkBound([](QuotaWorld& world) {
        makeHot(world);
        for (std::size_t n = 0; n < QuotaWorld::kInstances; ++n)
            world.at(2 + 0.1 * static_cast<double>(n), [&world, n] { world.start(n); });
        world.run(10);
    });
}

// Guards against a new leader that grants again what its predecessor has granted, also if accounts become hot while there is none.
BOOST_AUTO_TEST_CASE(ANewLeaderGrantsNothingTwice)
{
    for (const double leaderless : { 0.05, 1.5, 6.0 }) {
        checkBound([leaderless](QuotaWorld& world) {
            world.ledger.reset();
            makeHot(world);
            world.run(leaderless);
            world.elect();
            world.run(6);
            world.ledger.reset();
            world.run(leaderless);
            world.elect();
        });
    }
}

// Guards against accounts within their quotas that are refused after a change of leader because buckets are empty then: in ten seconds, at most
// as many requests may be lost as were asked in the second without a leader.
BOOST_AUTO_TEST_CASE(AChangeOfLeaderRefusesFewRequests)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        QuotaWorld world(seed, 1);
        world.run(kWarmUpSeconds);
        world.beginMeasurement();
        world.ledger.reset();
        world.run(1);
        world.elect();
        world.run(9);
        BOOST_TEST(world.servedPart(0, QuotaWorld::kAccounts) >= 0.9, seed << ": " << world.servedPart(0, QuotaWorld::kAccounts));
    }
}

// Guards against a bucket that keeps what a higher quota allowed. The bound is that of the lower quota one window after the change.
BOOST_AUTO_TEST_CASE(ALowerQuotaBindsAtOnce)
{
    for (std::uint64_t seed = 1; seed <= kSeeds; ++seed) {
        QuotaWorld world(seed, 4);
        makeHot(world);
        world.run(10);
        for (std::size_t n = 0; n < QuotaWorld::kAccounts; ++n)
            world.setQuota(n, 0.3);
        world.run(5);
        for (QuotaWorld::Account& account : world.accounts)
            account.worstExcess = -1e9;
        world.run(20);
        BOOST_TEST(world.worstExcess() <= 0, seed << ": " << world.worstExcess());
    }
}

// Guards against a credit that is used once the leader may have granted it anew: the time counts from the report, also for a late reply.
BOOST_AUTO_TEST_CASE(ACreditExpiresOneSecondAfterTheReport)
{
    const TimePoint start { Micros { 1'000'000 } };
    const AccountId account = accountIdOf("nile");
    for (const bool isSuspended : { false, true }) {
        QuotaCredits credits(1);
        credits.configure({ { account, { 1, 10 } } });
        credits.onLimited({ account }, start);
        BOOST_TEST(!credits.tryAcquire(account, start));
        const std::uint64_t number = credits.nextReport(start).value().number;
        credits.onReply({ number, { { account, 3 } }, { account } }, start + Micros { 900'000 });
        BOOST_TEST(credits.tryAcquire(account, start + Micros { 999'999 }).has_value());
        TimePoint end = start + Micros { 1'000'000 };
        if (isSuspended)
            credits.onSuspended(end = start + Micros { 999'999 });
        BOOST_TEST(!credits.tryAcquire(account, end));
        const QuotaReport report = credits.nextReport(end).value();
        BOOST_TEST(report.accounts.at(0).used == 1U);
        BOOST_TEST(report.accounts.at(0).expired == 2U);
        credits.onReply({ report.number, { { account, 3 } }, { account } }, end + Micros { 1'000'000 });
        BOOST_TEST(!credits.tryAcquire(account, end + Micros { 1'000'000 }));
    }
}

// Guards against a report that counts twice because it was sent again, arrived late or reached two leaders.
BOOST_AUTO_TEST_CASE(AResentReportCountsOnce)
{
    const TimePoint start { Micros { 1'000'000 } };
    const AccountId account = accountIdOf("nile");
    QuotaLedger ledger;
    ledger.configure({ { account, { 1, 10 } } }, start);
    const TimePoint now = start + Micros { 20'000'000 };
    QuotaReport report { 7, 1, { { account, 0, 0, 0, 12, 0 } } };
    ledger.handle(report, now);
    ledger.handle(report, now);
    BOOST_TEST(ledger.counters().overdrawn == 12U);
    report.number = 2;
    report.accounts[0].overdrawn = 13;
    ledger.handle(report, now);
    BOOST_TEST(ledger.counters().overdrawn == 13U);
    // What the earlier leader covered is not deducted by the next one.
    ledger.beginTerm(now);
    report = { 7, 3, { { account, 0, 0, 0, 14, 13 } } };
    ledger.handle(report, now);
    BOOST_TEST(ledger.counters().overdrawn == 14U);
}

BOOST_AUTO_TEST_SUITE_END()
