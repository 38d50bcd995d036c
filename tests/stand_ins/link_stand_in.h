#pragma once

#include "main/settings.h"
#include "transport/http_message.h"

#include <memory>
#include <string>
#include <vector>

namespace curranttrail::stand_ins {

enum class LinkMode {
    Pass,
    // Connections stay open and bytes wait until the mode changes.
    Hold,
    // Connections stay open and bytes are lost.
    Drop,
    // Connections are closed, new ones at once.
    Cut,
    // Bytes arrive late.
    Delay,
    // Bytes from the far end wait; the other way stays open.
    HoldReplies,
};

// A TCP connection path from one process to another.
struct LinkSettings {
    std::string name;
    transport::Endpoint listen;
    transport::Endpoint to;
};

struct LinkStandInSettings {
    // Lines "NAME MODE"; links that it does not name pass everything. Read again when it changes.
    std::string stateFile;
    std::vector<LinkSettings> links;
};

LinkStandInSettings readLinkSettings(const SettingsFile& file);

// TCP proxies whose links can be held, dropped and cut while they run.
class LinkStandIn {
public:
    // Throws std::runtime_error if an address cannot be used.
    explicit LinkStandIn(const LinkStandInSettings& settings);
    ~LinkStandIn();
    LinkStandIn(const LinkStandIn&) = delete;
    LinkStandIn& operator=(const LinkStandIn&) = delete;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail::stand_ins
