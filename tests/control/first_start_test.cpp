#include "tests/control/document_workload.h"

#include <boost/test/unit_test.hpp>

#include <cstdlib>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };
// A replica has recorded by then that it takes part in the first start.
constexpr Micros kRecordedAfter { 50'000 };
constexpr Micros kRecoveryTime { 12'000'000 };

// Lets a group start for the first time, with an option that is gone at the second start of a replica, and ends replicas meanwhile.
class FirstStartWorld {
public:
    FirstStartWorld(std::uint64_t seed, std::size_t replicas)
        : m_simulation({ .replicas = replicas, .seed = seed, .traces = std::getenv("CONTROL_TRACE") != nullptr })
    {
    }

    // Ends the replicas in the set, each one or two times, once they have recorded the start. Returns the first failure, or an empty
    // string.
    std::string run(unsigned ended)
    {
        for (std::size_t n = 0; n < m_simulation.size(); ++n) {
            // All machines start within 0.3 s of each other.
            const Micros start = random(0, 300'000);
            m_simulation.freeze(n, start);
            if ((ended >> n & 1) != 0)
                endLater(n, start + kRecordedAfter + random(0, 600'000), m_simulation.randomBelow(2) == 0);
        }
        DocumentWorkload workload(m_simulation);
        workload.start(Micros { 200'000 });
        // The last replica is back after at most two ends.
        m_simulation.runFor(8 * kSecond);
        if (!m_simulation.runUntil([&] { return m_simulation.leader() && workload.acknowledged() > 0; }, kRecoveryTime))
            return m_simulation.violation().empty() ? "no leader" : m_simulation.violation();
        workload.stop();
        m_simulation.runUntil([&] { return m_simulation.leader() && workload.settled(); }, kRecoveryTime);
        if (!m_simulation.leader())
            return "no leader in the end";
        workload.checkCommittedDocument(*m_simulation.leader());
        return m_simulation.violation();
    }

    // Lets replicas lose their disks right after the first start, as long as nobody has led.
    std::string loseDisks(unsigned lost)
    {
        m_simulation.isolate(0, true);
        m_simulation.runFor(kRecordedAfter + random(0, 500'000));
        for (std::size_t n = 0; n < m_simulation.size(); ++n) {
            if ((lost >> n & 1) == 0)
                continue;
            m_simulation.crash(n, true);
            m_simulation.disk(n).erase();
            m_simulation.restart(n);
        }
        m_simulation.isolate(0, false);
        m_simulation.runFor(kRecoveryTime);
        return m_simulation.leader() ? "a group was founded without the disks that are lost" : m_simulation.violation();
    }

private:
    Micros random(std::uint64_t minimum, std::uint64_t maximum) { return Micros { static_cast<Micros::rep>(minimum + m_simulation.randomBelow(maximum - minimum + 1)) }; }

    void endLater(std::size_t replica, Micros delay, bool again)
    {
        m_simulation.after(delay, [this, replica, again] {
            m_simulation.crash(replica, m_simulation.randomBelow(2) == 0);
            m_simulation.after(random(100'000, 2'500'000), [this, replica, again] {
                m_simulation.restart(replica);
                if (again)
                    endLater(replica, kRecordedAfter + random(0, 500'000), false);
            });
        });
    }

    ControlSimulation m_simulation;
};

std::uint64_t seedCount(std::uint64_t usual)
{
    const char* seeds = std::getenv("CONTROL_SEEDS");
    return seeds ? std::strtoull(seeds, nullptr, 10) : usual;
}

} // namespace

BOOST_AUTO_TEST_SUITE(FirstStarts)

// Guards against a group that is never founded because a replica was ended before the first election, and started again without the
// option that marks a first start. Each set of replicas is ended, at any time once they have recorded the start.
BOOST_AUTO_TEST_CASE(AGroupIsFoundedAlthoughReplicasEnd)
{
    for (const std::size_t replicas : { 3U, 4U, 5U }) {
        for (unsigned ended = 0; ended < 1U << replicas; ++ended) {
            for (std::uint64_t seed = 1; seed <= seedCount(8); ++seed) {
                FirstStartWorld world(seed * 100 + ended, replicas);
                const std::string problem = world.run(ended);
                BOOST_TEST(problem.empty(), replicas << " replicas, ended " << ended << ", seed " << seed << ": " << problem);
            }
        }
    }
}

// Guards against a replica that has lost its disk during the first start and passes for one that has never served.
BOOST_AUTO_TEST_CASE(ALostDiskFoundsNoGroup)
{
    for (unsigned lost = 1; lost < 8; ++lost) {
        for (std::uint64_t seed = 1; seed <= seedCount(8); ++seed) {
            FirstStartWorld world(seed, 3);
            const std::string problem = world.loseDisks(lost);
            BOOST_TEST(problem.empty(), "lost " << lost << ", seed " << seed << ": " << problem);
        }
    }
}

BOOST_AUTO_TEST_SUITE_END()
