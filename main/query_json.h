#pragma once

#include "query/messages.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <variant>

namespace curranttrail {

// A refusal before the reducer sees a query.
struct QueryError {
    unsigned status = 400;
    std::string error;
    std::string message;
};

// Reads the body of POST /v1/query. Unknown fields, wrong types, values out of range and deep nesting are refused.
// The query id, the caller and the wall-clock time are left to the driver.
std::variant<query::QueryArrived, QueryError> readQuery(const std::string& body);

// The answer with one payload for each covered shard, in the order of the key ranges.
std::string answerJson(const query::SendAnswer& answer);

// A refusal and its HTTP status.
transport::HttpResponse refusalResponse(const query::SendRefusal& refusal);

unsigned statusOf(query::RefusalReason reason);

} // namespace curranttrail
