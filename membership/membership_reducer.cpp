#include "membership/membership_reducer.h"

#include "membership/events.h"

#include <algorithm>
#include <variant>

namespace curranttrail::membership {

namespace {

    // The driver calls within a few milliseconds of the requested time. A call later than this means that the process did not
    // run.
    constexpr Micros kStallThreshold { std::chrono::milliseconds { 100 } };
    constexpr Micros kHolderRetention { std::chrono::hours { 1 } };
    constexpr std::uint32_t kBurstRounds = 3;

} // namespace

MembershipReducer::MembershipReducer(MembershipOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    m_self.name = m_options.name;
    m_self.owner = m_options.owner;
    m_self.dataCentre = m_options.dataCentre;
    m_self.kind = m_options.kind;
    m_self.address = m_options.address;
    m_self.incarnation = m_options.incarnation;
    std::erase(m_options.seeds, m_options.address);
}

std::vector<Effect> MembershipReducer::handle(const Event& event, TimePoint now)
{
    m_effects.clear();
    if (!m_started)
        start(now);
    detectStall(now);
    std::visit([this, now](const auto& content) { on(content, now); }, event);
    runTimers(now);
    m_expectedCallAt = nextWakeup();
    return std::move(m_effects);
}

TimePoint MembershipReducer::nextWakeup() const
{
    if (!m_started)
        return TimePoint {};
    TimePoint next = std::min({ m_periodAt, m_housekeepingAt, m_syncAt, m_contactAt, m_burstAt });
    if (m_joining)
        next = std::min(next, m_joinRetryAt);
    for (const std::pair<const std::uint64_t, Probe>& entry : m_probes)
        next = std::min({ next, entry.second.indirectAt, entry.second.endsAt });
    for (const std::pair<const std::uint64_t, Relay>& entry : m_relays)
        next = std::min(next, entry.second.endsAt);
    return next;
}

std::vector<MemberView> MembershipReducer::members() const
{
    std::vector<MemberView> views;
    views.reserve(m_table.members().size() + 1);
    for (const std::pair<const InstanceName, Member>& entry : m_table.members())
        views.push_back({ entry.second.record, stateOf(entry.second.record), entry.second.since });
    const std::vector<MemberView>::iterator place = std::find_if(views.begin(), views.end(), [this](const MemberView& view) { return view.record.name > m_self.name; });
    views.insert(place, { m_self, stateOf(m_self), TimePoint {} });
    return views;
}

std::vector<InstanceName> MembershipReducer::connectionHolders(TimePoint now) const
{
    std::vector<InstanceName> holders;
    if (m_self.kind == InstanceKind::Entry)
        holders.push_back(m_self.name);
    for (const std::pair<const InstanceName, Member>& entry : m_table.members()) {
        const Member& member = entry.second;
        const MemberState state = stateOf(member.record);
        if (member.record.kind != InstanceKind::Entry || state == MemberState::Left)
            continue;
        if (state == MemberState::Dead && (isAbsentFromPlatformList(entry.first) || now - member.since >= kHolderRetention))
            continue;
        holders.push_back(entry.first);
    }
    std::sort(holders.begin(), holders.end());
    return holders;
}

void MembershipReducer::start(TimePoint now)
{
    m_started = true;
    m_lastReceivedAt = now;
    m_joinEndsAt = now + m_options.joinTimeout;
    m_joinRetryAt = now;
    // Random offset, so that instances that start together do not send in lockstep.
    m_periodAt = now + Micros { static_cast<Micros::rep>(randomIndex(static_cast<std::size_t>(m_options.period.count()))) };
    m_housekeepingAt = now + m_options.period;
    m_syncAt = m_periodAt + m_options.syncInterval / 2;
    m_contactAt = m_periodAt + m_options.contactInterval;
    m_queue.push(m_self.name);
    if (m_options.seeds.empty())
        finishJoin(now);
}

void MembershipReducer::on(const DatagramReceived& datagram, TimePoint now)
{
    if (datagram.sender == m_self.name)
        return;
    m_lastReceivedAt = now;
    updateIsolation(now);
    mergeGossip(datagram, now);
    std::visit([this, &datagram, now](const auto& body) { handleBody(body, datagram, now); }, datagram.message.body);
}

void MembershipReducer::on(const PlatformListChanged& list, TimePoint)
{
    m_platformList = std::set<InstanceName>(list.instances.begin(), list.instances.end());
}

void MembershipReducer::on(const LocalVersionsChanged& changed, TimePoint now)
{
    if (m_announcements.setLocalVersions(changed.versions))
        scheduleBurst(now);
}

void MembershipReducer::on(const AnnounceServerLeaving& announcement, TimePoint now)
{
    if (m_announcements.recordLeavingServer({ announcement.server, 0 }, now))
        scheduleBurst(now);
}

void MembershipReducer::on(const CrashRecordsChanged& changed, TimePoint now)
{
    if (!m_crashes.merge(changed.records, now).empty())
        scheduleBurst(now);
}

void MembershipReducer::on(const LeaveRequested&, TimePoint now)
{
    if (m_self.leaving)
        return;
    m_self.leaving = true;
    raiseOwnRevision();
    log(events::kLeaving, {});
    scheduleBurst(now);
}

void MembershipReducer::on(const Tick&, TimePoint) { }

void MembershipReducer::detectStall(TimePoint now)
{
    if (m_expectedCallAt == kNever || now <= m_expectedCallAt + kStallThreshold)
        return;
    const Micros stall = now - m_expectedCallAt;
    // Replies may be waiting in the socket, so every pending probe gets a full timeout from now on.
    for (std::pair<const std::uint64_t, Probe>& entry : m_probes) {
        Probe& probe = entry.second;
        if (probe.indirectAt != kNever)
            probe.indirectAt = now + m_options.probeTimeout;
        probe.endsAt = now + m_options.period;
    }
    m_lastReceivedAt += stall;
    const Micros shortest = std::max(m_options.period, stall);
    m_table.extendSuspicions(stall, now + std::min(shortest, m_options.period * 10));
    raiseLocalHealthScore(1 + static_cast<std::uint32_t>(std::min<Micros::rep>(8, stall / m_options.period)));
    log(events::kStalled, { { "stall_us", std::to_string(stall.count()) } });
}

void MembershipReducer::runTimers(TimePoint now)
{
    expireProbes(now);
    expireRelays(now);
    if (m_joining && now >= m_joinRetryAt)
        continueJoin(now);
    if (now >= m_periodAt)
        beginPeriod(now);
    if (now >= m_housekeepingAt) {
        m_housekeepingAt = now + m_options.period;
        updateIsolation(now);
        evaluateSuspects(now);
        evictExpired(now);
    }
    if (now >= m_syncAt)
        beginSync(now);
    if (now >= m_contactAt)
        probeUnreachable(now);
    if (now < m_burstAt)
        return;
    m_burstAt = --m_remainingBurstRounds > 0 ? now + m_options.probeTimeout : kNever;
    for (const InstanceName& name : randomActive(kBurstRounds + 1, {}))
        send(m_table.find(name)->record.address, GossipMessage {}, {}, now);
}

void MembershipReducer::scheduleBurst(TimePoint now)
{
    m_remainingBurstRounds = kBurstRounds;
    if (m_burstAt == kNever)
        m_burstAt = now;
}

void MembershipReducer::log(const EventDescription& description, std::vector<EventField> fields)
{
    m_effects.emplace_back(LogEvent { &description, std::move(fields) });
}

} // namespace curranttrail::membership
