#pragma once

#include "query/messages.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <string_view>

namespace curranttrail::transport {

// Returns the globally unique identifier of an attempt.
std::string formatAttemptId(std::string_view prefix, AttemptId attempt);

// Returns the header of a subquery's HTTP request, without its body. Returns nothing if a value is not allowed in a header
// field; the subquery must not be sent then.
std::optional<std::string> serializeSubquery(const query::SendSubquery& subquery, std::string_view prefix, const Endpoint& server);

// Parses a backend server's reply to a subquery. Returns nothing if an echoed header field is missing or the payload is not JSON.
std::optional<query::SubqueryReplied> parseReply(const HttpResponse& response, std::string_view prefix, ConnectionId connection, ServerId server);

} // namespace curranttrail::transport
