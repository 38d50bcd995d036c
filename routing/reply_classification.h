#pragma once

#include "routing/messages.h"

#include <optional>
#include <string>
#include <string_view>

namespace curranttrail::routing {

// Status and header fields of a server's reply that decide its classification.
struct ReplyHeader {
    unsigned status = 0;
    // Id of the request that the reply belongs to, as the server states it.
    std::optional<std::string> requestId;
    std::optional<std::string> stamp;
    // The server states that it did not run the request.
    bool notExecuted = false;
    // The server states that it leaves.
    bool leaving = false;
    // True if a content encoding was applied, so that the body differs from what the server signed.
    bool encoded = false;
    std::optional<ServerLoad> load;
    std::optional<NamedLimit> limit;
    std::optional<NamedRest> rest;
    // Time for which the server states that it stays cold.
    Micros coldRemaining { 0 };
};

// Classifies a complete reply to the given request.
ReplyKind classifyReply(const ReplyHeader& header, std::string_view requestId);

} // namespace curranttrail::routing
