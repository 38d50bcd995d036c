#include "membership/codec.h"
#include "membership/events.h"
#include "membership/membership_reducer.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <cmath>

namespace curranttrail::membership {

namespace {

    constexpr Micros kJoinRetryInterval { std::chrono::milliseconds { 300 } };
    // Sends of one record by each instance per factor of ten in the member count. A given peer misses the record with a
    // probability of about e^-sends.
    constexpr std::uint32_t kSendsPerMagnitude = 4;

    // True if the record is newer than the one that the peer holds.
    bool supersedes(const MemberRecord& record, const MemberRecord& peerRecord)
    {
        if (record.incarnation != peerRecord.incarnation)
            return record.incarnation > peerRecord.incarnation;
        if (record.revision != peerRecord.revision)
            return record.revision > peerRecord.revision;
        return record.health > peerRecord.health;
    }

} // namespace

void MembershipReducer::handleBody(const SyncRequest& request, const DatagramReceived& datagram, TimePoint now)
{
    SyncReply reply { request.upTo, request.pull, false };
    Message message;
    message.body = SyncReply { InstanceName(kMaximumNameBytes, ' '), request.pull, false };
    message.gossip.versions = m_announcements.localVersions();
    std::size_t remainingBytes = kMaximumDatagramBytes - encodedBaseSize(m_self.name, message);
    std::vector<MemberRecord>& records = message.gossip.records;
    if (request.pull) {
        records = recordsAfter(request.after, remainingBytes, reply.more, now);
        reply.upTo = records.empty() ? InstanceName {} : records.back().name;
    } else {
        std::map<InstanceName, const MemberRecord*> peerRecords;
        for (const MemberRecord& record : datagram.message.gossip.records)
            peerRecords.emplace(record.name, &record);
        InstanceName cursor = request.after;
        for (const MemberRecord* next = nextRecordAfter(cursor); next; next = nextRecordAfter(cursor)) {
            cursor = next->name;
            if (!request.upTo.empty() && cursor > request.upTo)
                break;
            const std::map<InstanceName, const MemberRecord*>::const_iterator peerRecord = peerRecords.find(cursor);
            if (peerRecord != peerRecords.end() && !supersedes(*next, *peerRecord->second))
                continue;
            const Member* member = m_table.find(cursor);
            const MemberRecord record = member ? m_table.recordOf(*member, now) : m_self;
            if (records.size() >= kMaximumRecords || encodedSize(record) > remainingBytes)
                break;
            remainingBytes -= encodedSize(record);
            records.push_back(record);
        }
        // An empty reply is not sent, since later pings carry the versions too.
        if (records.empty())
            return;
    }
    message.body = std::move(reply);
    sendMessage(datagram.from, std::move(message));
}

void MembershipReducer::handleBody(const SyncReply& reply, const DatagramReceived& datagram, TimePoint now)
{
    // Only the seed that was asked last may advance the cursor, and only forward.
    if (!m_joining || !reply.pull || datagram.from != m_joinAddress)
        return;
    if (!reply.more || reply.upTo <= m_joinCursor) {
        finishJoin(now);
        return;
    }
    m_joinCursor = reply.upTo;
    m_joinRetryAt = now + kJoinRetryInterval;
    send(m_joinAddress, SyncRequest { m_joinCursor, {}, true }, {}, now);
}

void MembershipReducer::continueJoin(TimePoint now)
{
    if (now >= m_joinEndsAt) {
        log(events::kJoinTimedOut, {});
        finishJoin(now);
        return;
    }
    m_joinRetryAt = now + kJoinRetryInterval;
    m_joinAddress = m_options.seeds[m_nextSeed++ % m_options.seeds.size()];
    send(m_joinAddress, SyncRequest { m_joinCursor, {}, true }, {}, now);
}

void MembershipReducer::finishJoin(TimePoint now)
{
    if (now < m_joinEndsAt)
        log(events::kJoined, { { "members", std::to_string(m_table.members().size() + 1) } });
    m_joining = false;
    m_self.health = Health::Alive;
    raiseOwnRevision();
    scheduleBurst(now);
}

void MembershipReducer::beginSync(TimePoint now)
{
    m_syncAt = now + m_options.syncInterval;
    const std::vector<InstanceName> peers = randomActive(1, {});
    if (peers.empty())
        return;
    Message message;
    message.body = SyncRequest { m_syncCursor, InstanceName(kMaximumNameBytes, ' '), false };
    message.gossip.versions = m_announcements.localVersions();
    const std::size_t remainingBytes = kMaximumDatagramBytes - encodedBaseSize(m_self.name, message);
    bool more = false;
    message.gossip.records = recordsAfter(m_syncCursor, remainingBytes, more, now);
    const InstanceName upTo = more ? message.gossip.records.back().name : InstanceName {};
    message.body = SyncRequest { m_syncCursor, upTo, false };
    m_syncCursor = upTo;
    sendMessage(m_table.find(peers.front())->record.address, std::move(message));
}

std::vector<MemberRecord> MembershipReducer::recordsAfter(const InstanceName& after, std::size_t remainingBytes, bool& more, TimePoint now) const
{
    std::vector<MemberRecord> records;
    InstanceName cursor = after;
    more = false;
    for (const MemberRecord* next = nextRecordAfter(cursor); next; next = nextRecordAfter(cursor)) {
        cursor = next->name;
        const Member* member = m_table.find(cursor);
        const MemberRecord record = member ? m_table.recordOf(*member, now) : m_self;
        if (records.size() >= kMaximumRecords || encodedSize(record) > remainingBytes) {
            more = true;
            return records;
        }
        remainingBytes -= encodedSize(record);
        records.push_back(record);
    }
    return records;
}

const MemberRecord* MembershipReducer::nextRecordAfter(const InstanceName& after) const
{
    const std::map<InstanceName, Member>::const_iterator it = m_table.members().upper_bound(after);
    const bool ownIsAfter = m_self.name > after;
    if (it == m_table.members().end())
        return ownIsAfter ? &m_self : nullptr;
    return ownIsAfter && m_self.name < it->first ? &m_self : &it->second.record;
}

Message MembershipReducer::composeMessage(MessageBody body, const InstanceName& subject, bool relayed, TimePoint now)
{
    Message message;
    message.body = std::move(body);
    message.gossip.versions = m_announcements.localVersions();
    std::size_t remainingBytes = kMaximumDatagramBytes - encodedBaseSize(m_self.name, message);
    // A ping carries the record of its sender, and so does every message of an instance that is joining.
    if (m_joining || std::holds_alternative<Ping>(message.body)) {
        message.gossip.records.push_back(m_self);
        remainingBytes -= encodedSize(m_self);
    }
    // The record lets the target refute a suspicion, and lets the requester of a relayed ping learn about the target.
    const Member* member = m_table.find(subject);
    if (member && (relayed || member->record.health != Health::Alive) && encodedSize(member->record) <= remainingBytes) {
        message.gossip.records.push_back(m_table.recordOf(*member, now));
        remainingBytes -= encodedSize(member->record);
    }
    addAnnouncements(message, remainingBytes, now);
    addMemberRecords(message, remainingBytes, now);
    return message;
}

void MembershipReducer::addAnnouncements(Message& message, std::size_t& remainingBytes, TimePoint now)
{
    for (const VersionAnnouncement& announcement : m_announcements.versionAnnouncements()) {
        if (message.gossip.versionAnnouncements.size() >= kMaximumVersionAnnouncements || encodedSize(announcement) > remainingBytes)
            break;
        remainingBytes -= encodedSize(announcement);
        message.gossip.versionAnnouncements.push_back(announcement);
    }
    for (const ServerLeaving& leaving : m_announcements.servers(kMaximumLeavingServers, now)) {
        if (encodedSize(leaving) > remainingBytes)
            break;
        remainingBytes -= encodedSize(leaving);
        message.gossip.leaving.push_back(leaving);
    }
    for (EndAnnouncement& announcement : m_crashes.choose(kMaximumEnds, sendLimit(), now)) {
        if (encodedSize(announcement) > remainingBytes)
            break;
        remainingBytes -= encodedSize(announcement);
        message.gossip.ends.push_back(std::move(announcement));
    }
}

void MembershipReducer::addMemberRecords(Message& message, std::size_t& remainingBytes, TimePoint now)
{
    std::vector<InstanceName> sent;
    for (const InstanceName& name : m_queue.front(kMaximumRecords)) {
        const Member* member = m_table.find(name);
        const MemberRecord record = member ? m_table.recordOf(*member, now) : m_self;
        std::vector<MemberRecord>& records = message.gossip.records;
        if (records.size() >= kMaximumRecords || encodedSize(record) > remainingBytes)
            break;
        sent.push_back(name);
        if (std::any_of(records.begin(), records.end(), [&name](const MemberRecord& other) { return other.name == name; }))
            continue;
        remainingBytes -= encodedSize(record);
        records.push_back(record);
    }
    m_queue.markSent(sent, sendLimit());
}

void MembershipReducer::send(const std::string& address, MessageBody body, const InstanceName& subject, TimePoint now, bool relayed)
{
    sendMessage(address, composeMessage(std::move(body), subject, relayed, now));
}

void MembershipReducer::sendMessage(const std::string& address, Message message)
{
    m_effects.emplace_back(SendDatagram { address, std::move(message), m_self.incarnation });
}

std::vector<InstanceName> MembershipReducer::randomActive(std::size_t count, const InstanceName& except)
{
    const std::vector<InstanceName>& active = m_table.active();
    std::vector<InstanceName> chosen;
    // Three draws per requested member bound the cost. With few members some draws repeat a choice, so fewer may be returned.
    for (std::size_t n = 0; n < 3 * count && chosen.size() < count && !active.empty(); ++n) {
        const InstanceName& name = active[randomIndex(active.size())];
        if (name != except && std::find(chosen.begin(), chosen.end(), name) == chosen.end())
            chosen.push_back(name);
    }
    return chosen;
}

std::size_t MembershipReducer::randomIndex(std::size_t size)
{
    return boost::random::uniform_int_distribution<std::size_t> { 0, size - 1 }(m_random);
}

std::uint32_t MembershipReducer::sendLimit() const
{
    return kSendsPerMagnitude * static_cast<std::uint32_t>(std::ceil(std::log10(static_cast<double>(m_table.members().size() + 2))));
}

} // namespace curranttrail::membership
