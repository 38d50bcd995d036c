#include "membership/codec.h"

#include "core/bounded_archive.h"

#include <openssl/core_names.h>
#include <openssl/crypto.h>
#include <openssl/evp.h>

#include <algorithm>
#include <memory>
#include <stdexcept>

namespace curranttrail::membership {

namespace {

    constexpr std::size_t kAuthenticationCodeBytes = 32;
    // The protocol version follows the endianness byte that cereal writes.
    constexpr std::size_t kVersionOffset = 1;
    constexpr std::size_t kLengthBytes = 2;

    struct Envelope {
        std::uint8_t version = kProtocolVersion;
        InstanceName sender;
        std::uint64_t incarnation = 0;
        std::uint64_t sequence = 0;
        Message message;
    };

} // namespace

template <typename Archive>
void serialize(Archive& archive, MemberRecord& record)
{
    archive(bounded<kMaximumNameBytes>(record.name), bounded<kMaximumOwnerBytes>(record.owner), bounded<kMaximumOwnerBytes>(record.dataCentre));
    archiveEnum(archive, record.kind, InstanceKind::Control);
    archive(bounded<kMaximumAddressBytes>(record.address), record.incarnation, record.revision);
    archiveEnum(archive, record.health, Health::Dead);
    archiveBool(archive, record.leaving);
    archive(bounded<kMaximumNameBytes>(record.accuser), record.deadSeconds);
}

template <typename Archive>
void serialize(Archive& archive, OwnerVersion& version)
{
    archive(bounded<kMaximumOwnerBytes>(version.owner), version.version);
}

template <typename Archive>
void serialize(Archive& archive, VersionAnnouncement& announcement)
{
    archive(bounded<kMaximumOwnerBytes>(announcement.owner), announcement.version, bounded<kMaximumNameBytes>(announcement.holder), bounded<kMaximumAddressBytes>(announcement.address));
}

template <typename Archive>
void serialize(Archive& archive, ServerLeaving& leaving)
{
    archive(bounded<kMaximumNameBytes>(leaving.server), leaving.ageMillis);
}

template <typename Archive>
void serialize(Archive& archive, EndAnnouncement& announcement)
{
    for (std::uint8_t& byte : announcement.request.bytes)
        archive(byte);
    archive(bounded<kMaximumNameBytes>(announcement.server), bounded<kMaximumNameBytes>(announcement.collection), bounded<kMaximumNameBytes>(announcement.reporter), announcement.ageMillis, announcement.arrivalAgeMillis);
    archiveBool(archive, announcement.answeredSince);
    archiveBool(archive, announcement.collectionAnsweredSince);
}

template <typename Archive>
void serialize(Archive& archive, Gossip& gossip)
{
    archive(bounded<kMaximumVersions>(gossip.versions), bounded<kMaximumRecords>(gossip.records),
        bounded<kMaximumVersionAnnouncements>(gossip.versionAnnouncements), bounded<kMaximumLeavingServers>(gossip.leaving),
        bounded<kMaximumEnds>(gossip.ends));
}

template <typename Archive>
void serialize(Archive& archive, Ping& ping)
{
    archive(ping.probe, bounded<kMaximumNameBytes>(ping.target));
}

template <typename Archive>
void serialize(Archive& archive, Ack& ack)
{
    archive(ack.probe);
}

template <typename Archive>
void serialize(Archive& archive, Nack& nack)
{
    archive(nack.probe);
}

template <typename Archive>
void serialize(Archive& archive, PingRequest& request)
{
    archive(request.probe, bounded<kMaximumNameBytes>(request.target), bounded<kMaximumAddressBytes>(request.address));
}

template <typename Archive>
void serialize(Archive& archive, SyncRequest& request)
{
    archive(bounded<kMaximumNameBytes>(request.after), bounded<kMaximumNameBytes>(request.upTo));
    archiveBool(archive, request.pull);
}

template <typename Archive>
void serialize(Archive& archive, SyncReply& reply)
{
    archive(bounded<kMaximumNameBytes>(reply.upTo));
    archiveBool(archive, reply.pull);
    archiveBool(archive, reply.more);
}

namespace {

