#pragma once

#include "core/random.h"
#include "core/units.h"
#include "membership/announcement_store.h"
#include "membership/crash_announcements.h"
#include "membership/member_table.h"
#include "membership/messages.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <vector>

namespace curranttrail::membership {

struct MembershipOptions {
    InstanceName name;
    OwnerName owner;
    DataCentreName dataCentre;
    InstanceKind kind = InstanceKind::Entry;
    // Numeric address and port, as in "127.0.0.1:port". Must be the address that the socket is bound to, since other instances
    // send to it.
    std::string address;
    // Addresses of instances to contact for joining. The instance's own address is ignored.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
    // Must be higher than at the previous start of the process, for example the wall-clock time in milliseconds.
    std::uint64_t incarnation = 0;
    // Probe period. One member is probed in each.
    Micros period { std::chrono::milliseconds { 500 } };
    // Longer than a round trip between regions.
    Micros probeTimeout { std::chrono::milliseconds { 200 } };
    std::size_t indirectProbes = 3;
    // Interval of anti-entropy: one datagram's worth of the table is compared with that of a random member.
    Micros syncInterval { std::chrono::seconds { 1 } };
    // Interval at which one dead member or seed is contacted, so that the halves of a healed partition merge.
    Micros contactInterval { std::chrono::seconds { 2 } };
    // Time without a reply from any seed after which the instance starts alone.
    Micros joinTimeout { std::chrono::seconds { 5 } };
};

// This instance or another one, as seen by this instance.
struct MemberView {
    MemberRecord record;
    MemberState state = MemberState::Joining;
    TimePoint since;
};

// Failure detection and gossip between instances, after SWIM and Lifeguard, with these differences:
// - A death reported by another instance is taken over only if the platform's list lacks the member too. Otherwise each instance
//   waits for its own suspicion timeout and needs a failed probe of its own. Unless the platform's list lacks the member, it also
//   needs a second accuser and must not be isolated. Therefore neither a suspended instance nor one behind an asymmetric partition
//   can have a healthy member declared dead.
// - After a stall of the process all timeouts are extended by the duration of the stall.
// - Records carry an incarnation and a revision, which only the member itself raises.
// Contains no I/O: events go in and effects come out.
class MembershipReducer {
public:
    explicit MembershipReducer(MembershipOptions options);

    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;

    // Returns all known members including this instance, ordered by name.
    std::vector<MemberView> members() const;
    // Returns the entry instances among which the connection limits of the backend servers are shared, ordered by name. A dead
    // one counts until the platform's list lacks it too or one hour has passed, so that shares do not grow during a partition.
    std::vector<InstanceName> connectionHolders(TimePoint now) const;
    const MemberRecord& self() const { return m_self; }
    // True while no datagram has arrived for several periods although other members are known.
    bool isolated() const { return m_isolated; }
    // Returns Lifeguard's local health score, from 0 (healthy) to 8. Probe periods and timeouts are multiplied by 1 + score.
    std::uint32_t localHealthScore() const { return m_localHealthScore; }

private:
    enum class ProbeKind {
        // Scheduled probe of the next member in turn. A failure makes the member suspect.
        Regular,
        // Probe ahead of the member's turn, to confirm a death or suspicion. Does not affect the local health score.
        Verification,
        // Attempt to reach a dead member or a seed. A failure has no effect.
        Reconnect,
    };

    struct Probe {
        InstanceName target;
        ProbeKind kind = ProbeKind::Regular;
        TimePoint indirectAt;
        TimePoint endsAt;
        std::uint32_t helpers = 0;
        std::uint32_t nacks = 0;
    };

    // A ping sent on behalf of another instance.
    struct Relay {
        std::string requester;
        std::uint64_t requesterProbe = 0;
        InstanceName target;
        TimePoint endsAt;
    };

    // Events, in membership_reducer.cpp.
    void start(TimePoint now);
    void on(const DatagramReceived& datagram, TimePoint now);
    void on(const PlatformListChanged& list, TimePoint now);
    void on(const LocalVersionsChanged& changed, TimePoint now);
    void on(const AnnounceServerLeaving& announcement, TimePoint now);
    void on(const CrashRecordsChanged& changed, TimePoint now);
    void on(const LeaveRequested& request, TimePoint now);
    void on(const Tick& tick, TimePoint now);
    void detectStall(TimePoint now);
    void runTimers(TimePoint now);

