#include "main/leader_redirect.h"

#include <fmt/format.h>

#include <string>

namespace curranttrail {

namespace {
    // A leader is usually elected within this time.
    constexpr std::string_view kRetryAfterSeconds = "0.5";
} // namespace

transport::HttpResponse refusal(unsigned status, std::string_view error, std::string_view message, Verdict verdict)
{
    transport::HttpResponse response;
    response.status = status;
    response.body = transport::refusalBody(error, nameOf(kVerdictNames, verdict), message);
    return response;
}

transport::HttpResponse temporaryRefusal(std::string_view error, std::string_view message, Verdict verdict)
{
    transport::HttpResponse response = refusal(503, error, message, verdict);
    response.fields.emplace_back("Retry-After", std::string { kRetryAfterSeconds });
    return response;
}

transport::HttpResponse redirectToLeader(const std::optional<InstanceName>& leader, std::uint16_t port, std::string_view path)
{
    const std::optional<transport::Endpoint> endpoint = leader ? transport::parseEndpoint(*leader) : std::nullopt;
    if (!endpoint)
        return temporaryRefusal("no_leader", "no leader is known at present");
    transport::HttpResponse response = refusal(307, "not_leader", "another control instance is the leader");
    response.fields.emplace_back("Location", fmt::format("http://{}:{}{}", endpoint->address, port, path));
    return response;
}

} // namespace curranttrail
