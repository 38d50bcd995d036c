#include "policy/connection_plan.h"

#include "core/random.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>

#include <map>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::policy;
using std::chrono::seconds;

namespace {

const TimePoint kStart { Micros { 1'000'000 } };
const TimePoint kJoined = kStart + seconds(10);

std::uint64_t pick(Random& random, std::uint64_t count)
{
    return boost::random::uniform_int_distribution<std::uint64_t>(0, count - 1)(random);
}

// One shard with a server in each of three data centres, and the instances of each data centre.
struct Site {
    explicit Site(const std::vector<std::size_t>& sizes)
    {
        for (std::size_t dataCentre = 0; dataCentre < sizes.size(); ++dataCentre) {
            for (std::size_t n = 0; n < sizes[dataCentre]; ++n)
                instances["entry-" + std::to_string(dataCentre) + "-" + std::to_string(n)] = "dc-" + std::to_string(dataCentre);
        }
    }

    using Plans = std::map<InstanceName, std::vector<ConnectionPlan::Allotment>>;

    // Returns what each instance may hold once it has been known to the others for a while, or nothing if one of them has no plan.
    Plans plans(const CollectionName& collection, std::uint32_t limit) const
    {
        Plans result;
        for (const auto& [self, dataCentre] : instances) {
            ConnectionPlan plan;
            plan.setInstances(self, instances, kStart);
            plan.expire(kJoined);
            const auto allotments = plan.allot(collection, limit, servers, kJoined);
            if (!allotments)
                return {};
            result[self] = *allotments;
        }
        return result;
    }

