#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <utility>
#include <vector>

namespace curranttrail::transport {

// Header fields in message order. Names are case-insensitive.
using HttpFields = std::vector<std::pair<std::string, std::string>>;

// Compares field names, ignoring the case of ASCII letters.
bool sameFieldName(std::string_view a, std::string_view b);

// Returns the value of the first field with the name, or nothing.
std::optional<std::string_view> findField(const HttpFields& fields, std::string_view name);

struct HttpRequest {
    std::string method = "GET";
    // Path without the query string.
    std::string path;
    // Query string without the question mark.
    std::string query;
    HttpFields fields;
    std::string body;
    // Address and port of the client, as "127.0.0.1:4711".
    std::string client;

    std::optional<std::string_view> field(std::string_view name) const { return findField(fields, name); }
    // Returns the value of a query parameter without percent-decoding it, or nothing.
    std::optional<std::string_view> parameter(std::string_view name) const;
};

struct HttpResponse {
    unsigned status = 200;
    std::string contentType = "application/json";
    HttpFields fields;
    std::string body;
    // Closes the connection after this response.
    bool close = false;

    std::optional<std::string_view> field(std::string_view name) const { return findField(fields, name); }
};

// A numeric IP address and a port.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    std::string text() const { return address + ":" + std::to_string(port); }
    bool operator==(const Endpoint&) const = default;
    bool operator<(const Endpoint& other) const { return std::tie(address, port) < std::tie(other.address, other.port); }
};

// Parses an endpoint such as "127.0.0.1:80". Returns nothing if the text is not a numeric IPv4 address with a port.
std::optional<Endpoint> parseEndpoint(std::string_view text);

// Returns the JSON body of a refusal: error code, whether the request was run, and an explanation.
std::string refusalBody(std::string_view error, std::string_view run, std::string_view message);

} // namespace curranttrail::transport
