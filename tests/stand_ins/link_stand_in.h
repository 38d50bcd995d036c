#pragma once

#include "main/settings.h"
#include "transport/http_message.h"

#include <memory>
#include <string>
#include <vector>

namespace curranttrail::stand_ins {

enum class LinkMode {
    Pass,
    // Connections stay open, and bytes are delivered after the mode changes.
    Hold,
    // Connections stay open, and bytes are discarded.
    Drop,
    // Existing connections are closed, and new ones are closed immediately.
    Cut,
    // Bytes are delivered after a fixed delay.
    Delay,
    // Bytes from the server are delivered after the mode changes; bytes from the client are delivered immediately.
    HoldReplies,
};

// A proxied TCP path from one process to another.
struct LinkSettings {
    std::string name;
    transport::Endpoint listen;
    transport::Endpoint to;
};

struct LinkStandInSettings {
    // File with lines "NAME MODE", read periodically. Links that it does not name are in mode "pass".
    std::string stateFile;
    std::vector<LinkSettings> links;
};

LinkStandInSettings readLinkSettings(const SettingsFile& file);

// TCP proxy for several links, whose modes can change while it runs.
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
