#pragma once

#include "routing/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace curranttrail::routing {

// What the header of a server's reply says.
struct ReplyHead {
    unsigned status = 0;
    // The request that the server says it answers.
    std::optional<std::string> requestId;
    std::optional<std::string> stamp;
    // The server states that it did not run the request.
    bool notExecuted = false;
    // The body is encoded, so it is not what the server wrote.
    bool encoded = false;
    std::optional<ServerLoad> load;
};

// Decides what a complete reply means for the request that was sent.
ReplyKind classifyReply(const ReplyHead& head, std::string_view requestId);

} // namespace curranttrail::routing
