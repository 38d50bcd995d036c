#include "control/feed.h"

#include "control/value_encoding.h"

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

namespace curranttrail::control {

namespace {
    constexpr std::size_t kMaximumRequestBytes = 4'096;
    // Enough for a configuration document and a list of about ten thousand servers.
    constexpr std::size_t kMaximumReplyBytes = 8u << 20;
}

template <typename Archive>
void serialize(Archive& archive, JoinRequest& message)
{
    archive(message.name);
}

template <typename Archive>
void serialize(Archive& archive, ListVersion& version)
{
    archive(version.epoch, version.revision);
}

template <typename Archive>
void serialize(Archive& archive, WatchRequest& message)
{
    archive(message.instance, message.documentVersion, message.serverListVersion, message.entryListVersion);
}

template <typename Archive>
void serialize(Archive& archive, WatchReply& message)
{
    archive(message.leads, message.leader, message.members, message.entryListVersion, message.entryInstances, message.documentVersion, message.document, message.serverListVersion, message.serverChanges, message.servers, message.serverListAge);
}

std::string encodeJoin(const JoinRequest& message) { return detail::encodeValue(message); }
std::optional<JoinRequest> decodeJoin(std::string_view bytes) { return detail::decodeValue<JoinRequest>(bytes, kMaximumRequestBytes); }
std::string encodeWatch(const WatchRequest& message) { return detail::encodeValue(message); }
std::optional<WatchRequest> decodeWatch(std::string_view bytes) { return detail::decodeValue<WatchRequest>(bytes, kMaximumRequestBytes); }
std::string encodeWatchReply(const WatchReply& message) { return detail::encodeValue(message); }
std::optional<WatchReply> decodeWatchReply(std::string_view bytes) { return detail::decodeValue<WatchReply>(bytes, kMaximumReplyBytes); }

} // namespace curranttrail::control
