#pragma once

#include "control/member_change_planner.h"
#include "control/member_directory.h"
#include "tests/control/control_simulation.h"

#include <set>
#include <utility>
#include <vector>

namespace curranttrail::tests {

// Runs the member change planner at the leader, as a control instance does, and lets replicas that are no members ask their seeds and the
// members that these name to let them join. All replicas are seeds at first.
class MemberChangeDriver {
public:
    MemberChangeDriver(ControlSimulation& simulation, std::size_t minimumVoters);

    void setSeeds(std::set<std::size_t> seeds) { m_seeds = std::move(seeds); }

    void start() { runPlanner(); }
    // Stops a replica by plan: it asks to leave the group, and ends once it knows the outcome or after a time limit.
    void stop(std::size_t replica);
    // True if all running replicas are voters.
    bool isComplete() const;

private:
    void runPlanner();
    void requestJoins();
    void requestJoin(std::size_t replica, const InstanceName& target);
    void continueStop(std::size_t replica, TimePoint giveUpAt);
    control::GroupStatus groupStatusAt(std::size_t leader) const;
    void proposeNextChange(std::size_t leader);

    ControlSimulation& m_simulation;
    // One planner per replica, as each process has its own.
    std::vector<control::MemberChangePlanner> m_planners;
    // What each process has learned of the members, which ends with the process.
    std::vector<control::MemberDirectory> m_directories;
    std::set<std::size_t> m_seeds;
};

} // namespace curranttrail::tests
