#pragma once

#include "control/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::control {

// What the steward of a group sees at its leader.
struct GroupView {
    InstanceName leader;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
    std::vector<MemberHealth> members;
    // True once the log states the members.
    bool recorded = false;
};

// Decides at the leader which one change of the members is due. A new instance becomes a learner, a learner that holds the
// log becomes a voter, and a voter that is silent is removed while enough others remain.
class GroupSteward {
public:
    // The group is never made smaller than the least number of voters.
    explicit GroupSteward(std::size_t leastVoters);

    // Notes that an instance asks to join.
    void noteJoin(const InstanceName& name, TimePoint now);
    std::optional<ChangeMembers> nextChange(const GroupView& view, TimePoint now);

private:
    std::optional<ChangeMembers> promotion(const GroupView& view) const;
    std::optional<ChangeMembers> removal(const GroupView& view) const;
    std::optional<ChangeMembers> admission(const GroupView& view) const;

    const std::size_t m_leastVoters;
    std::map<InstanceName, TimePoint> m_joins;
};

} // namespace curranttrail::control
