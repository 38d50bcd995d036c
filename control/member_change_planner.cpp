#include "control/group_steward.h"

#include "control/state_machine.h"

#include <algorithm>

namespace curranttrail::control {

namespace {
    // A member that replied within this time counts as alive.
    constexpr Micros kAlive { 1'000'000 };
    // Longer than a restart, so that a member that returns keeps its place.
    constexpr Micros kVoterPatience { 4'000'000 };
    constexpr Micros kLearnerPatience { 4'000'000 };
    // Instances that want to join repeat their request every second.
    constexpr Micros kJoinLifetime { 2'500'000 };
    constexpr std::size_t kMostVoters = 9;
} // namespace

GroupSteward::GroupSteward(std::size_t leastVoters)
    : m_leastVoters(leastVoters)
{
}

void GroupSteward::noteJoin(const InstanceName& name, TimePoint now)
{
    if (m_joins.size() < kMaximumMembers || m_joins.contains(name))
        m_joins[name] = now;
}

std::optional<ChangeMembers> GroupSteward::nextChange(const GroupView& view, TimePoint now)
{
    std::erase_if(m_joins, [now](const auto& join) { return now - join.second > kJoinLifetime; });
    // Instances with other seeds learn the first members from the log.
    if (!view.recorded)
        return ChangeMembers { view.voters, view.learners };
    if (std::optional<ChangeMembers> change = promotion(view))
        return change;
    if (std::optional<ChangeMembers> change = removal(view))
        return change;
    return admission(view);
}

std::optional<ChangeMembers> GroupSteward::promotion(const GroupView& view) const
{
    if (view.voters.size() >= kMostVoters)
        return std::nullopt;
    for (const MemberHealth& member : view.members) {
        if (!view.learners.contains(member.name) || !member.caughtUp || member.silence > kAlive)
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.learners.erase(member.name);
        change.voters.insert(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> GroupSteward::removal(const GroupView& view) const
{
    for (const MemberHealth& member : view.members) {
        const bool voter = view.voters.contains(member.name);
        if (member.silence < (voter ? kVoterPatience : kLearnerPatience) || (voter && view.voters.size() <= m_leastVoters))
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.voters.erase(member.name);
        change.learners.erase(member.name);
        return change;
    }
    return std::nullopt;
}

std::optional<ChangeMembers> GroupSteward::admission(const GroupView& view) const
{
    for (const auto& [name, since] : m_joins) {
        if (name == view.leader || view.voters.contains(name) || view.learners.contains(name) || view.voters.size() + view.learners.size() >= kMaximumMembers)
            continue;
        ChangeMembers change { view.voters, view.learners };
        change.learners.insert(name);
        return change;
    }
    return std::nullopt;
}

} // namespace curranttrail::control
