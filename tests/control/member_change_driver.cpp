#include "tests/control/member_change_driver.h"

namespace curranttrail::tests {

using namespace curranttrail::control;

namespace {
    constexpr Micros kPlannerInterval { 200'000 };
    constexpr Micros kStopCheckInterval { 50'000 };
    constexpr Micros kLeaveTimeout { 5'000'000 };
}

MemberChangeDriver::MemberChangeDriver(ControlSimulation& simulation, std::size_t minimumVoters)
    : m_simulation(simulation)
    , m_planners(simulation.size(), MemberChangePlanner(minimumVoters))
    , m_directories(simulation.size())
{
    for (std::size_t n = 0; n < simulation.size(); ++n)
        m_seeds.insert(n);
}

void MemberChangeDriver::runPlanner()
{
    requestJoins();
    if (const std::optional<std::size_t> leader = m_simulation.leader(); leader && !m_simulation.isFrozen(*leader))
        proposeNextChange(*leader);
    m_simulation.after(kPlannerInterval, [this] { runPlanner(); });
}

void MemberChangeDriver::requestJoins()
{
    for (std::size_t n = 0; n < m_simulation.size(); ++n) {
        if (!m_simulation.isUp(n))
            m_directories[n] = {};
        if (!m_simulation.isUp(n) || m_simulation.isFrozen(n))
            continue;
        const ReplicaStatus status = m_simulation.status(n);
        const InstanceName name = ControlSimulation::nameOf(n);
        if (status.leader && (status.voters.contains(name) || status.learners.contains(name))) {
            m_directories[n] = {};
            continue;
        }
        std::set<InstanceName> targets = m_directories[n].all();
        targets.insert(status.voters.begin(), status.voters.end());
        for (const std::size_t seed : m_seeds)
            targets.insert(ControlSimulation::nameOf(seed));
        for (const InstanceName& target : targets)
            requestJoin(n, target);
    }
}

void MemberChangeDriver::requestJoin(std::size_t replica, const InstanceName& target)
{
    const std::size_t to = ControlSimulation::replicaOf(target);
    if (to == replica || !m_simulation.isUp(to) || m_simulation.isFrozen(to) || m_simulation.isCut(replica, to) || m_simulation.isCut(to, replica))
        return;
    const ReplicaStatus status = m_simulation.status(to);
    m_planners[to].recordJoinRequest(ControlSimulation::nameOf(replica), m_simulation.now());
    for (const InstanceName& name : m_directories[replica].addNamed(recordedMembers(status)))
        requestJoin(replica, name);
}

void MemberChangeDriver::proposeNextChange(std::size_t leader)
{
    const GroupStatus groupStatus = groupStatusAt(leader);
    if (const std::optional<ChangeMembers> change = m_planners[leader].nextChange(groupStatus, m_simulation.now()))
        m_simulation.submit(leader, *change, [](const CommandResult&) {});
}

GroupStatus MemberChangeDriver::groupStatusAt(std::size_t leader) const
{
    const ReplicaStatus status = m_simulation.status(leader);
    return { ControlSimulation::nameOf(leader), status.voters, status.learners, m_simulation.memberHealth(leader), m_simulation.membersRecorded(leader), m_simulation.membersCommitted(leader) };
}

void MemberChangeDriver::stop(std::size_t replica)
{
    continueStop(replica, m_simulation.now() + kLeaveTimeout);
}

void MemberChangeDriver::continueStop(std::size_t replica, TimePoint giveUpAt)
{
    if (!m_simulation.isUp(replica))
        return;
    const std::optional<std::size_t> leader = m_simulation.leader();
    std::optional<LeaveOutcome> outcome;
    if (leader && !m_simulation.isCut(replica, *leader)) {
        m_planners[*leader].recordLeaveRequest(ControlSimulation::nameOf(replica), m_simulation.now());
        outcome = m_planners[*leader].outcomeOfLeave(groupStatusAt(*leader), ControlSimulation::nameOf(replica));
    }
    if (outcome || m_simulation.now() >= giveUpAt) {
        m_simulation.crash(replica, false);
        return;
    }
    m_simulation.after(kStopCheckInterval, [this, replica, giveUpAt] { continueStop(replica, giveUpAt); });
}

bool MemberChangeDriver::isComplete() const
{
    const std::optional<std::size_t> leader = m_simulation.leader();
    if (!leader)
        return false;
    const ReplicaStatus status = m_simulation.status(*leader);
    for (std::size_t n = 0; n < m_simulation.size(); ++n) {
        if (m_simulation.isUp(n) && !status.voters.contains(ControlSimulation::nameOf(n)))
            return false;
    }
    return true;
}

} // namespace curranttrail::tests
