#pragma once

#include "membership/gossip_queue.h"
#include "membership/messages.h"

#include <cstddef>
#include <map>
#include <optional>
#include <set>
#include <vector>

namespace curranttrail::membership {

struct Member {
    MemberRecord record;
    // Time at which the health last changed in this table. For a dead member the time at which it was declared dead.
    TimePoint since;
    // Instances whose own probes of this member failed during this suspicion, at most kMaximumAccusers.
    std::vector<InstanceName> accusers;
    // Time at which a probe by this instance last failed during this suspicion.
    std::optional<TimePoint> probeFailedAt;
    // The member is not declared dead before this time, however many accusers there are. Extended after a stall of this process.
    TimePoint noDeathBefore;
};

// Outcome of merging a record into the table.
enum class MergeResult {
    Unchanged,
    Changed,
    // The record reports a member as dead that this instance does not hold as dead. A probe by this instance or the platform's
    // list must confirm that.
    ReportedDead,
    // The member is new and the table has no room for it.
    Full,
};

// Table of the other instances as seen by this one. Merging is idempotent and independent of order, except that a reported
// death is not taken over while this instance holds the member as alive.
class MemberTable {
public:
    static constexpr std::size_t kMaximumMembers = 16'384;
    // One accuser and three confirmations, which shorten a suspicion to its minimum. Further accusers have no effect.
    static constexpr std::size_t kMaximumAccusers = 4;
    static constexpr Micros kDeadRetention { std::chrono::hours { 24 } };
    // Long enough that no gossip about a member that left is still in circulation.
    static constexpr Micros kLeftRetention { std::chrono::hours { 1 } };

    MergeResult merge(const MemberRecord& record, TimePoint now);
    // Records that a probe by the accuser failed. Returns true if that accuser was added.
    bool suspect(const InstanceName& name, const InstanceName& accuser, TimePoint now);
    // Records that a probe of a suspect by this instance failed.
    void recordProbeFailure(const InstanceName& name, TimePoint now) { m_members.at(name).probeFailedAt = now; }
    void declareDead(const InstanceName& name, TimePoint now);
    // Removes members that died or left longer ago than their retention time. Returns their names.
    std::vector<InstanceName> evictExpired(TimePoint now);
    // Extends all suspicions by the time that this process did not run, and at least until noDeathBefore.
    void extendSuspicions(Micros stall, TimePoint noDeathBefore);

    const Member* find(const InstanceName& name) const;
    const std::map<InstanceName, Member>& members() const { return m_members; }
    const std::set<InstanceName>& suspects() const { return m_suspects; }
    const std::set<InstanceName>& dead() const { return m_dead; }
    // Returns all members that are not dead, ordered by name. The reference is valid until the next change.
    const std::vector<InstanceName>& active();
    // Returns the record to send, with the current time since death.
    MemberRecord recordOf(const Member& member, TimePoint now) const;

private:
    MergeResult insert(const MemberRecord& record, TimePoint now);
    MergeResult mergeNewer(Member& member, const MemberRecord& record, TimePoint now);
    MergeResult mergeEqual(Member& member, const MemberRecord& record, TimePoint now);
    void setHealth(Member& member, Health health, TimePoint now);

    std::map<InstanceName, Member> m_members;
    std::set<InstanceName> m_suspects;
    std::set<InstanceName> m_dead;
    std::vector<InstanceName> m_active;
    bool m_activeStale = true;
};

} // namespace curranttrail::membership
