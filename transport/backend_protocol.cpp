#include "transport/backend_protocol.h"

#include <boost/json.hpp>
#include <boost/json/basic_parser_impl.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace curranttrail::transport {

namespace json = boost::json;

namespace {

    // Discards all parser events. Used to check the syntax only.
    struct NullHandler {
        // Boost.JSON's basic_parser requires these names.
        // NOLINTBEGIN(readability-identifier-naming)
        static constexpr std::size_t max_object_size = std::size_t(-1);
        static constexpr std::size_t max_array_size = std::size_t(-1);
        static constexpr std::size_t max_key_size = std::size_t(-1);
        static constexpr std::size_t max_string_size = std::size_t(-1);
        static bool on_document_begin(json::error_code&) { return true; }
        static bool on_document_end(json::error_code&) { return true; }
        static bool on_object_begin(json::error_code&) { return true; }
        static bool on_object_end(std::size_t, json::error_code&) { return true; }
        static bool on_array_begin(json::error_code&) { return true; }
        static bool on_array_end(std::size_t, json::error_code&) { return true; }
        static bool on_key_part(json::string_view, std::size_t, json::error_code&) { return true; }
        static bool on_key(json::string_view, std::size_t, json::error_code&) { return true; }
        static bool on_string_part(json::string_view, std::size_t, json::error_code&) { return true; }
        static bool on_string(json::string_view, std::size_t, json::error_code&) { return true; }
        static bool on_number_part(json::string_view, json::error_code&) { return true; }
        static bool on_int64(std::int64_t, json::string_view, json::error_code&) { return true; }
        static bool on_uint64(std::uint64_t, json::string_view, json::error_code&) { return true; }
        static bool on_double(double, json::string_view, json::error_code&) { return true; }
        static bool on_bool(bool, json::error_code&) { return true; }
        static bool on_null(json::error_code&) { return true; }
        static bool on_comment_part(json::string_view, json::error_code&) { return true; }
        static bool on_comment(json::string_view, json::error_code&) { return true; }
        // NOLINTEND(readability-identifier-naming)
    };

    std::string textAt(const json::object& object, json::string_view key)
    {
        return std::string { object.at(key).as_string() };
    }

    std::uint32_t countAt(const json::object& object, json::string_view key)
    {
        return object.at(key).to_number<std::uint32_t>();
    }

    std::optional<PlatformServer> parseServer(const json::object& object)
    {
        PlatformServer server;
        server.listed.name = textAt(object, "name");
        server.listed.dataCentre = textAt(object, "data_centre");
        server.listed.owner = textAt(object, "owner");
        server.listed.collection = textAt(object, "collection");
        server.listed.slots = countAt(object, "slots");
        server.listed.connectionLimit = countAt(object, "connection_limit");
        const std::string state = textAt(object, "state");
        const std::optional<Endpoint> address = parseEndpoint(textAt(object, "address"));
        if (!address || server.listed.name.empty() || (state != "live" && state != "leaving"))
            return std::nullopt;
        server.listed.leaving = state == "leaving";
        server.address = *address;
        return server;
    }

    std::optional<query::HeldShard> parseHeldShard(const json::object& object)
    {
        const std::optional<std::uint64_t> begin = parseKey(textAt(object, "begin"));
        const std::optional<std::uint64_t> end = parseKey(textAt(object, "end"));
        const std::string shard = textAt(object, "shard");
        // The shard name is sent in a header field, so it must not contain characters that could end the field.
        const bool printable = !shard.empty() && std::all_of(shard.begin(), shard.end(), [](unsigned char c) { return c > ' ' && c < 127; });
        if (!begin || !end || *begin >= *end || !printable)
            return std::nullopt;
        const std::uint64_t version = object.at("version").to_number<std::uint64_t>();
        return query::HeldShard { { version }, { shard, { *begin, *end } } };
    }

} // namespace

std::string keyText(std::uint64_t key)
{
    return fmt::format("{:016x}", key);
}

std::optional<std::uint64_t> parseKey(std::string_view text)
{
    std::uint64_t key = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), key, 16);
    if (ec != std::errc {} || end != text.data() + text.size() || text.size() != 16)
        return std::nullopt;
    return key;
}

std::string keyRangeText(const KeyRange& range)
{
    return keyText(range.begin) + "-" + keyText(range.end);
}

std::optional<KeyRange> parseKeyRange(std::string_view text)
{
    if (text.size() != 33 || text[16] != '-')
        return std::nullopt;
    const std::optional<std::uint64_t> begin = parseKey(text.substr(0, 16));
    const std::optional<std::uint64_t> end = parseKey(text.substr(17));
    if (!begin || !end)
        return std::nullopt;
    return KeyRange { *begin, *end };
}

std::optional<std::uint64_t> parseNumber(std::string_view text)
{
    std::uint64_t number = 0;
    const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), number);
    if (ec != std::errc {} || end != text.data() + text.size() || text.empty())
        return std::nullopt;
    return number;
}

std::optional<std::vector<PlatformServer>> parseInstances(std::string_view text)
{
    try {
        std::vector<PlatformServer> servers;
        const json::value value = json::parse(json::string_view { text.data(), text.size() });
        for (const json::value& entry : value.at("servers").as_array()) {
            std::optional<PlatformServer> server = parseServer(entry.as_object());
            if (!server)
                return std::nullopt;
            servers.push_back(std::move(*server));
        }
        return servers;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::optional<query::ServerReport> parseReport(std::string_view text)
{
    try {
        const json::value value = json::parse(json::string_view { text.data(), text.size() });
        query::ServerReport report;
        report.load = value.at("load").to_number<double>();
        report.draining = value.at("draining").as_bool();
        if (!std::isfinite(report.load) || report.load < 0)
            return std::nullopt;
        for (const json::value& entry : value.at("snapshots").as_array()) {
            std::optional<query::HeldShard> held = parseHeldShard(entry.as_object());
            if (!held)
                return std::nullopt;
            report.held.push_back(std::move(*held));
        }
        return report;
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

bool isJson(std::string_view text, std::size_t depth)
{
    json::parse_options options;
    options.max_depth = depth;
    json::basic_parser<NullHandler> parser(options);
    json::error_code ec;
    const std::size_t n = parser.write_some(false, text.data(), text.size(), ec);
    // Only white space may follow the value.
    return !ec && parser.done() && text.find_first_not_of(" \t\r\n", n) == std::string_view::npos;
}

} // namespace curranttrail::transport
