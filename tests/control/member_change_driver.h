#pragma once

#include "control/group_steward.h"
#include "tests/control/control_world.h"

#include <vector>

namespace curranttrail::tests {

// Runs the steward at the leader of a world, as a control instance does, and lets replicas outside the group ask to join.
class StewardedGroup {
public:
    StewardedGroup(ControlWorld& world, std::size_t leastVoters);

    void start() { tick(); }
    // True once all replicas that are up are voters.
    bool isComplete() const;

private:
    void tick();
    void act(std::size_t leader);

    ControlWorld& m_world;
    // By replica: the steward's memory is that of its process.
    std::vector<control::GroupSteward> m_stewards;
};

} // namespace curranttrail::tests
