#pragma once

#include "core/ids.h"
#include "main/settings.h"
#include "transport/http_message.h"

#include <string>
#include <vector>

namespace curranttrail {

// How a process discovers the control group and authenticates its frames.
struct GroupConnection {
    // Addresses of the operators' API of control instances. The group's own port is the same on all of them.
    std::vector<transport::Endpoint> seeds;
    std::uint16_t groupPort = 0;
    // Key of at least 32 characters that all instances share.
    std::string linkKey;
};

// Reads the seeds, the port and the key of a group.
GroupConnection readGroupConnection(const SettingsTable& table);

// Returns the group's name for the instance whose operators' API is at the seed.
InstanceName memberName(const GroupConnection& groupConnection, const transport::Endpoint& seed);

} // namespace curranttrail
