#include "membership/member_table.h"

#include <algorithm>
#include <utility>

namespace curranttrail::membership {

namespace {

    std::pair<std::uint64_t, std::uint32_t> revisionOf(const MemberRecord& record)
    {
        return { record.incarnation, record.revision };
    }

    Micros ageOf(const MemberRecord& record)
    {
        return std::chrono::seconds { record.deadSeconds };
    }

    bool isExpired(const MemberRecord& record)
    {
        return record.health == Health::Dead && ageOf(record) >= (record.leaving ? MemberTable::kLeftRetention : MemberTable::kDeadRetention);
    }

} // namespace

MergeResult MemberTable::merge(const MemberRecord& record, TimePoint now)
{
    const std::map<InstanceName, Member>::iterator it = m_members.find(record.name);
    if (it == m_members.end())
        return insert(record, now);
    Member& member = it->second;
    if (revisionOf(record) > revisionOf(member.record))
        return mergeNewer(member, record, now);
    if (revisionOf(record) == revisionOf(member.record))
        return mergeEqual(member, record, now);
    return MergeResult::Unchanged;
}

MergeResult MemberTable::insert(const MemberRecord& record, TimePoint now)
{
    if (isExpired(record))
        return MergeResult::Unchanged;
    if (m_members.size() >= kMaximumMembers)
        return MergeResult::Full;
    Member& member = m_members[record.name];
    member.record = record;
    member.record.accuser.clear();
    member.record.health = Health::Alive;
    m_activeStale = true;
    setHealth(member, record.health, now);
    if (record.health == Health::Dead)
        member.since = now - ageOf(record);
    if (record.health == Health::Suspect && !record.accuser.empty())
        member.accusers.push_back(record.accuser);
    member.record.accuser = record.health == Health::Suspect ? record.accuser : InstanceName {};
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeNewer(Member& member, const MemberRecord& record, TimePoint now)
{
    const Health previousHealth = member.record.health;
    member.record = record;
    member.record.accuser.clear();
    member.record.deadSeconds = 0;
    member.record.health = previousHealth;
    member.accusers.clear();
    member.probeFailedAt.reset();
    if (record.health == Health::Dead && previousHealth != Health::Dead) {
        setHealth(member, Health::Alive, now);
        return MergeResult::ReportedDead;
    }
    setHealth(member, record.health == Health::Suspect ? Health::Alive : record.health, now);
    if (record.health == Health::Suspect)
        suspect(record.name, record.accuser, now);
    return MergeResult::Changed;
}

MergeResult MemberTable::mergeEqual(Member& member, const MemberRecord& record, TimePoint now)
{
    if (record.health == Health::Suspect)
        return suspect(record.name, record.accuser, now) ? MergeResult::Changed : MergeResult::Unchanged;
    if (record.health != Health::Dead)
        return MergeResult::Unchanged;
    if (member.record.health != Health::Dead)
        return MergeResult::ReportedDead;
    member.since = std::min(member.since, now - ageOf(record));
    return MergeResult::Unchanged;
}

bool MemberTable::suspect(const InstanceName& name, const InstanceName& accuser, TimePoint now)
{
    const std::map<InstanceName, Member>::iterator it = m_members.find(name);
    if (it == m_members.end() || accuser.empty() || it->second.record.health == Health::Dead)
        return false;
    Member& member = it->second;
    if (member.record.health != Health::Suspect)
        setHealth(member, Health::Suspect, now);
    if (member.accusers.size() >= kMaximumAccusers || std::find(member.accusers.begin(), member.accusers.end(), accuser) != member.accusers.end())
        return false;
    member.accusers.push_back(accuser);
    member.record.accuser = accuser;
    return true;
}

void MemberTable::declareDead(const InstanceName& name, TimePoint now)
{
    setHealth(m_members.at(name), Health::Dead, now);
}

std::vector<InstanceName> MemberTable::evictExpired(TimePoint now)
{
    std::vector<InstanceName> evicted;
    for (const InstanceName& name : m_dead) {
        if (isExpired(recordOf(m_members.at(name), now)))
            evicted.push_back(name);
    }
    for (const InstanceName& name : evicted) {
        m_dead.erase(name);
        m_members.erase(name);
    }
    return evicted;
}

void MemberTable::extendSuspicions(Micros stall, TimePoint noDeathBefore)
{
    for (const InstanceName& name : m_suspects) {
        Member& member = m_members.at(name);
        member.since += stall;
        member.noDeathBefore = std::max(member.noDeathBefore, noDeathBefore);
    }
}

const Member* MemberTable::find(const InstanceName& name) const
{
    const std::map<InstanceName, Member>::const_iterator it = m_members.find(name);
    return it == m_members.end() ? nullptr : &it->second;
}

const std::vector<InstanceName>& MemberTable::active()
{
    if (!m_activeStale)
        return m_active;
    m_activeStale = false;
    m_active.clear();
    for (const std::pair<const InstanceName, Member>& entry : m_members) {
        if (entry.second.record.health != Health::Dead)
            m_active.push_back(entry.first);
    }
    return m_active;
}

MemberRecord MemberTable::recordOf(const Member& member, TimePoint now) const
{
    MemberRecord record = member.record;
    if (record.health == Health::Dead)
        record.deadSeconds = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::seconds>(now - member.since).count());
    return record;
}

void MemberTable::setHealth(Member& member, Health health, TimePoint now)
{
    if (member.record.health == Health::Dead || health == Health::Dead)
        m_activeStale = true;
    m_suspects.erase(member.record.name);
    m_dead.erase(member.record.name);
    if (health == Health::Suspect)
        m_suspects.insert(member.record.name);
    if (health == Health::Dead)
        m_dead.insert(member.record.name);
    if (health != Health::Suspect) {
        member.accusers.clear();
        member.probeFailedAt.reset();
        member.record.accuser.clear();
    }
    if (member.record.health != health || health == Health::Dead)
        member.since = now;
    member.record.health = health;
    member.noDeathBefore = now;
}

} // namespace curranttrail::membership
