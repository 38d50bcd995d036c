#include "main/cli_commands.h"
#include "main/cli_http.h"
#include "platform/http_names.h"
#include "platform/route_document_json.h"
#include "routing/document_check.h"

#include <fmt/format.h>

#include <fstream>
#include <iterator>
#include <ostream>

namespace curranttrail {

namespace {
    constexpr std::chrono::milliseconds kTimeout { 5'000 };
    constexpr unsigned kStatusRedirect = 307;

    std::optional<routing::RouteDocument> decode(const std::string& content, std::string_view source, CliOutput output)
    {
        std::variant<routing::RouteDocument, platform::DecodeError> decoded = platform::decodeRouteDocument(content);
        if (const platform::DecodeError* error = std::get_if<platform::DecodeError>(&decoded)) {
            output.err << fmt::format("{}: {}\n", source, error->reason);
            return std::nullopt;
        }
        return std::get<routing::RouteDocument>(std::move(decoded));
    }

    std::optional<routing::RouteDocument> readFile(const std::string& path, CliOutput output)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file) {
            output.err << fmt::format("{} cannot be read\n", path);
            return std::nullopt;
        }
        return decode({ std::istreambuf_iterator<char>(file), {} }, path, output);
    }

    // Reads the document in force from the leader, to which any coordinator redirects.
    std::optional<routing::RouteDocument> readFromLeader(transport::Endpoint coordinator, CliOutput output)
    {
        transport::HttpRequest request;
        request.method = "GET";
        request.path = platform::kConfigurationPath;
        HttpReply reply = requestOnce(coordinator, request, kTimeout);
        if (reply.status == kStatusRedirect) {
            if (const std::optional<transport::Endpoint> leader = endpointOf(reply.location)) {
                coordinator = *leader;
                reply = requestOnce(coordinator, request, kTimeout);
            }
        }
        if (reply.status == 200)
            return decode(reply.body, coordinator.text(), output);
        output.err << fmt::format("{}: {}\n", coordinator.text(), reply.error.empty() ? fmt::format("{} {}", reply.status, reply.body) : reply.error);
        return std::nullopt;
    }

    std::size_t print(const std::vector<routing::Finding>& findings, CliOutput output)
    {
        std::size_t errors = 0;
        for (const routing::Finding& finding : findings) {
            output.out << fmt::format("{}: {}\n", nameOf(routing::kFindingKindNames, finding.kind), finding.text);
            errors += finding.kind == routing::FindingKind::Error ? 1 : 0;
        }
        return errors;
    }
} // namespace

CliExit checkConfiguration(const ConfigurationCheck& check, CliOutput output)
{
    const std::optional<routing::RouteDocument> document = readFile(check.file, output);
    if (!document)
        return CliExit::Refused;
    const std::size_t errors = print(routing::checkDocument(*document), output);
    if (check.coordinator || !check.inForceFile.empty()) {
        const std::optional<routing::RouteDocument> inForce = check.coordinator ? readFromLeader(*check.coordinator, output) : readFile(check.inForceFile, output);
        if (!inForce)
            return check.coordinator ? CliExit::Unreachable : CliExit::Usage;
        print(routing::compareDocuments(*inForce, *document), output);
    }
    output.out << fmt::format("{} errors\n", errors);
    return errors == 0 ? CliExit::Ok : CliExit::Refused;
}

} // namespace curranttrail
