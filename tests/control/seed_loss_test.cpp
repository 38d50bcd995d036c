#include "tests/control/member_change_driver.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

using namespace curranttrail;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };
constexpr std::size_t kReplicas = 8;
constexpr std::size_t kSeeds = 3;
// Time after which a machine counts no longer as lost.
constexpr Micros kCatchUpTime { 6 * kSecond };

// A group of eight with other seeds than at its first start. One or two replicas at a time, among them seeds and leaders, end or lose their
// disks for so long that the group removes them.
class SeedLossWorld {
public:
    explicit SeedLossWorld(std::uint64_t seed)
        : m_simulation(options(seed))
        , m_members(m_simulation, 5)
    {
        m_members.start();
    }

    // Returns the first failure, or an empty string.
    std::string run(int steps)
    {
        if (!m_simulation.runUntil([this] { return m_members.isComplete(); }, 20 * kSecond))
            return "not all replicas became voters " + m_simulation.violation();
        std::set<std::size_t> seeds;
        while (seeds.size() < kSeeds)
            seeds.insert(m_simulation.randomBelow(kReplicas));
        m_members.setSeeds(seeds);
        std::string history;
        for (int n = 0; n < steps; ++n) {
            const std::set<std::size_t> lost = chooseLost(seeds);
            for (const std::size_t replica : lost)
                history += lose(replica);
            m_simulation.runFor(Micros { static_cast<Micros::rep>(100'000 + m_simulation.randomBelow(3'000'000)) });
            for (const std::size_t replica : lost)
                m_simulation.restart(replica);
            m_simulation.runFor(kCatchUpTime);
            if (!m_members.isComplete())
                return m_simulation.violation().empty() ? "a replica is no voter after " + history : m_simulation.violation();
        }
        return m_simulation.violation();
    }

private:
    static ControlSimulation::Options options(std::uint64_t seed)
    {
        ControlSimulation::Options options;
        options.seed = seed;
        options.traces = std::getenv("CONTROL_TRACE") != nullptr;
        options.replicas = kReplicas;
        options.initialVoterCount = kSeeds;
        options.compactionEntries = 48;
        return options;
    }

    std::set<std::size_t> chooseLost(const std::set<std::size_t>& seeds)
    {
        std::set<std::size_t> lost;
        const std::size_t count = 1 + m_simulation.randomBelow(2);
        if (m_simulation.randomBelow(4) == 0)
            lost.insert(*m_simulation.leader());
        while (lost.size() < count) {
            auto seed = seeds.begin();
            std::advance(seed, static_cast<std::ptrdiff_t>(m_simulation.randomBelow(kSeeds)));
            lost.insert(m_simulation.randomBelow(2) == 0 ? *seed : m_simulation.randomBelow(kReplicas));
        }
        return lost;
    }

    std::string lose(std::size_t replica)
    {
        const bool losesDisk = m_simulation.randomBelow(3) != 0;
        m_simulation.crash(replica, true);
        if (losesDisk)
            m_simulation.disk(replica).erase();
        return (losesDisk ? "lost disk of " : "end of ") + ControlSimulation::nameOf(replica) + "; ";
    }

    ControlSimulation m_simulation;
    MemberChangeDriver m_members;
};

} // namespace

BOOST_AUTO_TEST_SUITE(SeedLosses)

// Guards against replicas that stay outside the group because no seed leads, until all seeds are outside and nobody finds the leader.
BOOST_AUTO_TEST_CASE(EveryReplicaIsAVoterAgainAfterItsReturn)
{
    const char* seeds = std::getenv("CONTROL_SEEDS");
    const char* only = std::getenv("CONTROL_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : (seeds ? std::strtoull(seeds, nullptr, 10) : 20);
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        SeedLossWorld world(seed);
        const std::string problem = world.run(12);
        BOOST_TEST(problem.empty(), "seed " << seed << ": " << problem);
    }
}

BOOST_AUTO_TEST_SUITE_END()