    // Merging of gossip, in membership_merge.cpp.
    void mergeGossip(const DatagramReceived& datagram, TimePoint now);
    void recordVersion(const VersionAnnouncement& announcement, TimePoint now);
    // Queues a changed record for dissemination unless skipGossip is set.
    void mergeRecord(const MemberRecord& record, bool skipGossip, TimePoint now);
    void mergeOwnRecord(const MemberRecord& record, TimePoint now);
    void raiseOwnRevision();
    void raiseSuspicion(const InstanceName& name, TimePoint now);
    void evaluateSuspects(TimePoint now);
    TimePoint suspicionDeadline(const Member& member) const;
    bool canDeclareDead(const Member& member, TimePoint deadline, TimePoint now) const;
    bool isAbsentFromPlatformList(const InstanceName& name) const;
    void updateIsolation(TimePoint now);
    void announceChange(const InstanceName& name, bool skipGossip = false);
    void evictExpired(TimePoint now);

    // Probing, in membership_probing.cpp.
    void handleBody(const Ping& ping, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const Ack& ack, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const Nack& nack, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const PingRequest& request, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const GossipMessage& message, const DatagramReceived& datagram, TimePoint now);
    void beginPeriod(TimePoint now);
    void probe(const InstanceName& target, ProbeKind kind, TimePoint now);
    bool isProbed(const InstanceName& target) const;
    void probeIndirectly(std::uint64_t id, Probe& probe, TimePoint now);
    void expireProbes(TimePoint now);
    void expireRelays(TimePoint now);
    void failProbe(const Probe& probe, TimePoint now);
    void probeUnreachable(TimePoint now);
    std::optional<InstanceName> nextTarget();
    void raiseLocalHealthScore(std::uint32_t steps);
    Micros scaledByHealth(Micros duration) const { return duration * (1 + m_localHealthScore); }

    // Joining and anti-entropy, in membership_sync.cpp.
    void handleBody(const SyncRequest& request, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const SyncReply& reply, const DatagramReceived& datagram, TimePoint now);
    void continueJoin(TimePoint now);
    void finishJoin(TimePoint now);
    void beginSync(TimePoint now);
    // Returns the records with names after "after" in order, as many as fit. Sets "more" if further records follow.
    std::vector<MemberRecord> recordsAfter(const InstanceName& after, std::size_t remainingBytes, bool& more, TimePoint now) const;
    // Returns the record with the next name after "after", this instance's own included, or nullptr.
    const MemberRecord* nextRecordAfter(const InstanceName& after) const;

    // Sending, in membership_sync.cpp.
    // Adds the record of the subject, if that member is known, unless its health is Alive. For a relayed ack it is always added.
    Message composeMessage(MessageBody body, const InstanceName& subject, bool relayed, TimePoint now);
    void send(const std::string& address, MessageBody body, const InstanceName& subject, TimePoint now, bool relayed = false);
    void sendMessage(const std::string& address, Message message);
    void addAnnouncements(Message& message, std::size_t& remainingBytes, TimePoint now);
    void addMemberRecords(Message& message, std::size_t& remainingBytes, TimePoint now);
    void scheduleBurst(TimePoint now);
    std::vector<InstanceName> randomActive(std::size_t count, const InstanceName& except);
    std::size_t randomIndex(std::size_t size);
    std::uint32_t sendLimit() const;
    void log(const EventDescription& description, std::vector<EventField> fields);

    MembershipOptions m_options;
    Random m_random;
    MemberRecord m_self;
    MemberTable m_table;
    GossipQueue m_queue;
    AnnouncementStore m_announcements;
    CrashAnnouncements m_crashes;
    std::optional<std::set<InstanceName>> m_platformList;
    std::vector<Effect> m_effects;

    bool m_started = false;
    bool m_isolated = false;
    std::uint32_t m_localHealthScore = 0;
    std::uint64_t m_nextProbe = 1;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    std::vector<InstanceName> m_probeOrder;
    // Members to probe ahead of their turn, because another instance reported them dead or their suspicion timed out.
    std::set<InstanceName> m_pendingVerifications;

    bool m_joining = true;
    std::size_t m_nextSeed = 0;
    InstanceName m_joinCursor;
    std::string m_joinAddress;
    InstanceName m_syncCursor;

    // Time at which the driver was asked to call again. Used to detect stalls.
    TimePoint m_expectedCallAt = kNever;
    TimePoint m_lastReceivedAt;
    TimePoint m_joinEndsAt;
    TimePoint m_joinRetryAt;
    TimePoint m_periodAt;
    TimePoint m_housekeepingAt;
    TimePoint m_syncAt;
    TimePoint m_contactAt;
    TimePoint m_burstAt = kNever;
    std::uint32_t m_remainingBurstRounds = 0;
};

} // namespace curranttrail::membership
