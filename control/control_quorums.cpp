#include "control/control_reducer.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::control {

ControlReducer::VotingSets ControlReducer::votingSets() const
{
    VotingSets sets { &m_log.currentMembers() };
    if (const MembersAt* predecessor = m_log.uncommittedPredecessor(m_commitIndex))
        sets.push_back(predecessor);
    return sets;
}

bool ControlReducer::mayLead() const
{
    const VotingSets sets = votingSets();
    return std::any_of(sets.begin(), sets.end(), [this](const MembersAt* set) { return set->members.voters.contains(m_options.name); });
}

// An election is won by a majority of voters that are not under repair. Votes of replicas under repair count only if every
// voter grants its vote: then no voter holds an entry that the candidate lacks, and no election in which a voter took part
// before it lost its disk can still succeed.
//
// In an even set half of the voters suffice if one of the others states in the same term that it is under repair. Every committed entry
// is at one of them. No other candidate wins the term: the voter under repair does not vote in it, two halves of the rest have a voter in
// common, and so have such a half and a majority.
ElectionRule ControlReducer::ruleThatElects(const MembersAt& set) const
{
    const std::set<InstanceName>& voters = set.members.voters;
    const std::vector<InstanceName> underRepair = votersUnderRepair(set);
    std::size_t granted = 0;
    std::size_t intact = 0;
    // Without the votes that a voter gave before it lost its disk.
    std::size_t intactBesideRepair = 0;
    for (const InstanceName& voter : voters) {
        const auto it = m_grantedVotes.find(voter);
        if (it == m_grantedVotes.end() || (it->second.conditional && !noOtherVoterLeads()))
            continue;
        ++granted;
        if (it->second.repairId != 0)
            continue;
        ++intact;
        if (std::find(underRepair.begin(), underRepair.end(), voter) == underRepair.end())
            ++intactBesideRepair;
    }
    if (m_repairId == 0 && intact >= set.members.majority())
        return ElectionRule::Majority;
    if (granted == voters.size())
        return ElectionRule::Everyone;
    if (m_repairId == 0 && mayHalfElect(set) && intactBesideRepair >= voters.size() / 2 && underRepair.size() == 1)
        return ElectionRule::HalfBesideRepair;
    return ElectionRule::None;
}

bool ControlReducer::hasWonElection() const
{
    const VotingSets sets = votingSets();
    return std::all_of(sets.begin(), sets.end(), [this](const MembersAt* set) { return ruleThatElects(*set) != ElectionRule::None; });
}

std::vector<InstanceName> ControlReducer::votersUnderRepair(const MembersAt& set) const
{
    std::vector<InstanceName> names;
    for (const auto& [name, reply] : m_voteReplies) {
        if (reply.repairId != 0 && set.members.voters.contains(name))
            names.push_back(name);
    }
    return names;
}

std::string ControlReducer::describeNeededVotes() const
{
    std::vector<std::string> needed;
    for (const MembersAt* set : votingSets()) {
        const std::set<InstanceName>& voters = set->members.voters;
        const std::string half = mayHalfElect(*set) ? fmt::format(" or {} beside one under repair", voters.size() / 2) : std::string {};
        needed.push_back(fmt::format("{}{} of {}", set->members.majority(), half, fmt::join(voters, ",")));
    }
    return fmt::format("{}", fmt::join(needed, " and "));
}

// The voter beside which half of a set elected this leader is repaired once an entry of this term is committed in that set. The entries
// that it has synced count there: with them the entry is at as many of the other voters as elected this leader, and any candidate with a
// vote that the voter gave before it lost its disk needs the vote of one of these.
void ControlReducer::adoptHelper()
{
    m_helper.reset();
    for (const MembersAt* set : votingSets()) {
        if (ruleThatElects(*set) != ElectionRule::HalfBesideRepair)
            continue;
        const InstanceName name = votersUnderRepair(*set).front();
        m_helper = Helper { name, m_voteReplies.at(name).repairId, set->votersIndex };
        Progress& progress = m_progress.at(name);
        progress.repairId = m_helper->repairId;
        progress.repairIndex = m_termStartIndex;
    }
}

