#pragma once

#include "core/units.h"
#include "query/messages.h"
#include "transport/http_message.h"

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail::transport {

// Names of the header fields exchanged by entry instances and backend servers.
namespace field {
    // Globally unique attempt identifier: instance, incarnation and number. The reply echoes it.
    inline constexpr std::string_view kAttempt = "X-Request-Attempt";
    inline constexpr std::string_view kSnapshot = "X-Snapshot";
    inline constexpr std::string_view kShard = "X-Shard";
    inline constexpr std::string_view kKeyRange = "X-Key-Range";
    inline constexpr std::string_view kDeadlineMs = "X-Deadline-Ms";
    // Present only on requests that must run at most once.
    inline constexpr std::string_view kRequestId = "X-Request-Id";
    // On a reply: processing time of the request in microseconds.
    inline constexpr std::string_view kServerMicros = "X-Server-Micros";
    inline constexpr std::string_view kLoad = "X-Load";
    inline constexpr std::string_view kDraining = "X-Draining";
    inline constexpr std::string_view kRun = "X-Run";
}

// Key range as two 16-digit hexadecimal numbers, for example "0000000000000000-7fffffffffffffff". The end is exclusive.
std::string keyRangeText(const KeyRange& range);
std::optional<KeyRange> parseKeyRange(std::string_view text);

// A key as 16 hexadecimal digits.
std::string keyText(std::uint64_t key);
std::optional<std::uint64_t> parseKey(std::string_view text);

// Parses an unsigned decimal number. Returns nothing if any other character is present.
std::optional<std::uint64_t> parseNumber(std::string_view text);

// Server entry of the platform's instance list, before a ServerId is assigned to it in this process.
struct PlatformServer {
    query::ListedServer listed;
    Endpoint address;
};

// Parses the body of GET /v1/instances. Returns nothing if any entry is malformed: a partial list would remove the servers
// that are missing from it.
std::optional<std::vector<PlatformServer>> parseInstances(std::string_view json);

// Parses the body of GET /v1/report.
std::optional<query::ServerReport> parseReport(std::string_view json);

// Returns true if the text is a single JSON value nested no deeper than the given depth.
bool isJson(std::string_view text, std::size_t depth = 32);

} // namespace curranttrail::transport
