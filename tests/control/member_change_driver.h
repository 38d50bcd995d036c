#pragma once

#include "control/member_change_planner.h"
#include "tests/control/control_simulation.h"

#include <vector>

namespace curranttrail::tests {

// Runs the steward at the leader of a world, as a control instance does, and lets replicas outside the group ask to join.
class MemberChangeDriver {
public:
    MemberChangeDriver(ControlSimulation& simulation, std::size_t minimumVoters);

    void start() { tick(); }
    // True once all replicas that are up are voters.
    bool isComplete() const;

private:
    void tick();
    void act(std::size_t leader);

    ControlSimulation& m_simulation;
    // By replica: the steward's memory is that of its process.
    std::vector<control::MemberChangePlanner> m_planners;
};

} // namespace curranttrail::tests
