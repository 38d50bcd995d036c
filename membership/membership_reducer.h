#pragma once

#include "core/random.h"
#include "core/units.h"
#include "membership/announcement_store.h"
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
    // "127.0.0.1:port". Other instances send to it, so it must be the address that the socket is bound to.
    std::string address;
    // Addresses of instances to join through. The own address is ignored.
    std::vector<std::string> seeds;
    std::uint64_t seed = 0;
    // Higher than at the process's last start, for example the wall-clock time in milliseconds.
    std::uint64_t incarnation = 0;
    // One member is probed in each period.
    Micros period { std::chrono::milliseconds { 500 } };
    // Longer than a round trip between regions.
    Micros probeTimeout { std::chrono::milliseconds { 200 } };
    std::size_t indirectProbes = 3;
    // The table is compared with that of a random member at this interval, one datagram at a time.
    Micros syncInterval { std::chrono::seconds { 1 } };
    // One dead member or unreached seed is contacted at this interval, so that healed partitions merge.
    Micros contactInterval { std::chrono::seconds { 2 } };
    // After this time without an answer from a seed an instance continues alone.
    Micros joinTimeout { std::chrono::seconds { 5 } };
};

// The instance itself or another one, as this instance sees it.
struct MemberView {
    MemberRecord record;
    MemberState state = MemberState::Joining;
    TimePoint since;
};

// Failure detection and dissemination between instances, after SWIM and Lifeguard, with these additions:
// - A verdict of death is never taken over. Each instance waits out its own suspicion, needs a failed probe of its own
//   and a second accuser (or the platform's list lacking the member), and declares nobody dead while it hears from nobody.
//   So neither a frozen nor an asymmetrically cut instance can have a healthy member declared dead.
// - After a stall of the process all time-outs are extended by the stall.
// - Records carry incarnation and revision; only the member itself raises them.
class MembershipReducer {
public:
    explicit MembershipReducer(MembershipOptions options);

    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;

    // All known members including this instance, by name.
    std::vector<MemberView> members() const;
    // Entry instances among which the connection limits of the servers are shared, by name. A dead one counts until
    // the platform's list also lacks it or one hour has passed, so that shares do not grow during a partition.
    std::vector<InstanceName> connectionHolders(TimePoint now) const;
    const MemberRecord& self() const { return m_self; }
    // True while no datagram has arrived for several periods although other members are known.
    bool isolated() const { return m_isolated; }
    // From 0, healthy, to 8. Probe periods and time-outs are stretched by it.
    std::uint32_t localHealthScore() const { return m_localHealthScore; }

private:
    enum class ProbeKind {
        // The turn of the member; a failure makes it suspect.
        Regular,
        // Ahead of the turn, as others gave reason to expect a failure; it says nothing about local health.
        Verification,
        // A dead member or a seed; a failure has no consequence.
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

    // Events, membership_reducer.cpp.
    void start(TimePoint now);
    void on(const DatagramReceived& datagram, TimePoint now);
    void on(const PlatformListChanged& list, TimePoint now);
    void on(const LocalVersionsChanged& changed, TimePoint now);
    void on(const AnnounceServerLeaving& announcement, TimePoint now);
    void on(const LeaveRequested& request, TimePoint now);
    void on(const Tick& tick, TimePoint now);
    void detectStall(TimePoint now);
    void runTimers(TimePoint now);

    // Merging, membership_merge.cpp.
    void mergeGossip(const DatagramReceived& datagram, TimePoint now);
    void recordVersion(const VersionAnnouncement& announcement, TimePoint now);
    // Changes are passed on unless "quietly" is set.
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

    // Probing, membership_probing.cpp.
    void handleBody(const Ping& ping, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const Ack& ack, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const Nack& nack, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const PingRequest& request, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const GossipMessage& news, const DatagramReceived& datagram, TimePoint now);
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

    // Joining and anti-entropy, membership_sync.cpp.
    void handleBody(const SyncRequest& request, const DatagramReceived& datagram, TimePoint now);
    void handleBody(const SyncReply& reply, const DatagramReceived& datagram, TimePoint now);
    void continueJoin(TimePoint now);
    void finishJoin(TimePoint now);
    void beginSync(TimePoint now);
    // Records with names after "after" in order, as many as fit.
    std::vector<MemberRecord> recordsAfter(const InstanceName& after, std::size_t remainingBytes, bool& more, TimePoint now) const;
    const MemberRecord* nextRecordAfter(const InstanceName& after) const;

    // Sending, membership_sync.cpp.
    // "about" names a member whose record is added if it is not plainly alive, or always for a relayed answer.
    Message composeMessage(MessageBody body, const InstanceName& subject, bool relayed, TimePoint now);
    void send(const std::string& address, MessageBody body, const InstanceName& subject, TimePoint now, bool relayed = false);
    void sendMessage(const std::string& address, Message message);
    void addAnnouncements(Message& message, std::size_t& remainingBytes, TimePoint now) const;
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
    std::optional<std::set<InstanceName>> m_platformList;
    std::vector<Effect> m_effects;

    bool m_started = false;
    bool m_isolated = false;
    std::uint32_t m_localHealthScore = 0;
    std::uint64_t m_nextProbe = 1;
    std::map<std::uint64_t, Probe> m_probes;
    std::map<std::uint64_t, Relay> m_relays;
    std::vector<InstanceName> m_probeOrder;
    // Members on which an own probe must decide, as others declared them dead or a suspicion ran out; probed ahead of their turn.
    std::set<InstanceName> m_pendingVerifications;

    bool m_joining = true;
    std::size_t m_nextSeed = 0;
    InstanceName m_joinCursor;
    std::string m_joinAddress;
    InstanceName m_syncCursor;

    // The time by which the driver was to call again, to notice stalls.
    TimePoint m_expectedCallAt = kNever;
    TimePoint m_lastHeard;
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
