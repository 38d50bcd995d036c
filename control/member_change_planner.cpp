#include "control/member_change_planner.h"

#include "control/state_machine.h"

#include <algorithm>

namespace curranttrail::control {

namespace {
    // A member is considered alive if it replied within this time.
    constexpr Micros kAliveTimeout { 1'000'000 };
    // A group that counts a voter that is gone may not survive the next loss. A voter that restarts meanwhile joins again.
    constexpr Micros kVoterRemovalTimeout { 1'000'000 };
    constexpr Micros kLearnerRemovalTimeout { 4'000'000 };
    // Long enough to miss one request, since instances repeat their join request every second.
    constexpr Micros kJoinRequestLifetime { 2'500'000 };
    // Members repeat their request to leave several times within this time.
    constexpr Micros kLeaveRequestLifetime { 1'000'000 };
    constexpr std::size_t kMaximumVoters = 9;
} // namespace

MemberChangePlanner::MemberChangePlanner(std::size_t minimumVoters)
    : m_minimumVoters(minimumVoters)
{
}

void MemberChangePlanner::recordJoinRequest(const InstanceName& name, TimePoint now)
{
    if (m_joinRequests.size() < kMaximumMembers || m_joinRequests.contains(name))
        m_joinRequests[name] = now;
    m_leaveRequests.erase(name);
}

void MemberChangePlanner::recordLeaveRequest(const InstanceName& name, TimePoint now)
{
    if (m_leaveRequests.size() < kMaximumMembers || m_leaveRequests.contains(name))
        m_leaveRequests[name] = now;
    m_joinRequests.erase(name);
}

// A learner that is about to become a voter may make up for a voter that leaves.
std::optional<LeaveOutcome> MemberChangePlanner::outcomeOfLeave(const GroupStatus& status, const InstanceName& name) const
{
    if (!status.membersCommitted)
        return std::nullopt;
    if (!status.voters.contains(name) && !status.learners.contains(name))
        return LeaveOutcome::Left;
    const bool mayBeReplaced = std::any_of(status.members.begin(), status.members.end(), [&](const MemberHealth& member) { return status.learners.contains(member.name) && member.timeSinceReply <= kAliveTimeout; });
    if (canSpare(status, name) || mayBeReplaced)
        return std::nullopt;
    return LeaveOutcome::Needed;
}

bool MemberChangePlanner::canSpare(const GroupStatus& status, const InstanceName& name) const
{
    return !status.voters.contains(name) || status.voters.size() > m_minimumVoters;
}

std::optional<ChangeMembers> MemberChangePlanner::nextChange(const GroupStatus& status, TimePoint now)
{
    std::erase_if(m_joinRequests, [now](const auto& join) { return now - join.second > kJoinRequestLifetime; });
    std::erase_if(m_leaveRequests, [now](const auto& leave) { return now - leave.second > kLeaveRequestLifetime; });
    // Writes the initial members into the log, so that instances configured with other seeds learn them.
    if (!status.membersRecorded)
        return ChangeMembers { status.voters, status.learners };
    if (std::optional<ChangeMembers> change = nextPromotion(status))
        return change;
    if (std::optional<ChangeMembers> change = nextLeave(status))
        return change;
    if (std::optional<ChangeMembers> change = nextRemoval(status))
        return change;
    return nextAdmission(status);
}

std::optional<ChangeMembers> MemberChangePlanner::nextPromotion(const GroupStatus& status) const
{
    if (status.voters.size() >= kMaximumVoters)
        return std::nullopt;
    for (const MemberHealth& member : status.members) {
        if (!status.learners.contains(member.name) || !member.caughtUp || member.timeSinceReply > kAliveTimeout || m_leaveRequests.contains(member.name))
            continue;
        ChangeMembers change { status.voters, status.learners };
        change.learners.erase(member.name);
        change.voters.insert(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> MemberChangePlanner::nextLeave(const GroupStatus& status) const
{
    for (const auto& [name, since] : m_leaveRequests) {
        const bool isMember = status.voters.contains(name) || status.learners.contains(name);
        if (!isMember || !canSpare(status, name))
            continue;
        ChangeMembers change { status.voters, status.learners };
        change.voters.erase(name);
        change.learners.erase(name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> MemberChangePlanner::nextRemoval(const GroupStatus& status) const
{
    for (const MemberHealth& member : status.members) {
        const bool isVoter = status.voters.contains(member.name);
        if (member.timeSinceReply < (isVoter ? kVoterRemovalTimeout : kLearnerRemovalTimeout) || !canSpare(status, member.name))
            continue;
        ChangeMembers change { status.voters, status.learners };
        change.voters.erase(member.name);
        change.learners.erase(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> MemberChangePlanner::nextAdmission(const GroupStatus& status) const
{
    for (const auto& [name, since] : m_joinRequests) {
        if (name == status.leader || status.voters.contains(name) || status.learners.contains(name) || status.voters.size() + status.learners.size() >= kMaximumMembers)
            continue;
        ChangeMembers change { status.voters, status.learners };
        change.learners.insert(name);
        return change;
    }
    return std::nullopt;
}

} // namespace curranttrail::control
