#pragma once

#include "transport/http_message.h"

#include <cstdint>
#include <string>
#include <string_view>

namespace curranttrail::transport {

// A request whose target, fields and body are forwarded unmodified.
struct RawRequest {
    std::string method;
    // Path and query exactly as in the request line.
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

// Returns true for a hop-by-hop field, which must not be forwarded. This includes fields listed in the Connection field.
bool isHopByHopField(std::string_view name, const HttpFields& fields);

// Serializes a message: request or status line, fields, Content-Length and body. serializeReply() adds "Connection: close"
// if `close` is true; other connection fields are up to the calling code.
std::string serializeRequest(const RawRequest& request, const HttpFields& fields);
std::string serializeReply(const RawReply& reply, bool withBody, bool close);

} // namespace curranttrail::transport
