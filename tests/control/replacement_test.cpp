#include "tests/control/document_workload.h"
#include "tests/control/member_change_driver.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };
// Time for which a machine still counts as lost after its return or, if it is new, after its start.
constexpr Micros kCatchUpTime { 4'000'000 };
constexpr Micros kRecoveryTime { 12'000'000 };
constexpr std::size_t kReplicas = 10;

// Replaces, stops, kills and empties replicas of a control group, so that no more than one of them is lost at a time.
class ReplacementWorld {
public:
    ReplacementWorld(std::uint64_t seed, std::size_t voters, std::size_t lostDisks)
        : m_simulation(options(seed, voters))
        , m_members(m_simulation, std::max<std::size_t>(3, 2 * lostDisks + 1))
    {
        for (std::size_t n = 0; n < kReplicas; ++n) {
            if (n < std::min<std::size_t>(voters, 3))
                m_running.insert(n);
            else
                m_simulation.crash(n, false);
        }
        m_members.start();
        for (std::size_t n = m_running.size(); n < voters; ++n)
            startSuccessor();
    }

    enum class Loss {
        Disk,
        // The replica does not return.
        Replica,
    };

    // Replaces the leader or another replica by plan, and loses another one at a moment after the request to stop. Returns the first
    // failure, or an empty string.
    std::string loseAfterStop(Loss loss, bool replacesLeader, std::size_t victim, Micros moment)
    {
        if (!m_simulation.runUntil([&] { return m_members.isComplete(); }, 20 * kSecond))
            return "not all replicas became voters " + m_simulation.violation();
        DocumentWorkload workload(m_simulation);
        workload.start(Micros { 150'000 });
        const std::size_t leader = *m_simulation.leader();
        const std::size_t replaced = replacesLeader ? leader : (leader == 0 ? 1 : 0);
        startSuccessor();
        m_simulation.runFor(kCatchUpTime);
        workload.stop();
        m_members.stop(replaced);
        m_simulation.runFor(moment);
        end(replaced);
        auto it = m_running.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(victim));
        const std::size_t lost = *it;
        m_simulation.crash(lost, true);
        if (loss == Loss::Disk) {
            m_simulation.disk(lost).erase();
            m_simulation.runFor(kSecond);
            m_simulation.restart(lost);
        }
        if (!m_simulation.runUntil([&] { return m_simulation.leader() && workload.settled(); }, kRecoveryTime))
            return m_simulation.violation().empty() ? "no leader" : m_simulation.violation();
        workload.checkCommittedDocument(*m_simulation.leader());
        return m_simulation.violation();
    }

    // Returns the first failure, or an empty string.
    std::string run(int steps)
    {
        if (!m_simulation.runUntil([&] { return m_members.isComplete(); }, 20 * kSecond))
            return "not all replicas became voters " + m_simulation.violation();
        DocumentWorkload workload(m_simulation);
        workload.start(Micros { 150'000 });
        for (int n = 0; n < steps && m_simulation.violation().empty(); ++n) {
            takeStep();
            m_simulation.runFor(Micros { static_cast<Micros::rep>(m_simulation.randomBelow(500'000)) });
        }
        workload.stop();
        if (!m_simulation.runUntil([&] { return m_simulation.leader() && workload.settled(); }, kRecoveryTime))
            return m_simulation.violation().empty() ? "no leader after " + m_history : m_simulation.violation();
        workload.checkCommittedDocument(*m_simulation.leader());
        return m_simulation.violation();
    }

private:
    static ControlSimulation::Options options(std::uint64_t seed, std::size_t voters)
    {
        ControlSimulation::Options options;
        options.seed = seed;
        options.traces = std::getenv("CONTROL_TRACE") != nullptr;
        options.replicas = kReplicas;
        options.initialVoterCount = std::min<std::size_t>(voters, 3);
        options.compactionEntries = 48;
        // The name of the last replica has one digit.
        static_assert(kReplicas <= 10);
        return options;
    }

    std::size_t startSuccessor()
    {
        std::size_t successor = 0;
        while (m_running.contains(successor) || successor == m_lastEnded)
            ++successor;
        m_simulation.disk(successor).erase();
        m_simulation.restart(successor);
        m_running.insert(successor);
        return successor;
    }

    std::size_t chooseRunning()
    {
        const std::optional<std::size_t> leader = m_simulation.leader();
        if (leader && m_simulation.randomBelow(3) == 0)
            return *leader;
        auto it = m_running.begin();
        std::advance(it, static_cast<std::ptrdiff_t>(m_simulation.randomBelow(m_running.size())));
        return *it;
    }

    Micros randomDuration(std::uint64_t minimum, std::uint64_t maximum)
    {
        return Micros { static_cast<Micros::rep>(minimum + m_simulation.randomBelow(maximum - minimum + 1)) };
    }

    void note(std::string_view step, std::size_t replica) { m_history += std::string { step } + " " + ControlSimulation::nameOf(replica) + "; "; }

    void takeStep()
    {
        const std::size_t replica = chooseRunning();
        switch (m_simulation.randomBelow(6)) {
        case 0:
        case 1: {
            // The successor starts first. Once it counts no longer as lost, the other is stopped, and the next loss may follow at once.
            note("planned replacement of", replica);
            const std::size_t successor = startSuccessor();
            m_simulation.runFor(kCatchUpTime + randomDuration(0, 1'500'000));
            m_members.stop(replica);
            m_simulation.runUntil([&] { return !m_simulation.isUp(replica); }, 6 * kSecond);
            end(replica);
            note("successor", successor);
            break;
        }
        case 2: {
            note("replacement without notice of", replica);
            m_simulation.crash(replica, true);
            end(replica);
            m_simulation.runFor(randomDuration(500'000, 1'500'000));
            startSuccessor();
            m_simulation.runFor(kCatchUpTime);
            break;
        }
        case 3:
            note("lost disk of", replica);
            m_simulation.crash(replica, true);
            m_simulation.disk(replica).erase();
            m_simulation.runFor(randomDuration(300'000, 3'000'000));
            m_simulation.restart(replica);
            m_simulation.runFor(kCatchUpTime);
            break;
        case 4:
            note("restart of", replica);
            m_members.stop(replica);
            m_simulation.runUntil([&] { return !m_simulation.isUp(replica); }, 6 * kSecond);
            m_simulation.runFor(randomDuration(100'000, 1'000'000));
            m_simulation.restart(replica);
            m_simulation.runFor(kCatchUpTime);
            break;
        default:
            note("end of all at the same time as", replica);
            for (const std::size_t n : m_running)
                m_simulation.crash(n, m_simulation.randomBelow(2) == 0);
            m_simulation.runFor(randomDuration(100'000, 1'000'000));
            for (const std::size_t n : m_running)
                m_simulation.restart(n);
            m_simulation.runFor(kCatchUpTime);
            break;
        }
    }

    void end(std::size_t replica)
    {
        m_running.erase(replica);
        m_lastEnded = replica;
    }

    ControlSimulation m_simulation;
    MemberChangeDriver m_members;
    std::set<std::size_t> m_running;
    std::size_t m_lastEnded = kReplicas;
    std::string m_history;
};

void runSeeds(std::uint64_t count, std::size_t voters, std::size_t lostDisks)
{
    const char* seeds = std::getenv("CONTROL_SEEDS");
    const char* only = std::getenv("CONTROL_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : (seeds ? std::strtoull(seeds, nullptr, 10) : count);
    for (std::uint64_t seed = first; seed <= last; ++seed) {
        ReplacementWorld world(seed, voters, lostDisks);
        const std::string problem = world.run(8);
        BOOST_TEST(problem.empty(), "seed " << seed << " with " << voters << " voters: " << problem);
    }
}

void loseAtEveryMoment(ReplacementWorld::Loss loss)
{
    for (const std::size_t voters : { 3, 4 }) {
        for (std::size_t victim = 0; victim < voters; ++victim) {
            for (int moment = 0; moment < 3'000; moment += moment < 500 ? 25 : 250) {
                for (const bool replacesLeader : { false, true }) {
                    ReplacementWorld world(7, voters, 1);
                    const std::string problem = world.loseAfterStop(loss, replacesLeader, victim, std::chrono::milliseconds { moment });
                    BOOST_TEST(problem.empty(), voters << " voters, victim " << victim << ", " << moment << " ms, leader " << replacesLeader << ": " << problem);
                }
            }
        }
    }
}

} // namespace

BOOST_AUTO_TEST_SUITE(Replacements)

// Guards against a group that can elect no leader any more because it still counts a replica that was replaced when another loses its disk.
BOOST_AUTO_TEST_CASE(AGroupOfThreeSurvivesTheNextLoss) { runSeeds(40, 3, 1); }
BOOST_AUTO_TEST_CASE(AGroupOfFourSurvivesTheNextLoss) { runSeeds(30, 4, 1); }
BOOST_AUTO_TEST_CASE(AGroupOfSixSurvivesTheNextLoss) { runSeeds(15, 6, 2); }
BOOST_AUTO_TEST_CASE(AGroupOfEightSurvivesTheNextLoss) { runSeeds(10, 8, 3); }

// Guards against a state between the request to stop and the end of a replaced replica in which the next loss leaves no leader.
BOOST_AUTO_TEST_CASE(EveryMomentOfAPlannedReplacementSurvivesALostDisk) { loseAtEveryMoment(ReplacementWorld::Loss::Disk); }

// Guards against a leader that leaves before the others can see that its removal is committed: they count it when the next one is lost.
BOOST_AUTO_TEST_CASE(EveryMomentOfAPlannedReplacementSurvivesALostReplica) { loseAtEveryMoment(ReplacementWorld::Loss::Replica); }

BOOST_AUTO_TEST_SUITE_END()
