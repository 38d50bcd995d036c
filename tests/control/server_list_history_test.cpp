#include "control/server_list_history.h"
#include "core/random.h"
#include "routing/server_table.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/test/unit_test.hpp>
#include <fmt/format.h>

#include <set>
#include <string>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::routing;

namespace {

int randomBelow(Random& random, int bound)
{
    return boost::random::uniform_int_distribution<int>(0, bound - 1)(random);
}

// Returns a random list of up to 12 servers, some of them leaving or cold.
ServerList randomList(Random& random)
{
    ServerList list;
    for (int n = 0; n < 12; ++n) {
        if (randomBelow(random, 4) == 0)
            continue;
        list.push_back({ fmt::format("i{}", n), fmt::format("c{}", n % 3), fmt::format("10.0.0.{}:80", n), "dc-a", 2, randomBelow(random, 4) == 0, Micros { randomBelow(random, 3) } });
    }
    return list;
}

std::set<std::string> workingServers(const ServerTable& table)
{
    std::set<std::string> working;
    for (const auto& [instance, server] : table.all()) {
        if (server->acceptsWork())
            working.insert(instance);
    }
    return working;
}

} // namespace

BOOST_AUTO_TEST_SUITE(ServerListHistories)

// Guards against a reader of changes that ends up with different servers than a reader of whole lists.
BOOST_AUTO_TEST_CASE(ChangesLeadToTheSameServersAsWholeLists)
{
    for (std::uint64_t seed = 1; seed <= 50; ++seed) {
        Random random(seed);
        ServerListHistory history(7);
        ServerTable byChanges("dc-a", "gateway");
        ListVersion held;
        TimePoint now { Micros { 1'000'000 } };
        for (int step = 0; step < 60; ++step) {
            const ServerList list = randomList(random);
            history.set(list);
            now += Micros { 5'000'000 };
            byChanges.evictRetired(now);
            // The reader skips revisions, sometimes more than are retained.
            if (randomBelow(random, 3) > 0)
                continue;
            const std::optional<ServerListDelta> changes = history.changesSince(held);
            if (changes)
                byChanges.apply(*changes, Micros { 0 }, now);
            else
                byChanges.apply(history.servers(), Micros { 0 }, now);
            held = history.version();
            byChanges.evictRetired(now);
            ServerTable byLists("dc-a", "gateway");
            byLists.apply(list, Micros { 0 }, now);
            BOOST_REQUIRE_MESSAGE(workingServers(byChanges) == workingServers(byLists), "seed " << seed << " step " << step);
        }
    }
}

// Guards against a new revision for a list in which only the remaining cold time decreased.
BOOST_AUTO_TEST_CASE(RemainingColdTimeIsNoChange)
{
    ServerListHistory history(7);
    BOOST_TEST(!history.known());
    BOOST_TEST(history.set({ { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 3'000'000 } } }));
    BOOST_TEST(!history.set({ { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 2'000'000 } } }));
    BOOST_TEST(history.set({ { "i1", "a", "10.0.0.1:80", "dc-a", 2, true, Micros { 0 } } }));
    BOOST_TEST(history.version().revision == 2u);
}

// A server turns cold again without a restart. Guards against instances that never learn of it, against a revision for each list while
// servers are cold, and against a late reader that takes the time of an old list for a new one.
BOOST_AUTO_TEST_CASE(AServerThatTurnsColdAgainIsAChange)
{
    const auto cold = [](Micros remaining) { return ServerList { { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, remaining } }; };
    const TimePoint start { Micros { 10'000'000 } };
    ServerListHistory history(7);
    history.set(cold(Micros { 3'000'000 }), start);
    BOOST_TEST(!history.set(cold(Micros { 2'050'000 }), start + Micros { 1'000'000 }));
    BOOST_TEST((history.servers().front().coldStartRemaining == Micros { 2'050'000 }));
    // Its cold time has begun anew between two lists, so that it is shorter than in the one before.
    BOOST_TEST(history.set(cold(Micros { 1'900'000 }), start + Micros { 2'000'000 }));
    BOOST_TEST(!history.set(cold(Micros { 0 }), start + Micros { 6'000'000 }));
    BOOST_TEST(history.set(cold(Micros { 2'500'000 }), start + Micros { 7'000'000 }));
}

// Guards against requests to servers that have left: an instance that leads again, or one whose fetch was interrupted by a pause,
// published a list that was older than that of the leader in between.
BOOST_AUTO_TEST_CASE(AListFetchedBeforeTheTermIsNotPublished)
{
    const ServerList beforeLeaving { { "i1", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } } };
    const TimePoint start { Micros { 10'000'000 } };
    ServerListHistory history(7);
    history.beginTerm(1, 8, start);
    BOOST_TEST(history.accepts(start));
    history.set(beforeLeaving);
    // The lease is lost and regained in the same term: no other instance has led.
    history.beginTerm(1, 9, start + Micros { 500'000 });
    BOOST_TEST(history.known());
    BOOST_TEST(history.version().epoch == 8u);

    // Another instance leads in between for a moment, in term 2.
    const TimePoint again = start + Micros { 1'000'000 };
    history.beginTerm(3, 10, again);
    BOOST_TEST(!history.known());
    BOOST_TEST(history.version().epoch == 10u);
    BOOST_TEST(!history.accepts(again - Micros { 1 }));
    BOOST_TEST(history.accepts(again));
}

// Guards against changes computed from a list of another leader or from a revision that is too old.
BOOST_AUTO_TEST_CASE(UnknownVersionsGetTheWholeList)
{
    ServerListHistory history(7);
    for (int n = 0; n < 40; ++n)
        history.set({ { fmt::format("i{}", n), "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } } });
    BOOST_TEST(!history.changesSince({}).has_value());
    BOOST_TEST(!history.changesSince({ 8, 39 }).has_value());
    BOOST_TEST(!history.changesSince({ 7, 2 }).has_value());
    BOOST_TEST(!history.changesSince({ 7, 41 }).has_value());
    const std::optional<ServerListDelta> changes = history.changesSince({ 7, 39 });
    BOOST_REQUIRE(changes.has_value());
    BOOST_TEST((*changes == ServerListDelta { { { "i39", "a", "10.0.0.1:80", "dc-a", 2, false, Micros { 0 } } }, { "i38" } }));
}

BOOST_AUTO_TEST_SUITE_END()
