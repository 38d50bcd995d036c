#include "control/member_directory.h"

#include "control/state_machine.h"

#include <utility>

namespace curranttrail::control {

void MemberDirectory::setMembers(std::set<InstanceName> members)
{
    m_members = std::move(members);
    m_named.clear();
}

std::vector<InstanceName> MemberDirectory::addNamed(const std::vector<InstanceName>& names)
{
    std::vector<InstanceName> added;
    for (const InstanceName& name : names) {
        if (m_members.contains(name) || m_named.size() >= kMaximumMembers)
            continue;
        if (m_named.insert(name).second)
            added.push_back(name);
    }
    return added;
}

std::set<InstanceName> MemberDirectory::all() const
{
    std::set<InstanceName> names = m_members;
    names.insert(m_named.begin(), m_named.end());
    return names;
}

std::vector<InstanceName> recordedMembers(const ReplicaStatus& status)
{
    if (!status.membersRecorded)
        return {};
    std::vector<InstanceName> names { status.voters.begin(), status.voters.end() };
    names.insert(names.end(), status.learners.begin(), status.learners.end());
    return names;
}

} // namespace curranttrail::control
