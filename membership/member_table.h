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
    // When the health last changed here; for a dead member when the death was declared.
    TimePoint since;
    // Instances whose own probes of this member failed, at most kMaximumAccusers.
    std::vector<InstanceName> accusers;
    // When an own probe last failed during this suspicion.
    std::optional<TimePoint> probeFailedAt;
    // No death is declared before this time, whatever the accusers say. Moved on after a stall of this process.
    TimePoint noDeathBefore;
};

// What the merge of a record means for the rest of the reducer.
enum class MergeResult {
    Unchanged,
    Changed,
    // The sender declared dead a member that this instance has no doubt about.
    ReportedDead,
    Full,
};

// The other instances as this one sees them. Merging is idempotent and independent of order,
// except that nobody's verdict of death is taken over while this instance holds the member alive.
class MemberTable {
public:
    static constexpr std::size_t kMaximumMembers = 16'384;
    // Three confirmations shorten a suspicion to its minimum; more add nothing.
    static constexpr std::size_t kMaximumAccusers = 4;
    static constexpr Micros kDeadRetention { std::chrono::hours { 24 } };
    // A member that left is kept until gossip about it has died down.
    static constexpr Micros kLeftRetention { std::chrono::hours { 1 } };

    MergeResult merge(const MemberRecord& record, TimePoint now);
    // A probe by the accuser failed. Returns true if that was news.
    bool suspect(const InstanceName& name, const InstanceName& accuser, TimePoint now);
    // This instance's own probe of a suspect failed.
    void recordProbeFailure(const InstanceName& name, TimePoint now) { m_members.at(name).probeFailedAt = now; }
    void declareDead(const InstanceName& name, TimePoint now);
    // Removes members that died or left long ago.
    std::vector<InstanceName> evictExpired(TimePoint now);
    // Shifts all suspicions by the time this process did not run, and keeps each open until noDeathBefore.
    void extendSuspicions(Micros stall, TimePoint noDeathBefore);

    const Member* find(const InstanceName& name) const;
    const std::map<InstanceName, Member>& members() const { return m_members; }
    const std::set<InstanceName>& suspects() const { return m_suspects; }
    const std::set<InstanceName>& dead() const { return m_dead; }
    // All members that are not dead, in a stable order; valid until the next change.
    const std::vector<InstanceName>& active();
    // The record with its age brought up to date, as it is to be sent.
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
