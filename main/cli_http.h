#pragma once

#include "transport/http_message.h"

#include <chrono>
#include <optional>
#include <string>
#include <string_view>

namespace curranttrail {

enum class HttpOutcome {
    Answered,
    // The connection could not be opened; the request was not sent.
    NotSent,
    // The request was sent at least in part and no complete answer was received.
    Unknown,
};

struct HttpReply {
    HttpOutcome outcome = HttpOutcome::NotSent;
    unsigned status = 0;
    std::string body;
    // Where a redirect leads to, if the answer is one.
    std::string location;
    // Reason why no complete answer was received.
    std::string error;
};

// Returns the address in a URL, such as that of a redirect.
std::optional<transport::Endpoint> endpointOf(std::string_view url);

// Makes one HTTP request on a new connection and waits for its answer.
HttpReply requestOnce(const transport::Endpoint& endpoint, const transport::HttpRequest& request, std::chrono::milliseconds timeout);

} // namespace curranttrail
