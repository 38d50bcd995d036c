#pragma once

#include "control/feed.h"
#include "control/messages.h"

#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::control {

// Status of a control group as seen by its leader.
struct GroupStatus {
    InstanceName leader;
    std::set<InstanceName> voters;
    std::set<InstanceName> learners;
    std::vector<MemberHealth> members;
    // True once the log contains the members.
    bool membersRecorded = false;
    // True if the members are committed.
    bool membersCommitted = false;
};

// Selects the next membership change at the leader, one at a time. An instance that asks to join becomes a learner, a learner
// that has caught up becomes a voter, and a member that asks to leave or stops replying is removed, a voter only while enough others
// remain.
class MemberChangePlanner {
public:
    // The group is never reduced below the minimum number of voters.
    explicit MemberChangePlanner(std::size_t minimumVoters);

    std::size_t minimumVoters() const { return m_minimumVoters; }

    // Records that an instance asked to join the group.
    void recordJoinRequest(const InstanceName& name, TimePoint now);
    // Records that a member is about to stop.
    void recordLeaveRequest(const InstanceName& name, TimePoint now);
    // Returns what became of a member's request to leave, or nothing while that is open.
    std::optional<LeaveOutcome> outcomeOfLeave(const GroupStatus& status, const InstanceName& name) const;
    // Returns the next membership change to propose, if any.
    std::optional<ChangeMembers> nextChange(const GroupStatus& status, TimePoint now);

private:
    std::optional<ChangeMembers> nextPromotion(const GroupStatus& status) const;
    std::optional<ChangeMembers> nextLeave(const GroupStatus& status) const;
    std::optional<ChangeMembers> nextRemoval(const GroupStatus& status) const;
    bool canSpare(const GroupStatus& status, const InstanceName& name) const;
    std::optional<ChangeMembers> nextAdmission(const GroupStatus& status) const;

    const std::size_t m_minimumVoters;
    std::map<InstanceName, TimePoint> m_joinRequests;
    std::map<InstanceName, TimePoint> m_leaveRequests;
};

} // namespace curranttrail::control
