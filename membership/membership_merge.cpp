#include "membership/events.h"
#include "membership/membership_reducer.h"

#include <algorithm>
#include <cmath>

namespace curranttrail::membership {

namespace {

    // Minimum duration of a suspicion in probe periods. Scaled by the logarithm of the member count, as dissemination time is.
    constexpr double kMinimumSuspicionPeriods = 4;
    // Ratio of the maximum to the minimum duration of a suspicion.
    constexpr double kMaximumSuspicionFactor = 6;
    // Probe periods without any datagram after which this instance considers itself isolated.
    constexpr int kIsolationPeriods = 6;

    // Returns the suspicion timeout after Lifeguard: every further independent accuser shortens it.
    Micros suspicionTimeout(Micros period, std::size_t members, std::size_t accusers)
    {
        const double minimum = kMinimumSuspicionPeriods * std::max(1.0, std::log10(static_cast<double>(members))) * static_cast<double>(period.count());
        const double maximum = kMaximumSuspicionFactor * minimum;
        const double maximumConfirmations = static_cast<double>(std::min<std::size_t>(MemberTable::kMaximumAccusers - 1, members > 2 ? members - 2 : 0));
        if (maximumConfirmations == 0)
            return Micros { static_cast<Micros::rep>(minimum) };
        const double confirmations = static_cast<double>(accusers > 0 ? accusers - 1 : 0);
        const double time = maximum - (maximum - minimum) * std::log(confirmations + 1) / std::log(maximumConfirmations + 1);
        return Micros { static_cast<Micros::rep>(std::max(minimum, time)) };
    }

} // namespace

void MembershipReducer::mergeGossip(const DatagramReceived& datagram, TimePoint now)
{
    const Gossip& gossip = datagram.message.gossip;
    // The table that a joining instance receives is already known to the others.
    const SyncReply* reply = std::get_if<SyncReply>(&datagram.message.body);
    for (const MemberRecord& record : gossip.records)
        mergeRecord(record, reply && reply->pull, now);
    for (const OwnerVersion& version : gossip.versions)
        recordVersion({ version.owner, version.version, datagram.sender, datagram.from }, now);
    for (const VersionAnnouncement& announcement : gossip.versionAnnouncements) {
        if (announcement.holder != m_self.name)
            recordVersion(announcement, now);
    }
    for (const ServerLeaving& leaving : gossip.leaving) {
        if (!m_announcements.recordLeavingServer(leaving, now))
            continue;
        m_effects.emplace_back(ServerLeavingSeen { leaving.server });
        log(events::kServerLeaving, { { "server", leaving.server } });
        scheduleBurst(now);
    }
    std::vector<policy::CrashRecord> records;
    for (const EndAnnouncement& announcement : gossip.ends)
        records.push_back(recordOf(announcement, now));
    std::vector<policy::CrashRecord> changed = m_crashes.merge(records, now);
    if (changed.empty())
        return;
    m_effects.emplace_back(CrashRecordsSeen { std::move(changed) });
    scheduleBurst(now);
}

void MembershipReducer::recordVersion(const VersionAnnouncement& announcement, TimePoint now)
{
    const AnnouncementStore::VersionUpdate update = m_announcements.recordVersion(announcement, now);
    if (update.isHigher)
        scheduleBurst(now);
    if (!update.shouldFetch)
        return;
    m_effects.emplace_back(HigherVersionSeen { announcement.owner, announcement.version, announcement.holder, announcement.address });
    log(events::kHigherVersion, { { "owner", announcement.owner }, { "version", std::to_string(announcement.version) }, { "holder", announcement.holder } });
}

void MembershipReducer::mergeRecord(const MemberRecord& record, bool skipGossip, TimePoint now)
{
    if (record.name == m_self.name) {
        mergeOwnRecord(record, now);
        return;
    }
    switch (m_table.merge(record, now)) {
    case MergeResult::Unchanged:
        return;
    case MergeResult::Full:
        log(events::kTableFull, { { "instance", record.name } });
        return;
    case MergeResult::Changed:
        m_pendingVerifications.erase(record.name);
        announceChange(record.name, skipGossip);
        return;
    case MergeResult::ReportedDead:
        if (isAbsentFromPlatformList(record.name)) {
            m_table.declareDead(record.name, now);
            announceChange(record.name);
            return;
        }
        m_pendingVerifications.insert(record.name);
        return;
    }
}

void MembershipReducer::mergeOwnRecord(const MemberRecord& record, TimePoint now)
{
    const bool newer = record.incarnation > m_self.incarnation || (record.incarnation == m_self.incarnation && record.revision > m_self.revision);
    const bool reportedFailed = record.incarnation == m_self.incarnation && record.revision == m_self.revision
        && (record.health == Health::Suspect || record.health == Health::Dead);
    if (!newer && !reportedFailed)
        return;
    if (newer && record.address != m_self.address && record.health != Health::Dead)
        log(events::kNameConflict, { { "address", record.address } });
    if (record.incarnation > m_self.incarnation) {
        // The clock was set back between two starts of this process. The incarnation must exceed the one that others hold.
        m_self.incarnation = record.incarnation + 1;
        m_self.revision = 0;
    }
    m_self.revision = std::max(m_self.revision, newer && record.incarnation == m_self.incarnation ? record.revision : 0);
    raiseOwnRevision();
    // Failed probes by others suggest that this instance itself is slow.
    raiseLocalHealthScore(1);
    scheduleBurst(now);
    log(events::kRefuted, { { "held", std::string(nameOf(kMemberStateNames, stateOf(record))) }, { "accuser", record.accuser }, { "revision", std::to_string(m_self.revision) } });
}

void MembershipReducer::raiseOwnRevision()
{
    ++m_self.revision;
    m_queue.push(m_self.name);
}

void MembershipReducer::announceChange(const InstanceName& name, bool skipGossip)
{
    if (!skipGossip)
        m_queue.push(name);
    const MemberRecord& record = m_table.find(name)->record;
    m_effects.emplace_back(MemberChanged { record, stateOf(record) });
    log(events::kMemberChanged,
        { { "instance", name }, { "state", std::string(nameOf(kMemberStateNames, stateOf(record))) },
            { "incarnation", std::to_string(record.incarnation) }, { "revision", std::to_string(record.revision) }, { "accuser", record.accuser } });
}

void MembershipReducer::raiseSuspicion(const InstanceName& name, TimePoint now)
{
    const bool changed = m_table.suspect(name, m_self.name, now);
    const Member* member = m_table.find(name);
    if (member && member->record.health == Health::Suspect)
        m_table.recordProbeFailure(name, now);
    if (changed)
        announceChange(name);
}

void MembershipReducer::evaluateSuspects(TimePoint now)
{
    std::vector<InstanceName> dead;
    for (const InstanceName& name : m_table.suspects()) {
        const Member& member = *m_table.find(name);
        const TimePoint deadline = suspicionDeadline(member);
        if (!canDeclareDead(member, deadline, now))
            continue;
        // A refutation may be under way, so a probe by this instance after the deadline must confirm the failure.
        if (member.probeFailedAt && *member.probeFailedAt >= deadline)
            dead.push_back(name);
        else if (!isProbed(name))
            m_pendingVerifications.insert(name);
    }
    for (const InstanceName& name : dead) {
        m_table.declareDead(name, now);
        m_pendingVerifications.erase(name);
        announceChange(name);
    }
}

TimePoint MembershipReducer::suspicionDeadline(const Member& member) const
{
    const std::size_t members = m_table.members().size() - m_table.dead().size() + 1;
    return std::max(member.noDeathBefore, member.since + suspicionTimeout(m_options.period, members, member.accusers.size()));
}

bool MembershipReducer::canDeclareDead(const Member& member, TimePoint deadline, TimePoint now) const
{
    if (now < deadline)
        return false;
    if (isAbsentFromPlatformList(member.record.name))
        return true;
    return !m_isolated && member.accusers.size() >= 2;
}

bool MembershipReducer::isAbsentFromPlatformList(const InstanceName& name) const
{
    return m_platformList && !m_platformList->contains(name);
}

void MembershipReducer::updateIsolation(TimePoint now)
{
    const bool anyActive = m_table.dead().size() < m_table.members().size();
    const bool isolated = anyActive && now - m_lastReceivedAt > kIsolationPeriods * m_options.period;
    if (isolated == m_isolated)
        return;
    m_isolated = isolated;
    if (isolated) {
        log(events::kIsolated, {});
        return;
    }
    // Refutations of suspicions that arose during the isolation may still be under way.
    m_table.extendSuspicions(Micros { 0 }, now + 10 * m_options.period);
    log(events::kContactRestored, {});
}

void MembershipReducer::evictExpired(TimePoint now)
{
    m_announcements.evictExpired(now);
    m_crashes.evictExpired(now);
    for (const InstanceName& name : m_table.evictExpired(now))
        m_queue.remove(name);
}

} // namespace curranttrail::membership
