#include "policy/connection_shares.h"
#include "policy/key_coverage.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include "core/random.h"

#include <numeric>
#include <string>

using namespace curranttrail;
using namespace curranttrail::policy;
using std::chrono::seconds;

namespace {

const TimePoint kStart { Micros { 1'000'000 } };

std::vector<InstanceName> names(std::uint32_t count)
{
    std::vector<InstanceName> names;
    for (std::uint32_t i = 0; i < count; ++i)
        names.push_back("entry-" + std::to_string(i));
    return names;
}

std::uint64_t pick(Random& random, std::uint64_t count)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(0, count - 1)(random);
}

} // namespace

BOOST_AUTO_TEST_SUITE(SharesAndCoverage)

// Guards against shares that together exceed the limit or leave connections unused.
BOOST_AUTO_TEST_CASE(SharesSumUpToTheLimit)
{
    for (const std::uint32_t limit : { 1U, 7U, 25U, 100U }) {
        for (const std::uint32_t count : { 1U, 3U, 9U, 40U }) {
            const std::vector<InstanceName> instances = names(count);
            std::uint32_t sum = 0;
            for (const InstanceName& self : instances) {
                const std::uint32_t share = ConnectionShares::shareInView("server", limit, self, instances);
                BOOST_TEST(share <= limit / count + 1);
                sum += share;
            }
            BOOST_TEST(sum == limit);
        }
    }
}

// Guards against always giving the remaining connections of the servers to the same instances.
BOOST_AUTO_TEST_CASE(RemaindersAreDistributedOverInstances)
{
    const std::vector<InstanceName> instances = names(10);
    std::uint32_t totalShare = 0;
    for (int server = 0; server < 100; ++server)
        totalShare += ConnectionShares::shareInView("server-" + std::to_string(server), 1, "entry-3", instances);
    BOOST_TEST(totalShare > 2U);
    BOOST_TEST(totalShare < 25U);
}

// Guards against instances with different views that together exceed a server's limit: changes reach each instance within 10 s.
BOOST_AUTO_TEST_CASE(SumStaysWithinTheLimitUnderDifferentViews)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        const std::vector<InstanceName> all = names(8);
        std::vector<ConnectionShares> shares(all.size());
        std::vector<bool> live(all.size(), false);
        std::vector<TimePoint> viewUpdateAt(all.size(), kNever);
        TimePoint changeAt = kStart;
        for (TimePoint now = kStart; now < kStart + seconds(400); now += seconds(1)) {
            if (now >= changeAt) {
                const std::size_t changed = pick(random, all.size());
                live[changed] = !live[changed];
                shares[changed] = ConnectionShares {};
                for (std::size_t i = 0; i < all.size(); ++i)
                    viewUpdateAt[i] = i == changed ? now : now + seconds(pick(random, 10));
                changeAt = now + seconds(11 + pick(random, 20));
            }
            std::vector<InstanceName> view;
            for (std::size_t i = 0; i < all.size(); ++i) {
                if (live[i])
                    view.push_back(all[i]);
            }
            std::uint32_t sum = 0;
            for (std::size_t i = 0; i < all.size(); ++i) {
                if (!live[i])
                    continue;
                if (now >= viewUpdateAt[i]) {
                    shares[i].setInstances(all[i], view, now);
                    viewUpdateAt[i] = kNever;
                }
                shares[i].expire(now);
                sum += shares[i].share("server", 25, now);
            }
            BOOST_TEST_CONTEXT("seed " << seed << " second " << (now - kStart).count() / 1'000'000)
            BOOST_TEST(sum <= 25U);
        }
    }
}

// Guards against a share that grows at once or shrinks late, and against a new instance without connections.
BOOST_AUTO_TEST_CASE(SharesShrinkAtOnceAndGrowLater)
{
    ConnectionShares shares;
    BOOST_TEST(shares.share("server", 25, kStart) == 0U);
    shares.setInstances("entry-0", names(4), kStart);
    BOOST_TEST(shares.share("server", 25, kStart) == 3U);
    shares.expire(kStart + seconds(10));
    BOOST_TEST(shares.share("server", 25, kStart + seconds(10)) == 5U);
    shares.setInstances("entry-0", names(10), kStart + seconds(20));
    BOOST_TEST(shares.share("server", 25, kStart + seconds(20)) == 2U);
    shares.setInstances("entry-0", names(4), kStart + seconds(30));
    shares.expire(kStart + seconds(39));
    BOOST_TEST(shares.share("server", 25, kStart + seconds(39)) == 2U);
    shares.expire(kStart + seconds(40));
    BOOST_TEST(shares.share("server", 25, kStart + seconds(40)) == 5U);
}

// Guards against coverage that counts keys twice or rounds a gap away.
BOOST_AUTO_TEST_CASE(CoverageIsTheUnion)
{
    KeyCoverage coverage;
    coverage.add({ 0, 1'000 });
    coverage.add({ 500, 2'000 });
    BOOST_TEST(coverage.fraction() == 2'000.0 / static_cast<double>(UINT64_MAX));
    coverage.add({ 2'001, UINT64_MAX });
    BOOST_TEST(coverage.fraction() < 1.0);
    BOOST_REQUIRE(coverage.gaps().size() == 1U);
    BOOST_TEST((coverage.gaps()[0] == KeyRange { 2'000, 2'001 }));
    coverage.add({ 2'000, 2'001 });
    BOOST_TEST(coverage.fraction() == 1.0);
    BOOST_TEST(coverage.gaps().empty());
}

// Guards against parts that overlap or miss keys, for any set of reported ranges.
BOOST_AUTO_TEST_CASE(PartsAreDisjointAndCoverTheUnion)
{
    Random random(3);
    for (int round = 0; round < 2'000; ++round) {
        std::vector<KeyRange> ranges;
        const std::uint64_t count = pick(random, 8);
        for (std::uint64_t i = 0; i < count; ++i) {
            const std::uint64_t begin = pick(random, 20);
            ranges.push_back({ begin, begin + pick(random, 10) });
        }
        KeyCoverage all;
        KeyCoverage taken;
        std::uint64_t sum = 0;
        for (const KeyRange& range : ranges)
            all.add(range);
        for (const RangePart& part : KeyCoverage::partition(ranges)) {
            BOOST_TEST(part.range.begin >= ranges[part.index].begin);
            BOOST_TEST(part.range.end <= ranges[part.index].end);
            taken.add(part.range);
            sum += part.range.size();
        }
        BOOST_TEST((taken.gaps() == all.gaps()));
        std::uint64_t gaps = 0;
        for (const KeyRange& gap : all.gaps())
            gaps += gap.size();
        BOOST_TEST(sum == UINT64_MAX - gaps);
    }
}

// Guards against clipping ranges if unclipped ones tile the key space.
BOOST_AUTO_TEST_CASE(UnclippedRangesArePreferred)
{
    const std::vector<KeyRange> ranges { { 0, 10 }, { 0, 12 }, { 10, 20 } };
    for (const RangePart& part : KeyCoverage::partition(ranges))
        BOOST_TEST((part.range == ranges[part.index]));
}

BOOST_AUTO_TEST_SUITE_END()
