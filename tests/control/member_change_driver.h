#pragma once

#include "control/member_change_planner.h"
#include "tests/control/control_simulation.h"

#include <vector>

namespace curranttrail::tests {

// Runs the member change planner at the leader, as a control instance does, and lets replicas that are no members ask to join.
class MemberChangeDriver {
public:
    MemberChangeDriver(ControlSimulation& simulation, std::size_t minimumVoters);

    void start() { runPlanner(); }
    // Stops a replica by plan: it asks to leave the group, and ends once it knows the outcome or after a time limit.
    void stop(std::size_t replica);
    // True if all running replicas are voters.
    bool isComplete() const;

private:
    void runPlanner();
    void continueStop(std::size_t replica, TimePoint giveUpAt);
    control::GroupStatus groupStatusAt(std::size_t leader) const;
    void proposeNextChange(std::size_t leader);

    ControlSimulation& m_simulation;
    // One planner per replica, as each process has its own.
    std::vector<control::MemberChangePlanner> m_planners;
};

} // namespace curranttrail::tests
