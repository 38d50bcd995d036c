#include "tests/control/member_change_driver.h"

namespace curranttrail::tests {

using namespace curranttrail::control;

namespace {
    constexpr Micros kPlannerInterval { 200'000 };
}

MemberChangeDriver::MemberChangeDriver(ControlSimulation& simulation, std::size_t minimumVoters)
    : m_simulation(simulation)
    , m_planners(simulation.size(), MemberChangePlanner(minimumVoters))
{
}

void MemberChangeDriver::runPlanner()
{
    if (const std::optional<std::size_t> leader = m_simulation.leader(); leader && !m_simulation.isFrozen(*leader))
        proposeNextChange(*leader);
    m_simulation.after(kPlannerInterval, [this] { runPlanner(); });
}

void MemberChangeDriver::proposeNextChange(std::size_t leader)
{
    const ReplicaStatus status = m_simulation.status(leader);
    for (std::size_t n = 0; n < m_simulation.size(); ++n) {
        const InstanceName name = ControlSimulation::nameOf(n);
        const bool isMember = status.voters.contains(name) || status.learners.contains(name);
        if (!isMember && m_simulation.isUp(n) && !m_simulation.isFrozen(n) && !m_simulation.isCut(n, leader))
            m_planners[leader].recordJoinRequest(name, m_simulation.now());
    }
    const GroupStatus groupStatus { ControlSimulation::nameOf(leader), status.voters, status.learners, m_simulation.memberHealth(leader), m_simulation.membersRecorded(leader) };
    if (const std::optional<ChangeMembers> change = m_planners[leader].nextChange(groupStatus, m_simulation.now()))
        m_simulation.submit(leader, *change, [](const CommandResult&) {});
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
