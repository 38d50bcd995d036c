#pragma once

#include "core/enum_names.h"
#include "core/ids.h"
#include "core/request_fingerprint.h"
#include "core/units.h"
#include "policy/account_quota.h"
#include "routing/server_record.h"

#include <array>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// Messages by which entry instances watch a control group for the configuration document, the server list and the list of entry
// instances, and by which control instances ask to join or to leave the group.
namespace curranttrail::control {

// Sent by a control instance that is not a member of the group, or knows no leader.
struct JoinRequest {
    InstanceName name;
};

// Whom the sender of a JoinRequest may ask next, since only the leader admits it. Empty from an instance that holds no log of the group.
struct JoinReply {
    std::optional<InstanceName> leader;
    std::vector<InstanceName> members;
};

// Sent by a member of the group that is about to stop. Only the leader replies, once the outcome is known.
struct LeaveRequest {
    InstanceName name;
};

enum class LeaveOutcome : std::uint8_t {
    // The group does not count the sender any more.
    Left = 1,
    // Without the sender the group would be too small, so it stays a member while it restarts.
    Needed = 2,
};

inline constexpr std::array<EnumName<LeaveOutcome>, 2> kLeaveOutcomeNames { {
    { LeaveOutcome::Left, "left" },
    { LeaveOutcome::Needed, "needed" },
} };

struct LeaveReply {
    LeaveOutcome outcome = LeaveOutcome::Needed;
};

// Version of a list. Each leader numbers its lists from the start in a new epoch, so revisions compare only within one epoch.
struct ListVersion {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    bool operator==(const ListVersion&) const = default;
};

// A policy::CrashRecord in a message: the servers that ended while a request ran on them. Ages count from the sending of the message.
struct CrashReport {
    struct End {
        std::string server;
        CollectionName collection;
        InstanceName reporter;
        Micros age { 0 };
        bool answeredSince = false;
        bool collectionAnsweredSince = false;
    };

    RequestFingerprint request;
    std::vector<End> ends;
    Micros arrivalAge { 0 };
};

// An entry instance, with the address at which it relays connections to servers for others; empty if it does not.
struct EntryInstance {
    InstanceName name;
    DataCentreName dataCentre;
    std::string relay;

    bool operator==(const EntryInstance&) const = default;
};

// Set in the document version of a watch request whose sender fetches the document in parts. The other bits hold the version that it has
// heard of. To a leader that does not know the bit, the sender holds a newer document than any, so that the leader sends none.
inline constexpr std::uint64_t kFetchesDocumentBit = 1ull << 63;

// Set in the revision of the entry list in a watch request whose sender decodes what follows the members of a reply, but fetches no document
// in parts: kFetchesDocumentBit says both. An earlier build takes it for the version of another list and sends its own.
inline constexpr std::uint64_t kReadsExtensionBit = 1ull << 63;

// Set beside it if the sender knows WatchReply::limitedAccounts.
inline constexpr std::uint64_t kKnowsQuotasBit = 1ull << 62;
inline constexpr std::uint64_t kDocumentVersionMask = kKnowsQuotasBit - 1;

// Sent by an entry instance, with the versions that it holds.
struct WatchRequest {
    EntryInstance instance;
    // See kFetchesDocumentBit.
    std::uint64_t documentVersion = 0;
    ListVersion serverListVersion;
    // See kReadsExtensionBit.
    ListVersion entryListVersion;
    ListVersion crashVersion;
    // What the leader may not know yet.
    std::vector<CrashReport> crashes;
};

// Returns whether the sender decodes what follows the members of a reply.
bool readsExtension(const WatchRequest& request);

struct WatchReply {
    // True if the sender is the leader and holds a valid lease, so that no newer document is in force.
    bool leads = false;
    std::optional<InstanceName> leader;
    // Empty from an instance that holds no log of the group. Earlier builds name their seeds then.
    std::vector<InstanceName> members;
    // Entry instances that watch this leader. Present only if their list differs from the requester's version.
    ListVersion entryListVersion;
    std::optional<std::vector<EntryInstance>> entryInstances;
    std::uint64_t documentVersion = 0;
    // Present only if the version is higher than the requester's, and the requester does not fetch the document in parts.
    std::optional<std::string> document;
    ListVersion serverListVersion;
    // Present if the server list differs from the requester's version: the changes, or the whole list if that version is too
    // old or comes from another leader.
    std::optional<routing::ServerListDelta> serverChanges;
    std::optional<routing::ServerList> servers;
    // Time since the server list was fetched.
    Micros serverListAge { 0 };
    // Instance ids of the servers that leave according to a list which the sender fetched because it knows no leader. The list may be
    // older than one that a leader published, so it says nothing of the other servers. Encoded after the other members, and only sent to
    // requesters for which readsExtension() holds: earlier builds refuse a reply with more than they know.
    std::vector<std::string> leavingServers;
    // All data centres that are evacuated. Said by leaders only and encoded in the place of the leaving servers, which leaders do not name:
    // earlier builds decode such a reply and use no leaving servers of a leader.
    std::vector<DataCentreName> evacuatedDataCentres;
    // Client accounts that are at their limits. Present only if the document has quotas and the requester set kKnowsQuotasBit.
    std::optional<std::vector<policy::AccountId>> limitedAccounts;
    // Reports that changed since the requester's version. The version is that of the last one included.
    ListVersion crashVersion;
    std::vector<CrashReport> crashes;
};

// Asks for a part of a committed document. Any control instance that holds the document replies.
struct DocumentPartRequest {
    std::uint64_t version = 0;
    // Number of bytes that the sender holds of this version.
    std::uint64_t offset = 0;
};

using DocumentDigest = std::array<std::uint8_t, 32>;

struct DocumentPart {
    // The requested version, or that of the sender's newest document if it no longer holds the requested one. 0 if it holds none.
    std::uint64_t version = 0;
    std::uint64_t documentBytes = 0;
    // SHA-256 of the whole document.
    DocumentDigest digest {};
    std::uint64_t offset = 0;
    std::string content;
};

std::string encodeJoin(const JoinRequest& message);
std::optional<JoinRequest> decodeJoin(std::string_view bytes);
std::string encodeJoinReply(const JoinReply& message);
std::optional<JoinReply> decodeJoinReply(std::string_view bytes);
std::string encodeLeave(const LeaveRequest& message);
std::optional<LeaveRequest> decodeLeave(std::string_view bytes);
std::string encodeLeaveReply(const LeaveReply& message);
std::optional<LeaveReply> decodeLeaveReply(std::string_view bytes);
std::string encodeWatch(const WatchRequest& message);
std::optional<WatchRequest> decodeWatch(std::string_view bytes);
std::string encodeWatchReply(const WatchReply& message);
std::optional<WatchReply> decodeWatchReply(std::string_view bytes);
std::string encodeDocumentPartRequest(const DocumentPartRequest& message);
std::optional<DocumentPartRequest> decodeDocumentPartRequest(std::string_view bytes);
std::string encodeDocumentPart(const DocumentPart& message);
std::optional<DocumentPart> decodeDocumentPart(std::string_view bytes);

} // namespace curranttrail::control
