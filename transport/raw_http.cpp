#include "transport/raw_http.h"

#include <boost/beast/core/string.hpp>
#include <boost/beast/http/status.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace curranttrail::transport {

namespace {

    constexpr std::array<std::string_view, 9> kHopByHopFields { "connection", "keep-alive", "proxy-connection", "proxy-authenticate", "proxy-authorization", "te", "trailer", "transfer-encoding", "upgrade" };

    bool listContains(std::string_view value, std::string_view name)
    {
        while (!value.empty()) {
            const std::size_t comma = std::min(value.find(','), value.size());
            std::string_view item = value.substr(0, comma);
            while (!item.empty() && (item.front() == ' ' || item.front() == '\t'))
                item.remove_prefix(1);
            while (!item.empty() && (item.back() == ' ' || item.back() == '\t'))
                item.remove_suffix(1);
            if (sameFieldName(item, name))
                return true;
            value.remove_prefix(std::min(comma + 1, value.size()));
        }
        return false;
    }

    void append(std::string& text, const HttpFields& fields)
    {
        for (const auto& [name, value] : fields) {
            text += name;
            text += ": ";
            text += value;
            text += "\r\n";
        }
    }

    // Returns true for status codes whose responses never have a body.
    bool isBodiless(unsigned status)
    {
        return status == 204 || status == 304;
    }

} // namespace

bool isHopByHopField(std::string_view name, const HttpFields& fields)
{
    if (std::any_of(kHopByHopFields.begin(), kHopByHopFields.end(), [name](std::string_view hop) { return sameFieldName(hop, name); }))
        return true;
    const std::optional<std::string_view> connection = findField(fields, "Connection");
    return connection && listContains(*connection, name);
}

std::string serializeRequest(const RawRequest& request, const HttpFields& fields)
{
    std::string text = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    text.reserve(text.size() + 512 + request.body.size());
    append(text, fields);
    const bool expectsBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (expectsBody || !request.body.empty())
        text += fmt::format("Content-Length: {}\r\n", request.body.size());
    text += "\r\n";
    text += request.body;
    return text;
}

std::string serializeReply(const RawReply& reply, bool withBody, bool close)
{
    const boost::beast::string_view reason = boost::beast::http::obsolete_reason(static_cast<boost::beast::http::status>(reply.status));
    std::string text = fmt::format("HTTP/1.1 {} {}\r\n", reply.status, std::string_view { reason.data(), reason.size() });
    text.reserve(text.size() + 256 + reply.body.size());
    append(text, reply.fields);
    if (!isBodiless(reply.status))
        text += fmt::format("Content-Length: {}\r\n", reply.body.size());
    if (close)
        text += "Connection: close\r\n";
    text += "\r\n";
    if (withBody && !isBodiless(reply.status))
        text += reply.body;
    return text;
}

} // namespace curranttrail::transport
