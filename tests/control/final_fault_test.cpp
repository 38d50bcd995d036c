#include "core/enum_names.h"
#include "tests/control/document_workload.h"
#include "tests/control/evacuation_workload.h"
#include "tests/control/member_change_driver.h"

#include <boost/test/unit_test.hpp>

#include <array>
#include <cstdlib>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace curranttrail::control;
using namespace curranttrail::tests;

namespace {

constexpr Micros kSecond { 1'000'000 };
// Time for which a machine still counts as lost after its return or, if it is new, after its start.
constexpr Micros kCatchUpTime { 4'000'000 };
constexpr Micros kRecoveryTime { 12'000'000 };
constexpr std::size_t kReplicas = 10;

// What the group is doing when the final fault comes.
enum class Step {
    Calm,
    SuccessorStarts,
    SuccessorIsLearner,
    SuccessorIsVoter,
    LeaveRequested,
    LeaderLeaves,
    LeaveCommitted,
    ReplacedByPlan,
    ReplacedWithoutNotice,
    SuccessorAfterTheEnd,
    Repaired,
    LeaderChanged,
};

constexpr std::array<EnumName<Step>, 12> kStepNames { {
    { Step::Calm, "calm" },
    { Step::SuccessorStarts, "successor_starts" },
    { Step::SuccessorIsLearner, "successor_is_learner" },
    { Step::SuccessorIsVoter, "successor_is_voter" },
    { Step::LeaveRequested, "leave_requested" },
    { Step::LeaderLeaves, "leader_leaves" },
    { Step::LeaveCommitted, "leave_committed" },
    { Step::ReplacedByPlan, "replaced_by_plan" },
    { Step::ReplacedWithoutNotice, "replaced_without_notice" },
    { Step::SuccessorAfterTheEnd, "successor_after_the_end" },
    { Step::Repaired, "repaired" },
    { Step::LeaderChanged, "leader_changed" },
} };

enum class FinalFault {
    PowerOfAll,
    EndOfAll,
    Disks,
    DisksAndPowerOfAll,
    DisksAndEndOfAll,
};

constexpr std::array<EnumName<FinalFault>, 5> kFinalFaultNames { {
    { FinalFault::PowerOfAll, "power_of_all" },
    { FinalFault::EndOfAll, "end_of_all" },
    { FinalFault::Disks, "disks" },
    { FinalFault::DisksAndPowerOfAll, "disks_and_power_of_all" },
    { FinalFault::DisksAndEndOfAll, "disks_and_end_of_all" },
} };

// Brings a control group to a step of a change, lets a final fault follow that is within the fault tolerance, and reads back what was
// acknowledged.
class FinalFaultWorld {
public:
    FinalFaultWorld(std::uint64_t seed, std::size_t voters, std::size_t lostDisks)
        : m_simulation(options(seed, voters))
        , m_members(m_simulation, std::max<std::size_t>(3, 2 * lostDisks + 1))
        , m_lostDisks(lostDisks)
    {
        for (std::size_t n = 0; n < kReplicas; ++n) {
            if (n < std::min<std::size_t>(voters, 3))
                m_running.insert(n);
            else
                m_simulation.crash(n, false);
        }
        m_members.start();
        while (m_running.size() < voters)
            startSuccessor();
    }

