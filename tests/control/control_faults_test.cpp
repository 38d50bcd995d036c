#include "tests/control/document_operators.h"
#include "tests/control/operators.h"
#include "tests/control/stewarded_group.h"

#include <boost/test/unit_test.hpp>

#include <algorithm>
#include <cerrno>
#include <cstdlib>
#include <string>
#include <utility>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };

struct FaultOptions {
    bool changesMembers = false;
    // Also crashes replicas that are back within less than an election time-out, several of them at about the same time.
    bool restartsAtOnce = false;
};

// Faults at random times. At most a minority of the voters is without its disk's content at any time.
class FaultSchedule {
public:
    FaultSchedule(ControlWorld& world, FaultOptions options)
        : m_world(world)
        , m_options(options)
    {
    }

    void start() { next(); }

    void stop()
    {
        m_running = false;
        m_world.healLinks();
        for (std::size_t n = 0; n < m_world.size(); ++n)
            m_world.failDisk(n, 0);
    }

    std::size_t disksLost() const { return m_disksLost; }

private:
    Micros between(std::uint64_t least, std::uint64_t most) { return Micros { static_cast<Micros::rep>(least + m_world.below(most - least + 1)) }; }

    void next()
    {
        restartAll();
        if (m_running)
            strike();
        m_world.after(between(100'000, 1'200'000), [this] { next(); });
    }

    void restartAll()
    {
        for (std::size_t n = 0; n < m_world.size(); ++n) {
            if (!m_world.isUp(n) && (!m_running || m_world.below(2) == 0))
                m_world.restart(n);
            if (m_world.isUp(n) && !m_world.status(n).repairing)
                m_lost.erase(n);
        }
    }

    void restartAtOnce()
    {
        for (std::size_t n = 0; n < m_world.size(); ++n) {
            if (!m_world.isUp(n) || m_world.below(4) == 0)
                continue;
            m_world.after(between(0, 30'000), [this, n] {
                if (m_world.isUp(n))
                    m_world.crash(n, false);
            });
            m_world.after(between(31'000, 200'000), [this, n] {
                if (!m_world.isUp(n))
                    m_world.restart(n);
            });
        }
    }

    void strike()
    {
        if (m_options.restartsAtOnce && m_world.below(3) == 0) {
            restartAtOnce();
            return;
        }
        const std::size_t replica = m_world.below(m_world.size());
        const std::size_t other = m_world.below(m_world.size());
        switch (m_world.below(13)) {
        case 0:
            m_world.cut(replica, other, true);
            break;
        case 1:
            m_world.isolate(m_world.leader().value_or(replica), true);
            break;
        case 2:
        case 3:
            m_world.healLinks();
            break;
        case 4:
            m_world.setLoss(static_cast<unsigned>(m_world.below(30)));
            break;
        case 5:
            m_world.freeze(m_world.leader().value_or(replica), between(100'000, 2'000'000));
            break;
        case 6:
            if (m_world.isUp(replica))
                m_world.crash(replica, true);
            break;
        case 7:
            if (m_world.isUp(replica))
                m_world.crash(replica, false);
            break;
        case 8:
        case 9:
            m_world.disk(replica).operationsUntilCrash = 1 + m_world.below(12);
            break;
        case 10:
            loseDisk(replica);
            break;
        case 11:
            m_world.failDisk(replica, m_world.below(2) == 0 ? ENOSPC : EIO);
            m_world.after(between(200'000, 3'000'000), [this, replica] { m_world.failDisk(replica, 0); });
            break;
        case 12:
            if (m_options.changesMembers)
                changeMembers(replica);
            break;
        default:
            break;
        }
    }

    void loseDisk(std::size_t replica)
    {
        if (!m_lost.empty() && !(m_world.size() == 5 && !m_options.changesMembers && m_lost.size() < 2))
            return;
        m_lost.insert(replica);
        ++m_disksLost;
        if (m_world.isUp(replica))
            m_world.crash(replica, true);
        m_world.disk(replica).erase();
    }

    void changeMembers(std::size_t replica)
    {
        const std::optional<std::size_t> leader = m_world.leader();
        if (!leader)
            return;
        const ReplicaStatus status = m_world.status(*leader);
        ChangeMembers change { status.voters, status.learners };
        const InstanceName name = ControlWorld::nameOf(replica);
        if (change.learners.erase(name) == 1)
            change.voters.insert(name);
        else if (change.voters.contains(name) && change.voters.size() > 3)
            change.voters.erase(name);
        else
            change.learners.insert(name);
        m_world.submit(*leader, change, [](const CommandResult&) {});
    }

    ControlWorld& m_world;
    FaultOptions m_options;
    bool m_running = true;
    std::set<std::size_t> m_lost;
    std::size_t m_disksLost = 0;
};

bool allVote(ControlWorld& world)
{
    for (std::size_t n = 0; n < world.size(); ++n) {
        if (!world.isUp(n) || world.status(n).repairing)
            return false;
    }
    return world.leader().has_value();
}

bool allAgree(ControlWorld& world)
{
    const std::optional<std::size_t> leader = world.leader();
    if (!leader)
        return false;
    const ReplicaStatus status = world.status(*leader);
    for (std::size_t n = 0; n < world.size(); ++n) {
        const bool isMember = status.voters.contains(ControlWorld::nameOf(n)) || status.learners.contains(ControlWorld::nameOf(n));
        if (isMember && (!world.isUp(n) || world.status(n).repairing || world.status(n).commitIndex != status.commitIndex))
            return false;
    }
    return true;
}

// Returns what went wrong, or an empty string.
std::string runSeed(std::uint64_t seed, std::size_t replicas, FaultOptions faultOptions)
{
    ControlWorld::Options options;
    options.seed = seed;
    options.traces = std::getenv("CONTROL_TRACE") != nullptr;
    options.replicas = replicas;
    options.bootstrapStaysSet = seed % 4 == 0;
    options.compactionEntries = seed % 3 == 0 ? 16 : 200;
    ControlWorld world(options);
    if (!world.runUntil([&] { return allVote(world); }, 10 * kSecond))
        return "the group was not founded " + world.violation();
    Operators operators(world);
    FaultSchedule faults(world, faultOptions);
    operators.start(Micros { 200'000 }, Micros { 150'000 });
    faults.start();
    world.runFor(30 * kSecond);
    faults.stop();
    operators.stop();
    if (!world.runUntil([&] { return operators.settled() && allAgree(world); }, 60 * kSecond))
        return world.violation().empty() ? "the group did not recover" : world.violation();
    if (!operators.resendAll(30 * kSecond))
        return world.violation().empty() ? "resent changes were not answered" : world.violation();
    if (!world.runUntil([&] { return allAgree(world); }, 10 * kSecond))
        return world.violation().empty() ? "the group did not settle" : world.violation();
    const std::set<InstanceName> voters = world.status(*world.leader()).voters;
    for (std::size_t n = 0; n < world.size(); ++n) {
        if (voters.contains(ControlWorld::nameOf(n)))
            operators.checkSurvivors(world.state(n));
    }
    if (world.damagedStarts() != 0)
        return "a crash was taken for damage";
    return world.violation();
}

// A group that three replicas found, that the steward completes, and in which documents change under all faults.
std::string runDocumentSeed(std::uint64_t seed, std::size_t replicas, std::size_t lostDisks)
{
    ControlWorld::Options options;
    options.seed = seed;
    options.traces = std::getenv("CONTROL_TRACE") != nullptr;
    options.replicas = replicas;
    options.founders = 3;
    options.compactionEntries = seed % 2 == 0 ? 16 : 48;
    ControlWorld world(options);
    StewardedGroup group(world, std::max<std::size_t>(3, 2 * lostDisks + 1));
    group.start();
    if (!world.runUntil([&] { return group.isComplete(); }, 20 * kSecond))
        return "the group was not completed " + world.violation();
    DocumentOperators operators(world);
    FaultSchedule faults(world, { .restartsAtOnce = seed % 2 == 0 });
    operators.start(Micros { 150'000 });
    faults.start();
    world.runFor(30 * kSecond);
    faults.stop();
    operators.stop();
    if (!world.runUntil([&] { return operators.settled() && group.isComplete() && allAgree(world); }, 60 * kSecond))
        return world.violation().empty() ? "the group did not recover" : world.violation();
    if (operators.acknowledged() == 0)
        return "no document was acknowledged";
    for (std::size_t n = 0; n < world.size(); ++n)
        operators.checkSurvivor(n);
    return world.violation();
}

std::uint64_t seedCount(std::uint64_t byDefault)
{
    const char* text = std::getenv("CONTROL_SEEDS");
    return text ? std::strtoull(text, nullptr, 10) : byDefault;
}

void runSeeds(std::uint64_t count, std::size_t replicas, FaultOptions options)
{
    const char* only = std::getenv("CONTROL_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    for (std::uint64_t seed = first; seed < first + (only ? 1 : count); ++seed) {
        const std::string problem = runSeed(seed, replicas, options);
        BOOST_TEST(problem.empty(), "seed " << seed << " with " << replicas << " replicas: " << problem);
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(ControlFaults)

// Guards against lost or altered commits, two leaders, two leases, lost answers and doubled grants under all faults at once.
BOOST_AUTO_TEST_CASE(ThreeReplicasKeepTheirPromises) { runSeeds(seedCount(40), 3, {}); }

// Guards against the same with two disks lost at a time.
BOOST_AUTO_TEST_CASE(FiveReplicasKeepTheirPromises) { runSeeds(seedCount(20), 5, {}); }

// Guards against the same while replicas are removed, added as learners and promoted.
BOOST_AUTO_TEST_CASE(ChangingMembersKeepTheirPromises) { runSeeds(seedCount(20), 5, { .changesMembers = true }); }

// Guards against two leases at once when replicas that do not know their promises vote soon after a restart.
BOOST_AUTO_TEST_CASE(QuickRestartsKeepTheirPromises)
{
    runSeeds(seedCount(30), 3, { .restartsAtOnce = true });
    runSeeds(seedCount(15), 4, { .changesMembers = true, .restartsAtOnce = true });
}

// Guards against documents that are lost, altered or older under a valid lease, in groups of the sizes that deployments have and
// with members that the steward takes in and drops.
BOOST_AUTO_TEST_CASE(DocumentsSurviveInGroupsOfSeveralSizes)
{
    const char* only = std::getenv("CONTROL_SEED");
    for (const auto& [replicas, lostDisks] : { std::pair<std::size_t, std::size_t> { 3, 1 }, { 4, 1 }, { 8, 2 } }) {
        const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
        for (std::uint64_t seed = first; seed < first + (only ? 1 : seedCount(12)); ++seed) {
            const std::string problem = runDocumentSeed(seed, replicas, lostDisks);
            BOOST_TEST(problem.empty(), "seed " << seed << " with " << replicas << " replicas: " << problem);
        }
    }
}

// Guards against service that waits for an election time-out, 300 ms, after all replicas were lost for a moment.
BOOST_AUTO_TEST_CASE(ALeaderIsThereSoonAfterAllRestartTogether)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlWorld::Options options;
        options.seed = seed;
        options.replicas = 3 + seed % 3;
        ControlWorld world(options);
        BOOST_REQUIRE(world.runUntil([&] { return allVote(world); }, 10 * kSecond));
        for (std::size_t n = 0; n < world.size(); ++n)
            world.crash(n, seed % 2 == 0);
        if (seed % 5 == 0)
            world.disk(seed % world.size()).erase();
        world.runFor(kSecond);
        for (std::size_t n = 0; n < world.size(); ++n)
            world.restart(n);
        BOOST_TEST(world.runUntil([&] { return world.leader().has_value(); }, Micros { 300'000 }), "seed " << seed);
        BOOST_TEST(world.violation().empty(), world.violation());
    }
}

BOOST_AUTO_TEST_SUITE_END()