    std::map<InstanceName, DataCentreName> instances;
    std::vector<ConnectionPlan::Server> servers { { "server-0", "dc-0" }, { "server-1", "dc-1" }, { "server-2", "dc-2" } };
};

std::uint32_t sumAt(const Site::Plans& plans, std::size_t server)
{
    std::uint32_t sum = 0;
    for (const auto& [instance, allotments] : plans)
        sum += allotments[server].quota;
    return sum;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ConnectionPlans)

// 65 instances in three data centres share servers that accept 45 connections each. Guards against an instance without a connection
// to the server of its own data centre, against instances whose requests have nowhere to go while that server fails, and against more
// connections than the servers accept.
BOOST_AUTO_TEST_CASE(MostOfALimitGoesToTheInstancesOfTheSameDataCentre)
{
    const Site site({ 21, 23, 21 });
    std::size_t withoutSecondChoice = 0;
    for (int shard = 0; shard < 90; ++shard) {
        const Site::Plans plans = site.plans("shard-" + std::to_string(shard), 45);
        BOOST_TEST_REQUIRE(plans.size() == 65U);
        for (std::size_t server = 0; server < 3; ++server)
            BOOST_TEST(sumAt(plans, server) <= 45U);
        for (const auto& [instance, allotments] : plans) {
            std::size_t elsewhere = 0;
            for (std::size_t server = 0; server < 3; ++server) {
                const bool isOwn = site.servers[server].dataCentre == site.instances.at(instance);
                BOOST_TEST(allotments[server].isHome == isOwn);
                BOOST_TEST((!isOwn || allotments[server].quota >= 1));
                elsewhere += !isOwn && allotments[server].quota > 0 ? 1 : 0;
            }
            withoutSecondChoice += elsewhere == 0 ? 1 : 0;
        }
    }
    BOOST_TEST(withoutSecondChoice * 50 <= 65 * 90U, withoutSecondChoice << " of " << 65 * 90);
}

// With few instances there is more to give. Guards against overlapping requests that find one connection to the server at home although
// the limit has room, and against a server that an instance cannot use at all.
BOOST_AUTO_TEST_CASE(WhatIsLeftGoesToTheServersAtHome)
{
    const Site site({ 9, 9, 10 });
    const Site::Plans plans = site.plans("shard", 47);
    for (const auto& [instance, allotments] : plans) {
        for (std::size_t server = 0; server < 3; ++server)
            BOOST_TEST(allotments[server].quota == (allotments[server].isHome ? (server == 2 ? 2U : 3U) : 1U));
    }
}

// A fourth data centre has instances but no server of the shard. Guards against its instances being left out, and against all of them
// using the same server.
BOOST_AUTO_TEST_CASE(InstancesWithoutAServerInTheirDataCentreAreSpread)
{
    const Site site({ 14, 16, 16, 16 });
    const Site::Plans plans = site.plans("shard", 45);
    BOOST_TEST_REQUIRE(plans.size() == 62U);
    std::vector<std::size_t> homes(3);
    for (const auto& [instance, allotments] : plans) {
        std::size_t held = 0;
        for (std::size_t server = 0; server < 3; ++server) {
            held += allotments[server].quota > 0 ? 1 : 0;
            homes[server] += allotments[server].isHome && site.instances.at(instance) == "dc-3" ? 1 : 0;
        }
        BOOST_TEST(held >= 2U);
    }
    BOOST_TEST(homes[0] + homes[1] + homes[2] == 16U);
    for (std::size_t server = 0; server < 3; ++server)
        BOOST_TEST(homes[server] < 12U);
}

// Two of three servers are gone, or far more instances exist than the servers accept. Guards against a plan that leaves instances without
// a connection.
BOOST_AUTO_TEST_CASE(TooFewConnectionsAreNotPlanned)
{
    Site site({ 21, 23, 21 });
    BOOST_TEST(site.plans("shard", 30).empty());
    site.servers.pop_back();
    BOOST_TEST(site.plans("shard", 45).empty());
    site.servers.pop_back();
    BOOST_TEST(site.plans("shard", 45).empty());
}

// Instances start, end and restart, and each learns of that within 9 s. Guards against quotas that together exceed what the plan may use
// while the views differ; the connections of those that just joined come from the part of the limit that is left for them.
BOOST_AUTO_TEST_CASE(QuotasStayWithinTheLimitUnderDifferentViews)
{
    constexpr std::uint32_t kLimit = 45;
    constexpr std::uint32_t kLeftForJoiners = 9;
    const Site site({ 21, 23, 21 });
    std::vector<InstanceName> names;
    for (const auto& [name, dataCentre] : site.instances)
        names.push_back(name);
    for (std::uint64_t seed = 1; seed <= 5; ++seed) {
        Random random(seed);
        std::map<InstanceName, DataCentreName> live = site.instances;
        std::vector<ConnectionPlan> plans(names.size());
        std::vector<TimePoint> viewUpdateAt(names.size(), kStart);
        std::vector<TimePoint> joinedAt(names.size(), kStart);
        for (TimePoint now = kStart; now < kStart + seconds(150); now += seconds(1)) {
            if (now > kStart + seconds(10) && pick(random, 6) == 0) {
                const std::size_t changed = pick(random, names.size());
                if (live.erase(names[changed]) == 0) {
                    live.emplace(names[changed], site.instances.at(names[changed]));
                    plans[changed] = ConnectionPlan {};
                    joinedAt[changed] = now;
                }
                for (std::size_t n = 0; n < names.size(); ++n)
                    viewUpdateAt[n] = n == changed ? now : std::min(viewUpdateAt[n], now + seconds(pick(random, 10)));
            }
            std::vector<std::uint32_t> planned(3);
            std::vector<std::uint32_t> all(3);
            for (std::size_t n = 0; n < names.size(); ++n) {
                if (!live.contains(names[n]))
                    continue;
                if (now >= viewUpdateAt[n]) {
                    plans[n].setInstances(names[n], live, now);
                    viewUpdateAt[n] = kNever;
                }
                plans[n].expire(now);
                const auto allotments = plans[n].allot("shard", kLimit, site.servers, now);
                BOOST_TEST_REQUIRE(allotments.has_value());
                for (std::size_t server = 0; server < 3; ++server) {
                    planned[server] += now - joinedAt[n] >= seconds(10) ? (*allotments)[server].quota : 0;
                    all[server] += (*allotments)[server].quota;
                }
            }
            for (std::size_t server = 0; server < 3; ++server) {
                BOOST_TEST_CONTEXT("seed " << seed << " second " << (now - kStart).count() / 1'000'000 << " server " << server)
                {
                    BOOST_TEST(planned[server] <= kLimit);
                    BOOST_TEST(all[server] <= kLimit + kLeftForJoiners);
                }
            }
        }
    }
}

// An instance joins. Guards against other instances that lose their second choices because the plan is dealt anew: until the grace period
// is over they would have none at all.
BOOST_AUTO_TEST_CASE(ANewInstanceMovesFewSecondChoices)
{
    const Site site({ 21, 22, 21 });
    std::map<InstanceName, DataCentreName> more = site.instances;
    more["entry-1-22"] = "dc-1";
    std::size_t lost = 0;
    for (const auto& [self, dataCentre] : site.instances) {
        ConnectionPlan plan;
        plan.setInstances(self, site.instances, kStart);
        plan.expire(kJoined);
        const auto before = plan.allot("shard", 45, site.servers, kJoined);
        plan.setInstances(self, more, kJoined);
        const auto after = plan.allot("shard", 45, site.servers, kJoined);
        BOOST_TEST_REQUIRE((before && after));
        for (std::size_t server = 0; server < 3; ++server)
            lost += (*before)[server].quota > 0 && (*after)[server].quota == 0 ? 1 : 0;
    }
    BOOST_TEST(lost <= 6U);
}

BOOST_AUTO_TEST_SUITE_END()
