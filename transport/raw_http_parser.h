#pragma once

#include "transport/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <algorithm>
#include <iterator>
#include <string>

// Message parsing with Beast, shared by the HTTP clients and servers.
namespace curranttrail::transport::detail {

// Feeds pending bytes into a parser until it is done or needs more input, and removes the consumed bytes.
template <typename Parser>
boost::system::error_code parsePending(Parser& parser, std::string& pending)
{
    boost::system::error_code ec;
    while (!pending.empty() && !parser.is_done()) {
        const std::size_t used = parser.put(boost::asio::buffer(pending), ec);
        pending.erase(0, used);
        if (ec || used == 0)
            break;
    }
    return ec == boost::beast::http::error::need_more ? boost::system::error_code {} : ec;
}

// Returns an error if a request's transfer codings do not tell where its body ends (RFC 9112, section 6.3), or are more than chunks. Beast
// takes such a request for one without a body, so that its body would be read as further requests.
template <typename Fields>
boost::system::error_code framingError(const boost::beast::http::request_header<Fields>& header)
{
    namespace http = boost::beast::http;
    std::size_t codings = 0;
    bool isChunked = false;
    const auto [begin, end] = header.equal_range(http::field::transfer_encoding);
    for (auto it = begin; it != end; ++it) {
        // A list without a valid entry counts as a coding too.
        const http::token_list list { it->value() };
        codings += std::max<std::size_t>(1, static_cast<std::size_t>(std::distance(list.begin(), list.end())));
        isChunked = boost::beast::iequals(it->value(), "chunked");
    }
    const bool isSupported = codings == 0 || (codings == 1 && isChunked && header.version() == 11);
    return isSupported ? boost::system::error_code {} : http::error::bad_transfer_encoding;
}

inline HttpFields fieldsOf(const boost::beast::http::fields& message)
{
    HttpFields fields;
    for (const auto& field : message)
        fields.emplace_back(std::string { field.name_string() }, std::string { field.value() });
    return fields;
}

} // namespace curranttrail::transport::detail
