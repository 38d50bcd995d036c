#pragma once

#include "transport/http_message.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>

#include <string>

// Message parsing with Beast, shared by RawHttpClient and RawHttpServer.
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

inline HttpFields fieldsOf(const boost::beast::http::fields& message)
{
    HttpFields fields;
    for (const auto& field : message)
        fields.emplace_back(std::string { field.name_string() }, std::string { field.value() });
    return fields;
}

} // namespace curranttrail::transport::detail
