#pragma once

#include "control/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::control {

// What the steward of a group sees at its leader.
struct GroupStatus {
    InstanceName leader;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
    std::vector<MemberHealth> members;
    // True once the log states the members.
    bool membersRecorded = false;
};

// Decides at the leader which one change of the members is due. A new instance becomes a learner, a learner that holds the
// log becomes a voter, and a voter that is silent is removed while enough others remain.
class MemberChangePlanner {
public:
    // The group is never made smaller than the least number of voters.
    explicit MemberChangePlanner(std::size_t minimumVoters);

    // Notes that an instance asks to join.
    void recordJoinRequest(const InstanceName& name, TimePoint now);
    std::optional<ChangeMembers> nextChange(const GroupStatus& view, TimePoint now);

private:
    std::optional<ChangeMembers> nextPromotion(const GroupStatus& view) const;
    std::optional<ChangeMembers> nextRemoval(const GroupStatus& view) const;
    std::optional<ChangeMembers> nextAdmission(const GroupStatus& view) const;

    const std::size_t m_minimumVoters;
    std::map<InstanceName, TimePoint> m_joinRequests;
};

} // namespace curranttrail::control
