#pragma once

#include "query/messages.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <variant>

namespace curranttrail {

// A refusal of a query that is not passed to the reducer.
struct QueryError {
    unsigned status = 400;
    std::string error;
    std::string message;
};

// Reads the body of POST /v1/query. Unknown fields, wrong types, values out of range and deep nesting are refused.
// The query id, the caller and the wall-clock time are set by QueryApi.
std::variant<query::QueryArrived, QueryError> readQuery(const std::string& body);

// Returns the answer with one payload for each covered shard, in the order of the key ranges.
std::string answerJson(const query::SendAnswer& answer);

// Returns the response to a refused query, with its HTTP status.
transport::HttpResponse refusalResponse(const query::SendRefusal& refusal);

} // namespace curranttrail