bool ControlReducer::countsInCommits(const InstanceName& voter, const MembersAt& set) const
{
    const Progress& progress = m_progress.at(voter);
    if (progress.regressed)
        return false;
    return progress.repairId == 0 || (m_helper && m_helper->name == voter && m_helper->repairId == progress.repairId && m_helper->votersIndex == set.votersIndex);
}

LogIndex ControlReducer::indexHeldByMajority(const MembersAt& set) const
{
    std::vector<LogIndex> matches;
    for (const InstanceName& voter : set.members.voters) {
        if (voter == m_options.name)
            matches.push_back(m_syncedIndex);
        else
            matches.push_back(countsInCommits(voter, set) ? m_progress.at(voter).match : 0);
    }
    std::sort(matches.begin(), matches.end(), std::greater<> {});
    return matches[set.members.majority() - 1];
}

TimePoint ControlReducer::leaseEnd() const
{
    TimePoint end = kNever;
    for (const MembersAt* set : votingSets())
        end = std::min(end, leaseEndIn(set->members));
    return end;
}

TimePoint ControlReducer::leaseEndIn(const Members& set) const
{
    std::vector<TimePoint> times;
    for (const InstanceName& voter : set.voters) {
        if (voter == m_options.name) {
            times.push_back(kNever - m_options.lease);
            continue;
        }
        const auto it = m_progress.find(voter);
        const bool counts = it != m_progress.end() && it->second.repairId == 0 && !it->second.regressed && it->second.acknowledgedSentAt;
        times.push_back(counts ? *it->second.acknowledgedSentAt : TimePoint::min());
    }
    std::sort(times.begin(), times.end(), std::greater<> {});
    return times[set.majority() - 1] + m_options.lease;
}

bool ControlReducer::hasQuorumContactWithin(Micros duration) const
{
    const VotingSets sets = votingSets();
    return std::all_of(sets.begin(), sets.end(), [&](const MembersAt* set) {
        const auto replied = std::count_if(set->members.voters.begin(), set->members.voters.end(), [&](const InstanceName& voter) {
            if (voter == m_options.name)
                return true;
            const Progress& progress = m_progress.at(voter);
            return (progress.repairId == 0 || countsInCommits(voter, *set)) && progress.lastReply && m_now - *progress.lastReply < duration;
        });
        return static_cast<std::size_t>(replied) >= set->members.majority();
    });
}

bool ControlReducer::canAnotherReplicaLead() const
{
    const VotingSets sets = votingSets();
    return std::all_of(sets.begin(), sets.end(), [this](const MembersAt* set) {
        const auto capable = std::count_if(set->members.voters.begin(), set->members.voters.end(), [this](const InstanceName& voter) {
            const auto it = m_progress.find(voter);
            return it != m_progress.end() && it->second.repairId == 0 && !it->second.regressed && it->second.lastReply && m_now - *it->second.lastReply < m_options.minimumElectionTimeout;
        });
        return static_cast<std::size_t>(capable) >= set->members.majority();
    });
}

// After a restart nobody knows which entries are committed. An entry that is proposed only once a change of voters is committed shows it.
void ControlReducer::proveMembers()
{
    const MembersAt& current = m_log.currentMembers();
    if (m_commitIndex < m_termStartIndex || current.index > m_commitIndex)
        return;
    const bool allKnowConfirmation = std::all_of(m_progress.begin(), m_progress.end(), [](const auto& item) { return item.second.knowsConfirmation; });
    if (current.members.voters.size() % 2 == 0 && current.confirmedBy == 0 && allKnowConfirmation)
        propose(ConfirmMembers {}, std::nullopt);
    else if (m_log.uncommittedPredecessor(0))
        propose(ChangeMembers { current.members.voters, current.members.learners }, std::nullopt);
}

} // namespace curranttrail::control
