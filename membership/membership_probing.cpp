#include "membership/events.h"
#include "membership/membership_reducer.h"

#include <algorithm>

namespace curranttrail::membership {

namespace {

    constexpr std::uint32_t kMaximumLocalHealthScore = 8;
    constexpr std::size_t kMaximumRelays = 64;
    constexpr std::size_t kMaximumVerificationsPerPeriod = 8;
    constexpr std::size_t kMaximumProbes = 32;

} // namespace

void MembershipReducer::handleBody(const Ping& ping, const DatagramReceived& datagram, TimePoint now)
{
    if (!ping.target.empty() && ping.target != m_self.name)
        return;
    send(datagram.from, Ack { ping.probe }, datagram.sender, now);
}

void MembershipReducer::handleBody(const Ack& ack, const DatagramReceived&, TimePoint now)
{
    const std::map<std::uint64_t, Relay>::iterator relay = m_relays.find(ack.probe);
    if (relay != m_relays.end()) {
        send(relay->second.requester, Ack { relay->second.requesterProbe }, relay->second.target, now, true);
        m_relays.erase(relay);
        return;
    }
    const std::map<std::uint64_t, Probe>::iterator probe = m_probes.find(ack.probe);
    if (probe == m_probes.end())
        return;
    if (probe->second.kind == ProbeKind::Regular && m_localHealthScore > 0)
        --m_localHealthScore;
    m_pendingVerifications.erase(probe->second.target);
    m_probes.erase(probe);
}

void MembershipReducer::handleBody(const Nack& nack, const DatagramReceived&, TimePoint)
{
    const std::map<std::uint64_t, Probe>::iterator probe = m_probes.find(nack.probe);
    if (probe != m_probes.end())
        ++probe->second.nacks;
}

void MembershipReducer::handleBody(const PingRequest& request, const DatagramReceived& datagram, TimePoint now)
{
    if (m_relays.size() >= kMaximumRelays || request.target == m_self.name)
        return;
    const std::uint64_t id = m_nextProbe++;
    m_relays.emplace(id, Relay { datagram.from, request.probe, request.target, now + m_options.probeTimeout });
    send(request.address, Ping { id, request.target }, request.target, now);
}

void MembershipReducer::handleBody(const GossipMessage&, const DatagramReceived&, TimePoint) { }

void MembershipReducer::beginPeriod(TimePoint now)
{
    m_periodAt = now + scaledByHealth(m_options.period);
    std::size_t budget = kMaximumVerificationsPerPeriod;
    for (std::set<InstanceName>::iterator it = m_pendingVerifications.begin(); it != m_pendingVerifications.end() && budget > 0; --budget) {
        const Member* member = m_table.find(*it);
        if (member && member->record.health != Health::Dead)
            probe(*it, ProbeKind::Verification, now);
        it = m_pendingVerifications.erase(it);
    }
    const std::optional<InstanceName> target = nextTarget();
    if (target)
        probe(*target, ProbeKind::Regular, now);
}

std::optional<InstanceName> MembershipReducer::nextTarget()
{
    if (m_probeOrder.empty()) {
        m_probeOrder = m_table.active();
        for (std::size_t n = m_probeOrder.size(); n > 1; --n)
            std::swap(m_probeOrder[n - 1], m_probeOrder[randomIndex(n)]);
    }
    while (!m_probeOrder.empty()) {
        const InstanceName name = std::move(m_probeOrder.back());
        m_probeOrder.pop_back();
        const Member* member = m_table.find(name);
        if (member && member->record.health != Health::Dead)
            return name;
    }
    return std::nullopt;
}

bool MembershipReducer::isProbed(const InstanceName& target) const
{
    return std::any_of(m_probes.begin(), m_probes.end(), [&target](const std::pair<const std::uint64_t, Probe>& entry) { return entry.second.target == target; });
}

void MembershipReducer::probe(const InstanceName& target, ProbeKind kind, TimePoint now)
{
    if (m_probes.size() >= kMaximumProbes || isProbed(target))
        return;
    const std::uint64_t id = m_nextProbe++;
    Probe& probe = m_probes[id];
    probe.target = target;
    probe.kind = kind;
    probe.indirectAt = now + scaledByHealth(m_options.probeTimeout);
    probe.endsAt = now + scaledByHealth(m_options.period);
    send(m_table.find(target)->record.address, Ping { id, target }, target, now);
}

void MembershipReducer::probeIndirectly(std::uint64_t id, Probe& probe, TimePoint now)
{
    probe.indirectAt = kNever;
    const Member* member = m_table.find(probe.target);
    if (probe.kind == ProbeKind::Reconnect || !member)
        return;
    const std::string address = member->record.address;
    for (const InstanceName& helper : randomActive(m_options.indirectProbes, probe.target)) {
        ++probe.helpers;
        send(m_table.find(helper)->record.address, PingRequest { id, probe.target, address }, probe.target, now);
    }
}

void MembershipReducer::expireProbes(TimePoint now)
{
    std::vector<Probe> failed;
    for (std::map<std::uint64_t, Probe>::iterator it = m_probes.begin(); it != m_probes.end();) {
        if (now >= it->second.endsAt) {
            failed.push_back(std::move(it->second));
            it = m_probes.erase(it);
            continue;
        }
        if (now >= it->second.indirectAt)
            probeIndirectly(it->first, it->second, now);
        ++it;
    }
    for (const Probe& probe : failed)
        failProbe(probe, now);
}

void MembershipReducer::failProbe(const Probe& probe, TimePoint now)
{
    if (probe.kind == ProbeKind::Reconnect)
        return;
    // A helper that sends neither an ack nor a nack suggests a fault of this instance or its network.
    if (probe.kind == ProbeKind::Regular && probe.nacks < probe.helpers)
        raiseLocalHealthScore(probe.helpers - probe.nacks);
    raiseSuspicion(probe.target, now);
}

void MembershipReducer::expireRelays(TimePoint now)
{
    for (std::map<std::uint64_t, Relay>::iterator it = m_relays.begin(); it != m_relays.end();) {
        if (now < it->second.endsAt) {
            ++it;
            continue;
        }
        send(it->second.requester, Nack { it->second.requesterProbe }, {}, now);
        it = m_relays.erase(it);
    }
}

void MembershipReducer::probeUnreachable(TimePoint now)
{
    m_contactAt = now + m_options.contactInterval;
    std::vector<std::pair<InstanceName, std::string>> candidates;
    for (const InstanceName& name : m_table.dead()) {
        const MemberRecord& record = m_table.find(name)->record;
        if (!record.leaving)
            candidates.emplace_back(name, record.address);
    }
    // Without any active member the seeds are the only way to rejoin.
    if (m_table.active().empty()) {
        for (const std::string& seed : m_options.seeds)
            candidates.emplace_back(InstanceName {}, seed);
    }
    if (candidates.empty() || m_probes.size() >= kMaximumProbes)
        return;
    const std::pair<InstanceName, std::string> chosen = candidates[randomIndex(candidates.size())];
    const std::uint64_t id = m_nextProbe++;
    m_probes[id] = Probe { chosen.first, ProbeKind::Reconnect, kNever, now + m_options.contactInterval };
    send(chosen.second, Ping { id, chosen.first }, chosen.first, now);
}

void MembershipReducer::raiseLocalHealthScore(std::uint32_t steps)
{
    m_localHealthScore = std::min(kMaximumLocalHealthScore, m_localHealthScore + steps);
}

} // namespace curranttrail::membership
