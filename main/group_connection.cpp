#include "main/group_connection.h"

namespace curranttrail {

namespace {
    constexpr std::size_t kMinimumKeyCharacters = 32;
}

GroupConnection readGroupConnection(const SettingsTable& table)
{
    GroupConnection groupConnection;
    groupConnection.seeds = table.endpoints("seeds");
    groupConnection.groupPort = static_cast<std::uint16_t>(table.integer("group_port", 1, 65'535));
    groupConnection.linkKey = table.text("link_key");
    if (!groupConnection.linkKey.empty() && groupConnection.linkKey.size() < kMinimumKeyCharacters)
        table.reject("link_key", "expected at least 32 characters");
    return groupConnection;
}

InstanceName memberName(const GroupConnection& groupConnection, const transport::Endpoint& seed)
{
    return transport::Endpoint { seed.address, groupConnection.groupPort }.text();
}

} // namespace curranttrail
