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
