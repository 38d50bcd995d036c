#include "main/cli_leader.h"

#include "main/cli_http.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <ostream>

namespace curranttrail {

namespace json = boost::json;

namespace {
    constexpr std::chrono::milliseconds kTimeout { 5'000 };
} // namespace

std::optional<json::object> askLeader(transport::Endpoint coordinator, const std::string& method, const std::string& path, CliOutput output, CliExit& exit)
{
    transport::HttpRequest request;
    request.method = method;
    request.path = path;
    HttpReply reply = requestOnce(coordinator, request, kTimeout);
    if (reply.status == 307 && !reply.location.empty()) {
        if (const std::optional<transport::Endpoint> leader = endpointOf(reply.location)) {
            coordinator = *leader;
            reply = requestOnce(coordinator, request, kTimeout);
        }
    }
    exit = reply.outcome == HttpOutcome::Answered ? CliExit::Refused : CliExit::Unreachable;
    boost::system::error_code ec;
    const json::value body = json::parse(reply.body, ec);
    if (reply.status == 200 && !ec && body.is_object())
        return body.get_object();
    output.err << fmt::format("{}: {}\n", coordinator.text(), reply.error.empty() ? fmt::format("{} {}", reply.status, reply.body) : reply.error);
    return std::nullopt;
}

} // namespace curranttrail
