#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "routing/server_record.h"

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

// What entry instances get from a control group: the configuration document, the list of servers and the other instances.
namespace curranttrail::control {

// Sent by a control instance that no leader counts as a member.
struct JoinRequest {
    InstanceName name;
};

// Lists are numbered anew by each leader, so a number holds within its epoch only.
struct ListVersion {
    std::uint64_t epoch = 0;
    std::uint64_t revision = 0;

    bool operator==(const ListVersion&) const = default;
};

struct WatchRequest {
    InstanceName instance;
    std::uint64_t documentVersion = 0;
    ListVersion list;
    ListVersion entryList;
};

struct WatchReply {
    // True if the sender leads with a valid lease, so nothing newer than its document is in force.
    bool leads = false;
    std::optional<InstanceName> leader;
    std::vector<InstanceName> members;
    // The entry instances that watch this leader, only if they differ from what the asker knows.
    ListVersion entryList;
    std::optional<std::vector<InstanceName>> entryInstances;
    std::uint64_t documentVersion = 0;
    // Only if the version is higher than the asker's.
    std::optional<std::string> document;
    ListVersion list;
    // If the list differs from the asker's: what changed, or the whole list if the asker's is too old or from another leader.
    std::optional<routing::ServerListDelta> serverChanges;
    std::optional<routing::ServerList> servers;
    // The time since the list was fetched.
    Micros listAge { 0 };
};

std::string encodeJoin(const JoinRequest& message);
std::optional<JoinRequest> decodeJoin(std::string_view bytes);
std::string encodeWatch(const WatchRequest& message);
std::optional<WatchRequest> decodeWatch(std::string_view bytes);
std::string encodeWatchReply(const WatchReply& message);
std::optional<WatchReply> decodeWatchReply(std::string_view bytes);

} // namespace curranttrail::control
