#pragma once

#include "control/messages.h"
#include "core/ids.h"

#include <set>
#include <vector>

namespace curranttrail::control {

// The control instances of a group that a process may ask for the leader, beside the seeds of its settings. Only a leader replaces the
// members: any other instance may be outside the group, or know an earlier state of it.
class MemberDirectory {
public:
    // Sets the members according to a leader and forgets those that only other instances have named.
    void setMembers(std::set<InstanceName> members);
    // Adds members that an instance named which does not lead. Returns those that were not known. Names beyond the limit are ignored.
    std::vector<InstanceName> addNamed(const std::vector<InstanceName>& names);
    // Returns all that are known.
    std::set<InstanceName> all() const;

private:
    std::set<InstanceName> m_members;
    std::set<InstanceName> m_named;
};

// Returns the voters and learners that a replica may name to others: none if it holds no log of the group.
std::vector<InstanceName> recordedMembers(const ReplicaStatus& status);

} // namespace curranttrail::control