    // Returns the first failure, or an empty string.
    std::string run(Step step, FinalFault fault)
    {
        if (!m_simulation.runUntil([&] { return m_members.isComplete(); }, 20 * kSecond))
            return "not all replicas became voters " + m_simulation.violation();
        DocumentWorkload workload(m_simulation);
        workload.start(randomDuration(20'000, 200'000));
        EvacuationWorkload evacuations(m_simulation);
        evacuations.start(Micros { 150'000 });
        m_simulation.runFor(randomDuration(200'000, 1'500'000));
        reach(step);
        if (step != Step::LeaderLeaves && m_simulation.randomBelow(2) == 0) {
            const std::size_t acknowledged = workload.acknowledged();
            m_simulation.runUntil([&] { return workload.acknowledged() > acknowledged; }, Micros { 300'000 });
        }
        workload.stop();
        evacuations.stop();
        strike(fault);
        if (!m_simulation.runUntil([&] { return m_simulation.leader() && workload.settled() && evacuations.settled(); }, kRecoveryTime))
            return m_simulation.violation().empty() ? "no leader after " + m_history : m_simulation.violation();
        workload.checkCommittedDocument(*m_simulation.leader());
        evacuations.check(*m_simulation.leader());
        return m_simulation.violation();
    }

    // Lets the leader propose its own removal, and the others end and start again at once while its lease is valid. Returns the first
    // failure, or an empty string.
    std::string endOthersWhileLeaderLeaves()
    {
        if (!m_simulation.runUntil([&] { return m_members.isComplete(); }, 20 * kSecond))
            return "not all replicas became voters " + m_simulation.violation();
        startSuccessor();
        m_simulation.runFor(kCatchUpTime);
        const std::size_t leader = *m_simulation.leader();
        m_members.stop(leader);
        m_simulation.runUntil([&] { return !m_simulation.status(leader).voters.contains(ControlSimulation::nameOf(leader)); }, kSecond);
        m_simulation.runFor(randomDuration(0, 8'000));
        for (const std::size_t n : m_running) {
            if (n == leader)
                continue;
            m_simulation.crash(n, false);
            m_simulation.restart(n);
        }
        m_simulation.isolate(leader, true);
        m_simulation.runFor(kSecond);
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
        options.compactionEntries = 24;
        return options;
    }

    Micros randomDuration(std::uint64_t minimum, std::uint64_t maximum)
    {
        return Micros { static_cast<Micros::rep>(minimum + m_simulation.randomBelow(maximum - minimum + 1)) };
    }

    std::size_t startSuccessor()
    {
        std::size_t successor = 0;
        while (m_running.contains(successor) || successor == m_ended)
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

    void note(const std::string& text) { m_history += text + "; "; }

    // Ends a replica for good.
    void end(std::size_t replica)
    {
        if (m_simulation.isUp(replica))
            m_simulation.crash(replica, true);
        m_running.erase(replica);
        m_ended = replica;
        note("ended " + ControlSimulation::nameOf(replica));
    }

    bool hasRole(std::size_t replica, bool voter)
    {
        const std::optional<std::size_t> leader = m_simulation.leader();
        if (!leader)
            return false;
        const ReplicaStatus status = m_simulation.status(*leader);
        const InstanceName name = ControlSimulation::nameOf(replica);
        return voter ? status.voters.contains(name) : status.learners.contains(name);
    }

    void reach(Step step)
    {
        const std::size_t replica = chooseRunning();
        const auto isMember = [&] { return hasRole(replica, true) || !m_simulation.leader(); };
        switch (step) {
        case Step::Calm:
            break;
        case Step::SuccessorStarts:
            startSuccessor();
            m_simulation.runFor(randomDuration(0, 400'000));
            break;
        case Step::SuccessorIsLearner:
        case Step::SuccessorIsVoter: {
            const std::size_t successor = startSuccessor();
            m_simulation.runUntil([&] { return hasRole(successor, step == Step::SuccessorIsVoter); }, kCatchUpTime);
            m_simulation.runFor(randomDuration(0, 50'000));
            break;
        }
        case Step::LeaveRequested:
            startSuccessor();
            m_simulation.runFor(kCatchUpTime);
            m_members.stop(replica);
            m_simulation.runFor(randomDuration(0, 300'000));
            break;
        case Step::LeaderLeaves:
            startSuccessor();
            m_simulation.runFor(kCatchUpTime);
            if (const std::optional<std::size_t> leader = m_simulation.leader()) {
                m_members.stop(*leader);
                m_simulation.runUntil([&] { return !m_simulation.isUp(*leader) || !m_simulation.status(*leader).voters.contains(ControlSimulation::nameOf(*leader)); }, kSecond);
                m_simulation.runFor(randomDuration(0, 4'000));
            }
            break;
        case Step::LeaveCommitted:
            startSuccessor();
            m_simulation.runFor(kCatchUpTime);
            m_members.stop(replica);
            m_simulation.runUntil([&] { return !isMember(); }, 6 * kSecond);
            break;
        case Step::ReplacedByPlan:
            startSuccessor();
            m_simulation.runFor(kCatchUpTime + randomDuration(0, 1'500'000));
            m_members.stop(replica);
            m_simulation.runUntil([&] { return !m_simulation.isUp(replica); }, 6 * kSecond);
            end(replica);
            m_simulation.runFor(randomDuration(0, 3'000'000));
            break;
        case Step::ReplacedWithoutNotice:
            startSuccessor();
            m_simulation.runFor(kCatchUpTime + randomDuration(0, 1'500'000));
            end(replica);
            m_simulation.runFor(randomDuration(0, 3'000'000));
            break;
        case Step::SuccessorAfterTheEnd:
            end(replica);
            m_simulation.runFor(randomDuration(0, 1'500'000));
            startSuccessor();
            m_simulation.runFor(kCatchUpTime + randomDuration(0, 500'000));
            break;
        case Step::Repaired:
            m_simulation.crash(replica, true);
            m_simulation.disk(replica).erase();
            m_simulation.runFor(randomDuration(100'000, 3'000'000));
            m_simulation.restart(replica);
            m_simulation.runFor(kCatchUpTime + randomDuration(0, 500'000));
            break;
        case Step::LeaderChanged:
            if (const std::optional<std::size_t> leader = m_simulation.leader()) {
                m_simulation.crash(*leader, m_simulation.randomBelow(2) == 0);
                m_simulation.runFor(randomDuration(100'000, 3'000'000));
                m_simulation.restart(*leader);
                m_simulation.runFor(kCatchUpTime);
            }
            break;
        }
    }

    // Ends the processes at one moment, and starts them in any order.
    void strike(FinalFault fault)
    {
        const bool losesDisks = fault != FinalFault::PowerOfAll && fault != FinalFault::EndOfAll;
        const bool losesPower = fault == FinalFault::PowerOfAll || fault == FinalFault::DisksAndPowerOfAll;
        std::set<std::size_t> wiped;
        while (losesDisks && wiped.size() < m_lostDisks)
            wiped.insert(chooseRunning());
        std::vector<std::size_t> ended;
        for (const std::size_t n : m_running) {
            const bool losesDisk = wiped.contains(n);
            if (fault == FinalFault::Disks && !losesDisk)
                continue;
            m_simulation.crash(n, losesDisk || losesPower);
            if (losesDisk) {
                m_simulation.disk(n).erase();
                note("lost disk of " + ControlSimulation::nameOf(n));
            }
            ended.push_back(n);
        }
        Micros longest { 0 };
        for (const std::size_t n : ended) {
            const Micros pause = randomDuration(100'000, 2'500'000);
            longest = std::max(longest, pause);
            m_simulation.after(pause, [this, n] { m_simulation.restart(n); });
        }
        m_simulation.runFor(longest + Micros { 1 });
    }

    ControlSimulation m_simulation;
    MemberChangeDriver m_members;
    const std::size_t m_lostDisks;
    std::set<std::size_t> m_running;
    std::size_t m_ended = kReplicas;
    std::string m_history;
};

// Plays each seed with every final fault. CONTROL_SEEDS sets the number of seeds, CONTROL_SEED plays a single one.
void runWorlds(std::uint64_t count, std::size_t voters, std::size_t lostDisks, const std::vector<Step>& steps)
{
    const char* seeds = std::getenv("CONTROL_SEEDS");
    const char* only = std::getenv("CONTROL_SEED");
    const std::uint64_t first = only ? std::strtoull(only, nullptr, 10) : 1;
    const std::uint64_t last = only ? first : (seeds ? std::strtoull(seeds, nullptr, 10) : count);
    for (const Step step : steps) {
        std::size_t failed = 0;
        for (std::uint64_t seed = first; seed <= last; ++seed) {
            for (const EnumName<FinalFault>& fault : kFinalFaultNames) {
                FinalFaultWorld world(seed, voters, lostDisks);
                const std::string problem = world.run(step, fault.value);
                failed += problem.empty() ? 0 : 1;
                BOOST_TEST(problem.empty(), "seed " << seed << " with " << voters << " voters, " << nameOf(kStepNames, step) << ", " << fault.name << ": " << problem);
            }
        }
        BOOST_TEST_MESSAGE(voters << " voters, " << nameOf(kStepNames, step) << ": " << failed << " of " << (last - first + 1) * kFinalFaultNames.size() << " worlds failed");
    }
}

const std::vector<Step> kChanges { Step::Calm, Step::SuccessorStarts, Step::SuccessorIsLearner, Step::SuccessorIsVoter, Step::LeaveRequested, Step::LeaveCommitted, Step::ReplacedByPlan,
    Step::SuccessorAfterTheEnd, Step::Repaired, Step::LeaderChanged };
const std::vector<Step> kEndWithoutNotice { Step::ReplacedWithoutNotice };

} // namespace

BOOST_AUTO_TEST_SUITE(FinalFaults)

// Guards against a group that elects no leader, or loses an acknowledged document, when all replicas lose power and some their disks
// during a change of its members.
BOOST_AUTO_TEST_CASE(AGroupOfThreeSurvivesTheFinalFault) { runWorlds(8, 3, 1, kChanges); }
BOOST_AUTO_TEST_CASE(AGroupOfFourSurvivesTheFinalFault) { runWorlds(4, 4, 1, kChanges); }
BOOST_AUTO_TEST_CASE(AGroupOfSixSurvivesTheFinalFault) { runWorlds(2, 6, 2, kChanges); }
BOOST_AUTO_TEST_CASE(AGroupOfEightSurvivesTheFinalFault) { runWorlds(1, 8, 3, kChanges); }

// Guards against a group that can elect no leader because the newest log is at a replica whose removal is not committed yet.
BOOST_AUTO_TEST_CASE(AGroupSurvivesTheFinalFaultWhileItsLeaderLeaves) { runWorlds(30, 3, 1, { Step::LeaderLeaves }); }

// Guards against a second leader beside one that holds a lease and is about to be removed, when the others restart.
BOOST_AUTO_TEST_CASE(ALeaderThatLeavesKeepsItsLeaseToItself)
{
    for (std::uint64_t seed = 1; seed <= 100; ++seed) {
        FinalFaultWorld world(seed, 3, 1);
        const std::string problem = world.endOthersWhileLeaderLeaves();
        BOOST_TEST(problem.empty(), "seed " << seed << ": " << problem);
    }
}

// Guards against a group that can elect no leader because it counts a replica that ended without notice once its successor had caught up.
BOOST_AUTO_TEST_CASE(AGroupOfThreeSurvivesAnEndWithoutNotice) { runWorlds(40, 3, 1, kEndWithoutNotice); }
BOOST_AUTO_TEST_CASE(LargerGroupsSurviveAnEndWithoutNotice)
{
    runWorlds(20, 4, 1, kEndWithoutNotice);
    runWorlds(10, 6, 2, kEndWithoutNotice);
    runWorlds(5, 8, 3, kEndWithoutNotice);
}

BOOST_AUTO_TEST_SUITE_END()
