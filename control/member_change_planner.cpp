#include "control/member_change_planner.h"

#include "control/state_machine.h"

#include <algorithm>

namespace curranttrail::control {

namespace {
    // A member is considered alive if it replied within this time.
    constexpr Micros kAliveTimeout { 1'000'000 };
    // Longer than a restart takes, so that a restarted member is not removed.
    constexpr Micros kVoterRemovalTimeout { 4'000'000 };
    constexpr Micros kLearnerRemovalTimeout { 4'000'000 };
    // Long enough to miss one request, since instances repeat their join request every second.
    constexpr Micros kJoinRequestLifetime { 2'500'000 };
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
}

std::optional<ChangeMembers> MemberChangePlanner::nextChange(const GroupStatus& view, TimePoint now)
{
    std::erase_if(m_joinRequests, [now](const auto& join) { return now - join.second > kJoinRequestLifetime; });
    // Writes the initial members into the log, so that instances configured with other seeds learn them.
    if (!view.membersRecorded)
        return ChangeMembers { view.voters, view.learners };
    if (std::optional<ChangeMembers> change = nextPromotion(view))
        return change;
    if (std::optional<ChangeMembers> change = nextRemoval(view))
        return change;
    return nextAdmission(view);
}

std::optional<ChangeMembers> MemberChangePlanner::nextPromotion(const GroupStatus& view) const
{
    if (view.voters.size() >= kMaximumVoters)
        return std::nullopt;
    for (const MemberHealth& member : view.members) {
        if (!view.learners.contains(member.name) || !member.caughtUp || member.timeSinceReply > kAliveTimeout)
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.learners.erase(member.name);
        change.voters.insert(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> MemberChangePlanner::nextRemoval(const GroupStatus& view) const
{
    for (const MemberHealth& member : view.members) {
        const bool voter = view.voters.contains(member.name);
        if (member.timeSinceReply < (voter ? kVoterRemovalTimeout : kLearnerRemovalTimeout) || (voter && view.voters.size() <= m_minimumVoters))
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.voters.erase(member.name);
        change.learners.erase(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> MemberChangePlanner::nextAdmission(const GroupStatus& view) const
{
    for (const auto& [name, since] : m_joinRequests) {
        if (name == view.leader || view.voters.contains(name) || view.learners.contains(name) || view.voters.size() + view.learners.size() >= kMaximumMembers)
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.learners.insert(name);
        return change;
    }
    return std::nullopt;
}

} // namespace curranttrail::control