    template <typename Archive, typename Body>
    void loadBody(Archive& archive, Message& message)
    {
        Body body {};
        if constexpr (!std::is_empty_v<Body>)
            archive(body);
        message.body = std::move(body);
    }

} // namespace

template <typename Archive>
void save(Archive& archive, const Message& message)
{
    archive(static_cast<std::uint8_t>(message.body.index()));
    std::visit(
        [&archive](const auto& body) {
            if constexpr (!std::is_empty_v<std::remove_cvref_t<decltype(body)>>)
                archive(body);
        },
        message.body);
    archive(message.gossip);
}

template <typename Archive>
void load(Archive& archive, Message& message)
{
    using BodyLoader = void (*)(Archive&, Message&);
    static constexpr std::array<BodyLoader, std::variant_size_v<MessageBody>> kBodyLoaders {
        &loadBody<Archive, Ping>,
        &loadBody<Archive, Ack>,
        &loadBody<Archive, Nack>,
        &loadBody<Archive, PingRequest>,
        &loadBody<Archive, GossipMessage>,
        &loadBody<Archive, SyncRequest>,
        &loadBody<Archive, SyncReply>,
    };
    std::uint8_t kind = 0;
    archive(kind);
    if (kind >= kBodyLoaders.size())
        throw BoundsError("unknown message kind");
    kBodyLoaders.at(kind)(archive, message);
    archive(message.gossip);
}

namespace {

    template <typename Archive>
    void serialize(Archive& archive, Envelope& envelope)
    {
        archive(envelope.version, bounded<kMaximumNameBytes>(envelope.sender), envelope.incarnation, envelope.sequence, envelope.message);
    }

