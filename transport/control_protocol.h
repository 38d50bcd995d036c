#pragma once

#include "control/messages.h"
#include "core/class_target.h"
#include "core/ids.h"

#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <variant>

namespace curranttrail::transport {

// Types of the messages between control instances, and between entry and control instances.
// The numbers are part of the protocol and are never reused.
enum class MessageType : std::uint16_t {
    // One way: an encoded control::PeerMessage between replicas of one group.
    Replica = 1,
    // SubmitCommand -> control::CommandResult.
    SubmitCommand = 2,
    // FetchConfiguration -> ConfigurationAnswer. Answered by control and entry instances.
    FetchConfiguration = 3,
    // One way: ReportVersions to a control instance.
    ReportVersions = 4,
    // Opaque usage records -> opaque acknowledgement.
    ShipUsage = 5,
    // One way: an opaque message between usage ledgers.
    ExchangeHeads = 6,
    // control::JoinRequest of an instance that is not a member of the group or knows no leader -> control::JoinReply. Instances of earlier
    // builds send it one way and do not reply.
    JoinGroup = 7,
    // control::WatchRequest -> control::WatchReply.
    Watch = 8,
    // control::LeaveRequest -> control::LeaveReply. Instances that do not know the type do not reply.
    LeaveGroup = 9,
    // control::DocumentPartRequest -> control::DocumentPart. Instances that do not know the type do not reply.
    FetchDocument = 10,
    // policy::QuotaReport -> policy::QuotaReply, or nothing if the instance is not the leader. Instances that do not know the type do not
    // reply.
    ReportQuotas = 11,
};

struct ReplicaMessage {
    InstanceName from;
    std::string message;
};

// A command for a control group. Resending it is safe: changes carry a change id, claims and settlements carry a holder.
struct SubmitCommand {
    std::variant<control::SetClass, control::ClaimRequest, control::SettleClaimRequest> command;
};

// Configuration versions by owner.
using VersionTable = std::map<OwnerName, ConfigurationVersion>;

// Requests the configurations that are newer than the held versions. A missing owner counts as version 0.
struct FetchConfiguration {
    VersionTable held;
};

struct ConfigurationAnswer {
    // Only owners whose version is higher than the requester's.
    ClassTable classes;
    // Versions of all owners that the answering instance holds, including those not newer than the requester's.
    VersionTable versions;
    // Owner of the answering instance's control group. Empty for an entry instance.
    OwnerName controlOwner;
    // True if the answering instance leads its control group with a valid lease. Then nothing newer is in force for
    // controlOwner.
    bool leaderWithLease = false;
    // True for an entry instance that is ready and serves queries.
    bool servingEntry = false;
    DataCentreName dataCentre;
    // For a control instance: the last known leader of its group.
    std::optional<InstanceName> leader;
};

// The versions that an entry instance has in force.
struct ReportVersions {
    InstanceName instance;
    DataCentreName dataCentre;
    OwnerName owner;
    VersionTable inForce;
};

std::string encode(const ReplicaMessage& message);
std::string encode(const SubmitCommand& message);
std::string encode(const control::CommandResult& message);
std::string encode(const FetchConfiguration& message);
std::string encode(const ConfigurationAnswer& message);
std::string encode(const ReportVersions& message);

// Decodes a message body. Returns nothing if it is malformed, truncated or followed by extra bytes.
template <typename Message>
std::optional<Message> decode(std::string_view body) = delete;

template <>
std::optional<ReplicaMessage> decode(std::string_view body);
template <>
std::optional<SubmitCommand> decode(std::string_view body);
template <>
std::optional<control::CommandResult> decode(std::string_view body);
template <>
std::optional<FetchConfiguration> decode(std::string_view body);
template <>
std::optional<ConfigurationAnswer> decode(std::string_view body);
template <>
std::optional<ReportVersions> decode(std::string_view body);

} // namespace curranttrail::transport
