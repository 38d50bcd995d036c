#include "control/feed.h"

#include "control/value_encoding.h"

#include <cereal/types/array.hpp>
#include <cereal/types/chrono.hpp>
#include <cereal/types/optional.hpp>
#include <cereal/types/string.hpp>
#include <cereal/types/vector.hpp>

namespace curranttrail::routing {

template <typename Archive>
void serialize(Archive& archive, ServerRecord& record)
{
    archive(record.instance, record.collection, record.address, record.dataCentre, record.slots, record.leaving, record.coldStartRemaining);
}

template <typename Archive>
void serialize(Archive& archive, ServerListDelta& changes)
{
    archive(changes.listed, changes.removed);
}

} // namespace curranttrail::routing

namespace curranttrail {

template <typename Archive>
void serialize(Archive& archive, RequestFingerprint& fingerprint)
{
    archive(fingerprint.bytes);
}

} // namespace curranttrail

namespace curranttrail::control {

namespace {
    // Enough for as many crash reports as one request may hold.
    constexpr std::size_t kMaximumRequestBytes = 512u << 10;
    // Enough for a configuration document and a list of about ten thousand servers.
    constexpr std::size_t kMaximumReplyBytes = 8u << 20;
}

template <typename Archive>
void serialize(Archive& archive, JoinRequest& message)
{
    archive(message.name);
}

template <typename Archive>
void serialize(Archive& archive, JoinReply& message)
{
    archive(message.leader, message.members);
}

template <typename Archive>
void serialize(Archive& archive, LeaveRequest& message)
{
    archive(message.name);
}

template <typename Archive>
void serialize(Archive& archive, LeaveReply& message)
{
    std::uint8_t outcome = static_cast<std::uint8_t>(message.outcome);
    archive(outcome);
    message.outcome = static_cast<LeaveOutcome>(outcome);
}

template <typename Archive>
void serialize(Archive& archive, ListVersion& version)
{
    archive(version.epoch, version.revision);
}

template <typename Archive>
void serialize(Archive& archive, EntryInstance& instance)
{
    archive(instance.name, instance.dataCentre, instance.relay);
}

template <typename Archive>
void serialize(Archive& archive, CrashReport::End& end)
{
    archive(end.server, end.collection, end.reporter, end.age, end.answeredSince, end.collectionAnsweredSince);
}

template <typename Archive>
void serialize(Archive& archive, CrashReport& report)
{
    archive(report.request, report.ends, report.arrivalAge);
}

template <typename Archive>
void serialize(Archive& archive, WatchRequest& message)
{
    archive(message.instance, message.documentVersion, message.serverListVersion, message.entryListVersion, message.crashVersion, message.crashes);
}

template <typename Archive>
void serialize(Archive& archive, WatchReply& message)
{
    archive(message.leads, message.leader, message.members, message.entryListVersion, message.entryInstances, message.documentVersion, message.document, message.serverListVersion, message.serverChanges, message.servers, message.serverListAge, message.crashVersion, message.crashes);
}

template <typename Archive>
void serialize(Archive& archive, DocumentPartRequest& message)
{
    archive(message.version, message.offset);
}

template <typename Archive>
void serialize(Archive& archive, DocumentPart& message)
{
    archive(message.version, message.documentBytes, message.digest, message.offset, message.content);
}

std::string encodeJoin(const JoinRequest& message) { return detail::encodeValue(message); }
std::optional<JoinRequest> decodeJoin(std::string_view bytes) { return detail::decodeValue<JoinRequest>(bytes, kMaximumRequestBytes); }
std::string encodeJoinReply(const JoinReply& message) { return detail::encodeValue(message); }
std::optional<JoinReply> decodeJoinReply(std::string_view bytes) { return detail::decodeValue<JoinReply>(bytes, kMaximumReplyBytes); }
std::string encodeLeave(const LeaveRequest& message) { return detail::encodeValue(message); }
std::optional<LeaveRequest> decodeLeave(std::string_view bytes) { return detail::decodeValue<LeaveRequest>(bytes, kMaximumRequestBytes); }
std::string encodeLeaveReply(const LeaveReply& message) { return detail::encodeValue(message); }

std::optional<LeaveReply> decodeLeaveReply(std::string_view bytes)
{
    std::optional<LeaveReply> reply = detail::decodeValue<LeaveReply>(bytes, kMaximumReplyBytes);
    return reply && reply->outcome != LeaveOutcome::Left && reply->outcome != LeaveOutcome::Needed ? std::nullopt : reply;
}

std::string encodeWatch(const WatchRequest& message) { return detail::encodeValue(message); }
std::optional<WatchRequest> decodeWatch(std::string_view bytes) { return detail::decodeValue<WatchRequest>(bytes, kMaximumRequestBytes); }

bool readsExtension(const WatchRequest& request)
{
    return (request.documentVersion & kFetchesDocumentBit) != 0 || (request.entryListVersion.revision & kReadsExtensionBit) != 0;
}

std::string encodeWatchReply(const WatchReply& message)
{
    std::string bytes = detail::encodeValue(message);
    const std::vector<std::string>& names = message.leads ? message.evacuatedDataCentres : message.leavingServers;
    if (!names.empty() || message.limitedAccounts)
        bytes += detail::encodeValue(names);
    if (!message.limitedAccounts)
        return bytes;
    std::vector<std::uint64_t> accounts;
    for (const policy::AccountId account : *message.limitedAccounts)
        accounts.push_back(account.value);
    return bytes + detail::encodeValue(accounts);
}

std::optional<WatchReply> decodeWatchReply(std::string_view bytes)
{
    std::string_view extension;
    std::optional<WatchReply> reply = detail::decodeValue<WatchReply>(bytes, kMaximumReplyBytes, &extension);
    if (!reply || extension.empty())
        return reply;
    std::optional<std::vector<std::string>> names = detail::decodeValue<std::vector<std::string>>(extension, kMaximumReplyBytes, &extension);
    if (!names)
        return std::nullopt;
    (reply->leads ? reply->evacuatedDataCentres : reply->leavingServers) = std::move(*names);
    if (extension.empty())
        return reply;
    const std::optional<std::vector<std::uint64_t>> accounts = detail::decodeValue<std::vector<std::uint64_t>>(extension, kMaximumReplyBytes);
    if (!accounts)
        return std::nullopt;
    reply->limitedAccounts.emplace();
    for (const std::uint64_t value : *accounts)
        reply->limitedAccounts->push_back({ value });
    return reply;
}

std::string encodeDocumentPartRequest(const DocumentPartRequest& message) { return detail::encodeValue(message); }
std::optional<DocumentPartRequest> decodeDocumentPartRequest(std::string_view bytes) { return detail::decodeValue<DocumentPartRequest>(bytes, kMaximumRequestBytes); }
std::string encodeDocumentPart(const DocumentPart& message) { return detail::encodeValue(message); }
std::optional<DocumentPart> decodeDocumentPart(std::string_view bytes) { return detail::decodeValue<DocumentPart>(bytes, kMaximumReplyBytes); }

} // namespace curranttrail::control
