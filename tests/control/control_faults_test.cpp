#include "tests/control/command_workload.h"
#include "tests/control/document_workload.h"
#include "tests/control/evacuation_workload.h"
#include "tests/control/member_change_driver.h"

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
    // Also restarts several replicas at about the same time, each within less than an election timeout.
    bool restartsInQuickSuccession = false;
};

// Injects faults at random times. At most a minority of the voters has lost its disk content at any time.
class FaultInjector {
public:
    FaultInjector(ControlSimulation& simulation, FaultOptions options)
        : m_simulation(simulation)
        , m_options(options)
    {
    }

    void start() { next(); }

    void stop()
    {
        m_running = false;
        m_simulation.healLinks();
        for (std::size_t n = 0; n < m_simulation.size(); ++n)
            m_simulation.failDisk(n, 0);
    }

    std::size_t disksLost() const { return m_disksLost; }

private:
    Micros randomDuration(std::uint64_t minimum, std::uint64_t maximum) { return Micros { static_cast<Micros::rep>(minimum + m_simulation.randomBelow(maximum - minimum + 1)) }; }

    void next()
    {
        restartAll();
        if (m_running)
            injectFault();
        m_simulation.after(randomDuration(100'000, 1'200'000), [this] { next(); });
    }

    void restartAll()
    {
        for (std::size_t n = 0; n < m_simulation.size(); ++n) {
            if (!m_simulation.isUp(n) && (!m_running || m_simulation.randomBelow(2) == 0))
                m_simulation.restart(n);
            if (m_simulation.isUp(n) && !m_simulation.status(n).repairing)
                m_replicasWithLostDisk.erase(n);
        }
    }

    void restartInQuickSuccession()
    {
        for (std::size_t n = 0; n < m_simulation.size(); ++n) {
            if (!m_simulation.isUp(n) || m_simulation.randomBelow(4) == 0)
                continue;
            m_simulation.after(randomDuration(0, 30'000), [this, n] {
                if (m_simulation.isUp(n))
                    m_simulation.crash(n, false);
            });
            m_simulation.after(randomDuration(31'000, 200'000), [this, n] {
                if (!m_simulation.isUp(n))
                    m_simulation.restart(n);
            });
        }
    }

    void injectFault()
    {
        if (m_options.restartsInQuickSuccession && m_simulation.randomBelow(3) == 0) {
            restartInQuickSuccession();
            return;
        }
        const std::size_t replica = m_simulation.randomBelow(m_simulation.size());
        const std::size_t other = m_simulation.randomBelow(m_simulation.size());
        switch (m_simulation.randomBelow(13)) {
        case 0:
            m_simulation.cut(replica, other, true);
            break;
        case 1:
            m_simulation.isolate(m_simulation.leader().value_or(replica), true);
            break;
        case 2:
        case 3:
            m_simulation.healLinks();
            break;
        case 4:
            m_simulation.setLoss(static_cast<unsigned>(m_simulation.randomBelow(30)));
            break;
        case 5:
            m_simulation.freeze(m_simulation.leader().value_or(replica), randomDuration(100'000, 2'000'000));
            break;
        case 6:
            if (m_simulation.isUp(replica))
                m_simulation.crash(replica, true);
            break;
        case 7:
            if (m_simulation.isUp(replica))
                m_simulation.crash(replica, false);
            break;
        case 8:
        case 9:
            m_simulation.disk(replica).operationsUntilCrash = 1 + m_simulation.randomBelow(12);
            break;
        case 10:
            loseDisk(replica);
            break;
        case 11:
            m_simulation.failDisk(replica, m_simulation.randomBelow(2) == 0 ? ENOSPC : EIO);
            m_simulation.after(randomDuration(200'000, 3'000'000), [this, replica] { m_simulation.failDisk(replica, 0); });
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
        if (!m_replicasWithLostDisk.empty() && !(m_simulation.size() == 5 && !m_options.changesMembers && m_replicasWithLostDisk.size() < 2))
            return;
        m_replicasWithLostDisk.insert(replica);
        ++m_disksLost;
        if (m_simulation.isUp(replica))
            m_simulation.crash(replica, true);
        m_simulation.disk(replica).erase();
    }

    void changeMembers(std::size_t replica)
    {
        const std::optional<std::size_t> leader = m_simulation.leader();
        if (!leader)
            return;
        const ReplicaStatus status = m_simulation.status(*leader);
        ChangeMembers change { status.voters, status.learners };
        const InstanceName name = ControlSimulation::nameOf(replica);
        if (change.learners.erase(name) == 1)
            change.voters.insert(name);
        else if (change.voters.contains(name) && change.voters.size() > 3)
            change.voters.erase(name);
        else
            change.learners.insert(name);
        m_simulation.submit(*leader, change, [](const CommandResult&) {});
    }

    ControlSimulation& m_simulation;
    FaultOptions m_options;
    bool m_running = true;
    std::set<std::size_t> m_replicasWithLostDisk;
    std::size_t m_disksLost = 0;
};

bool allReplicasVote(ControlSimulation& simulation)
{
    for (std::size_t n = 0; n < simulation.size(); ++n) {
        if (!simulation.isUp(n) || simulation.status(n).repairing)
            return false;
    }
    return simulation.leader().has_value();
}

bool allReplicasAreUp(ControlSimulation& simulation)
{
    for (std::size_t n = 0; n < simulation.size(); ++n) {
        if (!simulation.isUp(n))
            return false;
    }
    return true;
}

bool allMembersAgree(ControlSimulation& simulation)
{
    const std::optional<std::size_t> leader = simulation.leader();
    if (!leader)
        return false;
    const ReplicaStatus status = simulation.status(*leader);
    for (std::size_t n = 0; n < simulation.size(); ++n) {
        const bool isMember = status.voters.contains(ControlSimulation::nameOf(n)) || status.learners.contains(ControlSimulation::nameOf(n));
        if (isMember && (!simulation.isUp(n) || simulation.status(n).repairing || simulation.status(n).commitIndex != status.commitIndex))
            return false;
    }
    return true;
}

// Runs the command workload under faults. Returns the first failure, or an empty string.
std::string runSeed(std::uint64_t seed, std::size_t replicas, FaultOptions faultOptions)
{
    ControlSimulation::Options options;
    options.seed = seed;
    options.traces = std::getenv("CONTROL_TRACE") != nullptr;
    options.replicas = replicas;
    options.bootstrapStaysSet = seed % 4 == 0;
    options.compactionEntries = seed % 3 == 0 ? 16 : 200;
    ControlSimulation simulation(options);
    if (!simulation.runUntil([&] { return allReplicasVote(simulation); }, 10 * kSecond))
        return "the group did not elect its first leader " + simulation.violation();
    CommandWorkload workload(simulation);
    FaultInjector faults(simulation, faultOptions);
    workload.start(Micros { 200'000 }, Micros { 150'000 });
    faults.start();
    simulation.runFor(30 * kSecond);
    faults.stop();
    workload.stop();
    if (!simulation.runUntil([&] { return workload.settled() && allMembersAgree(simulation); }, 60 * kSecond))
        return simulation.violation().empty() ? "the group did not recover" : simulation.violation();
    if (!workload.resendAll(30 * kSecond))
        return simulation.violation().empty() ? "resent changes were not answered" : simulation.violation();
    if (!simulation.runUntil([&] { return allMembersAgree(simulation); }, 10 * kSecond))
        return simulation.violation().empty() ? "the group did not settle" : simulation.violation();
    const std::set<InstanceName> voters = simulation.status(*simulation.leader()).voters;
    for (std::size_t n = 0; n < simulation.size(); ++n) {
        if (voters.contains(ControlSimulation::nameOf(n)))
            workload.checkCommittedChanges(simulation.state(n));
    }
    if (simulation.damagedStarts() != 0)
        return "storage reported damage after a mere crash";
    return simulation.violation();
}

// Starts a group with three voters, lets the planner add the other replicas, and changes documents under faults. Returns the
// first failure, or an empty string.
std::string runDocumentSeed(std::uint64_t seed, std::size_t replicas, std::size_t lostDisks)
{
    ControlSimulation::Options options;
    options.seed = seed;
    options.traces = std::getenv("CONTROL_TRACE") != nullptr;
    options.replicas = replicas;
    options.initialVoterCount = 3;
    options.compactionEntries = seed % 2 == 0 ? 16 : 48;
    ControlSimulation simulation(options);
    MemberChangeDriver memberChanges(simulation, std::max<std::size_t>(3, 2 * lostDisks + 1));
    memberChanges.start();
    if (!simulation.runUntil([&] { return memberChanges.isComplete(); }, 20 * kSecond))
        return "not all replicas became voters " + simulation.violation();
    DocumentWorkload workload(simulation);
    EvacuationWorkload evacuations(simulation, seed);
    FaultInjector faults(simulation, { .restartsInQuickSuccession = seed % 2 == 0 });
    workload.start(Micros { 150'000 });
    evacuations.start(Micros { 400'000 });
    faults.start();
    simulation.runFor(30 * kSecond);
    faults.stop();
    workload.stop();
    evacuations.stop();
    if (!simulation.runUntil([&] { return workload.settled() && evacuations.settled() && allReplicasAreUp(simulation) && memberChanges.isComplete() && allMembersAgree(simulation); }, 60 * kSecond))
        return simulation.violation().empty() ? "the group did not recover" : simulation.violation();
    if (workload.acknowledged() == 0 || evacuations.acknowledged() == 0)
        return "no document or no evacuation was acknowledged";
    for (std::size_t n = 0; n < simulation.size(); ++n) {
        workload.checkCommittedDocument(n);
        evacuations.check(n);
    }
    return simulation.violation();
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

// Guards against lost or altered commits, two leaders, two valid leases, lost answers and claims granted twice under combined
// faults.
BOOST_AUTO_TEST_CASE(ThreeReplicasStayConsistent) { runSeeds(seedCount(40), 3, {}); }

// Guards against the same failures with up to two disks lost at a time.
BOOST_AUTO_TEST_CASE(FiveReplicasStayConsistent) { runSeeds(seedCount(20), 5, {}); }

// Guards against the same failures while replicas are removed, added as learners and promoted.
BOOST_AUTO_TEST_CASE(MemberChangesStayConsistent) { runSeeds(seedCount(20), 5, { .changesMembers = true }); }

// Guards against two valid leases when replicas vote soon after a restart without knowing which lease they supported before.
BOOST_AUTO_TEST_CASE(QuickRestartsStayConsistent)
{
    runSeeds(seedCount(30), 3, { .restartsInQuickSuccession = true });
    runSeeds(seedCount(15), 4, { .changesMembers = true, .restartsInQuickSuccession = true });
}

// Guards against orders to evacuate that are lost, and documents that are lost, altered or outdated at a leader with a valid lease, in
// groups of the deployed sizes whose members the planner adds and removes.
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

// Guards against a delay of a whole election timeout, 300 ms, before a leader is elected after all replicas restarted together.
BOOST_AUTO_TEST_CASE(ALeaderIsElectedSoonAfterAllReplicasRestart)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        ControlSimulation::Options options;
        options.seed = seed;
        options.replicas = 3 + seed % 3;
        ControlSimulation simulation(options);
        BOOST_REQUIRE(simulation.runUntil([&] { return allReplicasVote(simulation); }, 10 * kSecond));
        for (std::size_t n = 0; n < simulation.size(); ++n)
            simulation.crash(n, seed % 2 == 0);
        if (seed % 5 == 0)
            simulation.disk(seed % simulation.size()).erase();
        simulation.runFor(kSecond);
        for (std::size_t n = 0; n < simulation.size(); ++n)
            simulation.restart(n);
        BOOST_TEST(simulation.runUntil([&] { return simulation.leader().has_value(); }, Micros { 300'000 }), "seed " << seed);
        BOOST_TEST(simulation.violation().empty(), simulation.violation());
    }
}

BOOST_AUTO_TEST_SUITE_END()
