#pragma once

#include <optional>
#include <string>
#include <string_view>

// Connections to servers that are opened through another entry instance, by the CONNECT method of HTTP/1.1. Once the instance has answered
// with 200, the bytes of the connection follow in both directions. 502 says that the server cannot be reached from there either; any
// other status is a refusal of the instance itself. An instance that reads records (see relay_records.h) says so in its request; a relay
// that sends the server's bytes in records says so in its response. Builds that know nothing of records pass on the mere bytes.
namespace curranttrail::transport {

inline constexpr unsigned kRelayOpened = 200;
inline constexpr unsigned kRelayServerUnreachable = 502;
inline constexpr std::size_t kMaximumRelayHeadBytes = 1'024;
inline constexpr std::string_view kRelayHeadEnd = "\r\n\r\n";

struct RelayRequest {
    std::string address;
    // True if the instance reads records.
    bool readsRecords = false;
};

struct RelayResponse {
    // 0 if the response is malformed.
    unsigned status = 0;
    // True if the server's bytes follow in records.
    bool sendsRecords = false;
};

// Returns the request of an instance that reads records. The key is the one that all instances of a deployment share.
std::string relayRequest(std::string_view key, const std::string& address);
// Returns what a request holds, up to the empty line, or nothing if it is malformed or was made with another key.
std::optional<RelayRequest> parseRelayRequest(std::string_view key, std::string_view head);
std::string relayResponse(unsigned status, bool sendsRecords = false);
RelayResponse parseRelayResponse(std::string_view head);

} // namespace curranttrail::transport
