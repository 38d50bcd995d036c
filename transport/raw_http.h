#pragma once

#include "transport/http_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace curranttrail::transport {

// A request whose line, fields and body are passed on as they came.
struct RawRequest {
    std::string method;
    // Path and query as they stand in the request line.
    std::string target;
    HttpFields fields;
    std::string body;

    std::string_view path() const { return std::string_view { target }.substr(0, target.find('?')); }
};

struct RawReply {
    unsigned status = 0;
    HttpFields fields;
    std::string body;
};

// Whether a field concerns one connection only and is not passed on. The names that a Connection field lists count too.
bool isHopField(std::string_view name, const HttpFields& fields);

// Writes a request line or a status line, fields, the length and the body. The connection field is added by the caller.
std::string requestText(const RawRequest& request, const HttpFields& fields);
std::string replyText(const RawReply& reply, bool withBody, bool close);

} // namespace curranttrail::transport
