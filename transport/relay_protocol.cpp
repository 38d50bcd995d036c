#include "transport/relay_protocol.h"

#include "transport/frame_format.h"

#include <boost/asio/buffer.hpp>
#include <boost/beast/http.hpp>
#include <fmt/format.h>
#include <openssl/crypto.h>

namespace curranttrail::transport {

namespace http = boost::beast::http;

namespace {
    constexpr std::string_view kScheme = "Curranttrail ";
    constexpr const char* kFramingField = "Curranttrail-Relay-Framing";
    constexpr std::string_view kRecords = "records";

    std::string credentials(std::string_view key, std::string_view address)
    {
        const std::string code = hmac(key, fmt::format("relay to {}", address));
        std::string text { kScheme };
        for (const char byte : code)
            text += fmt::format("{:02x}", static_cast<unsigned char>(byte));
        return text;
    }

    bool areEqual(std::string_view a, std::string_view b)
    {
        return a.size() == b.size() && CRYPTO_memcmp(a.data(), b.data(), a.size()) == 0;
    }
} // namespace

std::string relayRequest(std::string_view key, const std::string& address)
{
    return fmt::format("CONNECT {} HTTP/1.1\r\nHost: {}\r\nProxy-Authorization: {}\r\n{}: {}\r\n\r\n", address, address, credentials(key, address), kFramingField, kRecords);
}

std::optional<RelayRequest> parseRelayRequest(std::string_view key, std::string_view head)
{
    http::request_parser<http::empty_body> parser;
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(head.data(), head.size()), ec);
    if (ec || !parser.is_header_done() || parser.get().method() != http::verb::connect)
        return std::nullopt;
    RelayRequest request { std::string { parser.get().target() }, parser.get()[kFramingField] == kRecords };
    const std::string_view given { parser.get()[http::field::proxy_authorization].data(), parser.get()[http::field::proxy_authorization].size() };
    if (!areEqual(given, credentials(key, request.address)))
        return std::nullopt;
    return request;
}

std::string relayResponse(unsigned status, bool sendsRecords)
{
    const auto reason = http::obsolete_reason(http::int_to_status(status));
    const std::string framing = sendsRecords ? fmt::format("{}: {}\r\n", kFramingField, kRecords) : std::string {};
    return fmt::format("HTTP/1.1 {} {}\r\n{}\r\n", status, std::string_view { reason.data(), reason.size() }, framing);
}

RelayResponse parseRelayResponse(std::string_view head)
{
    http::response_parser<http::empty_body> parser;
    parser.skip(true);
    boost::system::error_code ec;
    parser.put(boost::asio::buffer(head.data(), head.size()), ec);
    if (ec || !parser.is_header_done())
        return {};
    return { parser.get().result_int(), parser.get()[kFramingField] == kRecords };
}

} // namespace curranttrail::transport
