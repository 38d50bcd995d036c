#include "tests/control/stewarded_group.h"

namespace curranttrail::tests {

using namespace curranttrail::control;

namespace {
    // As in the control instance.
    constexpr Micros kTick { 200'000 };
}

StewardedGroup::StewardedGroup(ControlWorld& world, std::size_t leastVoters)
    : m_world(world)
    , m_stewards(world.size(), GroupSteward(leastVoters))
{
}

void StewardedGroup::tick()
{
    if (const std::optional<std::size_t> leader = m_world.leader(); leader && !m_world.isFrozen(*leader))
        act(*leader);
    m_world.after(kTick, [this] { tick(); });
}

void StewardedGroup::act(std::size_t leader)
{
    const ReplicaStatus status = m_world.status(leader);
    for (std::size_t n = 0; n < m_world.size(); ++n) {
        const InstanceName name = ControlWorld::nameOf(n);
        const bool isMember = status.voters.contains(name) || status.learners.contains(name);
        if (!isMember && m_world.isUp(n) && !m_world.isFrozen(n) && !m_world.isCut(n, leader))
            m_stewards[leader].noteJoin(name, m_world.now());
    }
    const GroupView view { ControlWorld::nameOf(leader), status.voters, status.learners, m_world.memberHealth(leader), m_world.membersRecorded(leader) };
    if (const std::optional<ChangeMembers> change = m_stewards[leader].nextChange(view, m_world.now()))
        m_world.submit(leader, *change, [](const CommandResult&) {});
}

bool StewardedGroup::isComplete() const
{
    const std::optional<std::size_t> leader = m_world.leader();
    if (!leader)
        return false;
    const ReplicaStatus status = m_world.status(*leader);
    for (std::size_t n = 0; n < m_world.size(); ++n) {
        if (m_world.isUp(n) && !status.voters.contains(ControlWorld::nameOf(n)))
            return false;
    }
    return true;
}

} // namespace curranttrail::tests