    // Checks for required fields, which the bounds of the encoding do not cover.
    bool isValid(const Envelope& envelope)
    {
        if (envelope.sender.empty())
            return false;
        for (const MemberRecord& record : envelope.message.gossip.records) {
            if (record.name.empty() || record.address.empty())
                return false;
        }
        for (const VersionAnnouncement& announcement : envelope.message.gossip.versionAnnouncements) {
            if (announcement.owner.empty() || announcement.address.empty())
                return false;
        }
        return std::none_of(envelope.message.gossip.ends.begin(), envelope.message.gossip.ends.end(),
            [](const EndAnnouncement& announcement) { return announcement.server.empty() || announcement.collection.empty(); });
    }

} // namespace

std::size_t encodedSize(const MemberRecord& record)
{
    const std::size_t texts = record.name.size() + record.owner.size() + record.dataCentre.size() + record.address.size() + record.accuser.size();
    return texts + 5 * kLengthBytes + sizeof(record.incarnation) + sizeof(record.revision) + sizeof(record.deadSeconds) + 3;
}

std::size_t encodedSize(const VersionAnnouncement& announcement)
{
    return announcement.owner.size() + announcement.holder.size() + announcement.address.size() + 3 * kLengthBytes + sizeof(announcement.version);
}

std::size_t encodedSize(const ServerLeaving& leaving)
{
    return leaving.server.size() + kLengthBytes + sizeof(leaving.ageMillis);
}

std::size_t encodedSize(const EndAnnouncement& announcement)
{
    const std::size_t texts = announcement.server.size() + announcement.collection.size() + announcement.reporter.size();
    return announcement.request.bytes.size() + texts + 3 * kLengthBytes + sizeof(announcement.ageMillis) + sizeof(announcement.arrivalAgeMillis) + 2;
}

std::size_t encodedBaseSize(const InstanceName& sender, const Message& message)
{
    std::size_t size = kAuthenticationCodeBytes + 2 + kLengthBytes + sender.size() + 2 * sizeof(std::uint64_t) + 1 + 5 * kLengthBytes;
    for (const OwnerVersion& version : message.gossip.versions)
        size += version.owner.size() + kLengthBytes + sizeof(version.version);
    if (const Ping* ping = std::get_if<Ping>(&message.body))
        return size + sizeof(ping->probe) + kLengthBytes + ping->target.size();
    if (const PingRequest* request = std::get_if<PingRequest>(&message.body))
        return size + sizeof(request->probe) + 2 * kLengthBytes + request->target.size() + request->address.size();
    if (const SyncRequest* request = std::get_if<SyncRequest>(&message.body))
        return size + 1 + 2 * kLengthBytes + request->after.size() + request->upTo.size();
    if (const SyncReply* reply = std::get_if<SyncReply>(&message.body))
        return size + 2 + kLengthBytes + reply->upTo.size();
    return size + (std::holds_alternative<GossipMessage>(message.body) ? 0 : sizeof(std::uint64_t));
}

std::string authenticationCode(const std::string& key, std::string_view bytes)
{
    static const std::unique_ptr<EVP_MAC, decltype(&EVP_MAC_free)> mac(EVP_MAC_fetch(nullptr, "HMAC", nullptr), &EVP_MAC_free);
    const std::unique_ptr<EVP_MAC_CTX, decltype(&EVP_MAC_CTX_free)> context(EVP_MAC_CTX_new(mac.get()), &EVP_MAC_CTX_free);
    char digest[] = "SHA256";
    const std::array<OSSL_PARAM, 2> parameters { OSSL_PARAM_construct_utf8_string(OSSL_MAC_PARAM_DIGEST, digest, 0), OSSL_PARAM_construct_end() };
    std::string code(kAuthenticationCodeBytes, '\0');
    std::size_t written = 0;
    const bool ok = context
        && EVP_MAC_init(context.get(), reinterpret_cast<const unsigned char*>(key.data()), key.size(), parameters.data()) == 1
        && EVP_MAC_update(context.get(), reinterpret_cast<const unsigned char*>(bytes.data()), bytes.size()) == 1
        && EVP_MAC_final(context.get(), reinterpret_cast<unsigned char*>(code.data()), &written, code.size()) == 1;
    if (!ok || written != kAuthenticationCodeBytes)
        throw std::runtime_error("HMAC-SHA256 is not available");
    return code;
}

Codec::Codec(InstanceName self, std::string clusterKey)
    : m_self(std::move(self))
    , m_key(std::move(clusterKey))
{
}

std::string Codec::encode(const Message& message, std::uint64_t incarnation)
{
    try {
        std::string bytes = encodePortable(Envelope { kProtocolVersion, m_self, incarnation, ++m_sequence, message });
        bytes += authenticationCode(m_key, bytes);
        return bytes.size() <= kMaximumDatagramBytes ? bytes : std::string {};
    } catch (const BoundsError&) {
        return {};
    }
}

DecodeResult Codec::decode(std::string_view datagram)
{
    if (datagram.size() <= kAuthenticationCodeBytes + kVersionOffset)
        return drop(DropReason::TooShort);
    if (datagram.size() > kMaximumDatagramBytes)
        return drop(DropReason::TooLong);
    if (static_cast<std::uint8_t>(datagram[kVersionOffset]) != kProtocolVersion)
        return drop(DropReason::WrongVersion);
    const std::string_view content = datagram.substr(0, datagram.size() - kAuthenticationCodeBytes);
    const std::string expected = authenticationCode(m_key, content);
    if (CRYPTO_memcmp(expected.data(), datagram.data() + content.size(), kAuthenticationCodeBytes) != 0)
        return drop(DropReason::NotAuthentic);
    Envelope envelope;
    if (!decodePortable(content, envelope) || !isValid(envelope))
        return drop(DropReason::Malformed);
    if (envelope.sender == m_self)
        return drop(DropReason::OwnName);
    if (!m_window.accept(envelope.sender, envelope.incarnation, envelope.sequence))
        return drop(DropReason::Replayed);
    return DecodedDatagram { std::move(envelope.sender), envelope.incarnation, std::move(envelope.message) };
}

DecodeResult Codec::drop(DropReason reason)
{
    ++m_dropped.at(static_cast<std::size_t>(reason));
    return reason;
}

} // namespace curranttrail::membership
