#pragma once

#include "core/ids.h"
#include "main/settings.h"
#include "transport/http_message.h"

#include <string>
#include <vector>

namespace curranttrail {

// Where a process finds the control group and how it authenticates its frames.
struct GroupConnection {
    // Addresses under which operators reach control instances; the group's own port is the same on all of them.
    std::vector<transport::Endpoint> seeds;
    std::uint16_t groupPort = 0;
    // At least 32 characters, the same on all instances.
    std::string linkKey;
};

// Reads the seeds, the port and the key of a group.
GroupConnection readGroupConnection(const SettingsTable& table);

// The name under which the group knows the instance that operators reach at the seed.
InstanceName memberName(const GroupConnection& groupConnection, const transport::Endpoint& seed);

} // namespace curranttrail
