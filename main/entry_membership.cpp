#include "main/entry_membership.h"

#include "core/random.h"
#include "membership/events.h"

#include <utility>

namespace curranttrail {

namespace {

    // Connection shares also change at the end of a grace period, which causes no event.
    constexpr Micros kHoldersCheckInterval { 1'000'000 };

} // namespace

EntryMembership::EntryMembership(const EntrySettings& settings, std::uint64_t incarnation, const std::string& clusterKey, std::uint16_t port,
    transport::IoThreads& threads, transport::EventSink& sink, ReducerThread& reducers, Callbacks callbacks)
    : m_dataCentre(settings.dataCentre)
    , m_sink(sink)
    , m_reducers(reducers)
    , m_callbacks(std::move(callbacks))
    , m_codec(settings.name, clusterKey)
    , m_reducer(optionsOf(settings, incarnation, port))
    , m_link(threads, { settings.frames.address, port }, membership::kMaximumDatagramBytes,
          [this](const transport::Endpoint& from, std::string_view datagram) { receive(from, datagram); })
{
    m_reducers.addWakeup([this] { return m_reducer.nextWakeup(); }, [this](TimePoint now) { handle(membership::Tick {}, now); });
    m_reducers.addWakeup([this] { return m_lastHoldersCheck + kHoldersCheckInterval; }, [this](TimePoint now) { checkHolders(now); });
}

membership::MembershipOptions EntryMembership::optionsOf(const EntrySettings& settings, std::uint64_t incarnation, std::uint16_t port)
{
    membership::MembershipOptions options;
    options.name = settings.name;
    options.owner = settings.owner;
    options.dataCentre = settings.dataCentre;
    options.address = transport::Endpoint { settings.frames.address, port }.text();
    for (const transport::Endpoint& seed : settings.seeds)
        options.seeds.push_back(seed.text());
    options.seed = generateSeed();
    options.incarnation = incarnation;
    return options;
}

void EntryMembership::setVersions(const transport::VersionTable& versions, TimePoint now)
{
    membership::LocalVersionsChanged changed;
    for (const auto& [owner, version] : versions)
        changed.versions.push_back({ owner, version.value });
    handle(changed, now);
}

void EntryMembership::announceLeaving(const std::string& server, TimePoint now)
{
    handle(membership::AnnounceServerLeaving { server }, now);
}

void EntryMembership::announceCrashes(std::vector<policy::CrashRecord> records, TimePoint now)
{
    handle(membership::CrashRecordsChanged { std::move(records) }, now);
}

void EntryMembership::leave(TimePoint now)
{
    handle(membership::LeaveRequested {}, now);
}

std::vector<std::pair<InstanceName, transport::Endpoint>> EntryMembership::dataCentrePeers() const
{
    std::vector<std::pair<InstanceName, transport::Endpoint>> result;
    for (const membership::MemberView& member : m_reducer.members()) {
        const std::optional<transport::Endpoint> address = transport::parseEndpoint(member.record.address);
        const bool isDataCentrePeer = member.record.kind == membership::InstanceKind::Entry && member.record.dataCentre == m_dataCentre
            && member.record.name != m_reducer.self().name && member.state == membership::MemberState::Alive;
        if (isDataCentrePeer && address)
            result.emplace_back(member.record.name, *address);
    }
    return result;
}

void EntryMembership::receive(const transport::Endpoint& from, std::string_view datagram)
{
    m_reducers.post([this, from = from.text(), bytes = std::string { datagram }](TimePoint now) {
        membership::DecodeResult result = m_codec.decode(bytes);
        if (const membership::DropReason* reason = std::get_if<membership::DropReason>(&result)) {
            m_sink.log(membership::events::kDatagramDropped, { { "from", from }, { "reason", std::string { nameOf(membership::kDropReasonNames, *reason) } } });
            return;
        }
        membership::DecodedDatagram& decoded = std::get<membership::DecodedDatagram>(result);
        handle(membership::DatagramReceived { std::move(decoded.sender), decoded.senderIncarnation, std::move(decoded.message), from }, now);
    });
}

void EntryMembership::handle(const membership::Event& event, TimePoint now)
{
    for (const membership::Effect& effect : m_reducer.handle(event, now))
        execute(effect, now);
}

void EntryMembership::execute(const membership::Effect& effect, TimePoint now)
{
    if (const auto* send = std::get_if<membership::SendDatagram>(&effect)) {
        const std::optional<transport::Endpoint> to = transport::parseEndpoint(send->address);
        const std::string datagram = m_codec.encode(send->message, send->senderIncarnation);
        if (to && !datagram.empty())
            m_link.send(*to, datagram);
    } else if (const auto* higher = std::get_if<membership::HigherVersionSeen>(&effect)) {
        if (const std::optional<transport::Endpoint> address = transport::parseEndpoint(higher->address))
            m_callbacks.higherVersion(higher->holder, *address);
    } else if (const auto* leaving = std::get_if<membership::ServerLeavingSeen>(&effect)) {
        m_callbacks.serverLeaving(leaving->server);
    } else if (const auto* crashes = std::get_if<membership::CrashRecordsSeen>(&effect)) {
        m_callbacks.crashRecords(crashes->records, now);
    } else if (std::holds_alternative<membership::MemberChanged>(effect)) {
        checkHolders(now);
    } else {
        m_sink.log(std::get<LogEvent>(effect));
    }
}

void EntryMembership::checkHolders(TimePoint now)
{
    m_lastHoldersCheck = now;
    std::vector<InstanceName> holders = m_reducer.connectionHolders(now);
    if (holders == m_holders)
        return;
    m_holders = holders;
    m_callbacks.holdersChanged(std::move(holders), now);
}

} // namespace curranttrail
