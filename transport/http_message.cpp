#include "transport/http_message.h"

#include <boost/asio/ip/address_v4.hpp>
#include <boost/beast/core/string.hpp>
#include <boost/json.hpp>

#include <charconv>

namespace curranttrail::transport {

bool sameFieldName(std::string_view a, std::string_view b)
{
    return a.size() == b.size() && boost::beast::iequals({ a.data(), a.size() }, { b.data(), b.size() });
}

std::optional<std::string_view> findField(const HttpFields& fields, std::string_view name)
{
    for (const auto& [key, value] : fields) {
        if (sameFieldName(key, name))
            return value;
    }
    return std::nullopt;
}

std::optional<std::string_view> HttpRequest::parameter(std::string_view name) const
{
    std::string_view rest = query;
    while (!rest.empty()) {
        const std::size_t end = std::min(rest.find('&'), rest.size());
        const std::string_view pair = rest.substr(0, end);
        if (pair.size() > name.size() && pair.starts_with(name) && pair[name.size()] == '=')
            return pair.substr(name.size() + 1);
        rest.remove_prefix(std::min(end + 1, rest.size()));
    }
    return std::nullopt;
}

std::optional<Endpoint> parseEndpoint(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    Endpoint endpoint { std::string { text.substr(0, colon) }, 0 };
    boost::system::error_code ec;
    boost::asio::ip::make_address_v4(endpoint.address, ec);
    if (ec)
        return std::nullopt;
    const std::string_view port = text.substr(colon + 1);
    const auto [end, error] = std::from_chars(port.data(), port.data() + port.size(), endpoint.port);
    if (error != std::errc {} || end != port.data() + port.size() || port.empty())
        return std::nullopt;
    return endpoint;
}

std::string refusalBody(std::string_view error, std::string_view run, std::string_view message)
{
    return boost::json::serialize(boost::json::object { { "error", error }, { "run", run }, { "message", message } });
}

} // namespace curranttrail::transport
