#include "main/document_api.h"

#include "main/feed_events.h"
#include "main/leader_redirect.h"
#include "platform/http_names.h"
#include "platform/route_document_json.h"

#include <fmt/format.h>

namespace curranttrail {

namespace {

    transport::HttpResponse accepted(std::uint64_t version)
    {
        transport::HttpResponse response;
        response.body = fmt::format("{{\"version\":{}}}", version);
        return response;
    }

} // namespace

DocumentApi::DocumentApi(ControlRuntime& runtime, transport::EventSink& sink, std::uint16_t port)
    : m_runtime(runtime)
    , m_sink(sink)
    , m_port(port)
{
}

void DocumentApi::addRoutes(transport::HttpRouter& router)
{
    const std::string path { platform::kConfigurationPath };
    router.add("PUT", path, [this](const transport::HttpRequest& request, const transport::Responder& responder) { put(request, responder); });
    router.add("GET", path, [this](const transport::HttpRequest&, const transport::Responder& responder) { get(responder); });
}

void DocumentApi::put(const transport::HttpRequest& request, const transport::Responder& responder)
{
    std::variant<routing::RouteDocument, platform::DecodeError> decoded = platform::decodeRouteDocument(request.body);
    const platform::DecodeError* error = std::get_if<platform::DecodeError>(&decoded);
    const std::string reason = error ? error->reason : routing::invalidReason(std::get<routing::RouteDocument>(decoded));
    const std::uint64_t version = error ? 0 : std::get<routing::RouteDocument>(decoded).version;
    if (!reason.empty()) {
        m_sink.log(events::kDocumentAnswered, { { "version", fmt::to_string(version) }, { "from", request.client }, { "status", "400" }, { "reason", reason } });
        responder.send(refusal(400, "invalid", reason));
        return;
    }
    m_runtime.submit(control::SetDocument { version, request.body }, [this, version, client = request.client, responder](const control::CommandResult& result) {
        transport::HttpResponse response;
        if (result.status == control::CommandStatus::Accepted)
            response = accepted(version);
        else if (result.status == control::CommandStatus::NotLeader)
            response = redirectToLeader(result.leader, m_port, platform::kConfigurationPath);
        else if (result.status == control::CommandStatus::Invalid)
            response = refusal(413, "invalid", result.message);
        else
            response = refusal(503, "unavailable", result.message, result.status == control::CommandStatus::OutcomeUnknown ? Verdict::MayHaveRun : Verdict::NotRun);
        m_sink.log(events::kDocumentAnswered, { { "version", fmt::to_string(version) }, { "held", fmt::to_string(result.version.value) }, { "from", client }, { "status", fmt::to_string(response.status) }, { "result", std::string { nameOf(control::kCommandStatusNames, result.status) } }, { "leader", result.leader.value_or("") } });
        responder.send(std::move(response));
    });
}

void DocumentApi::get(const transport::Responder& responder)
{
    m_runtime.view([this, responder](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        const control::CommittedDocument& document = reducer.state().document;
        transport::HttpResponse response;
        if (status.role != control::Role::Leader || !status.leaseValid)
            response = redirectToLeader(status.role == control::Role::Leader ? std::nullopt : status.leader, m_port, platform::kConfigurationPath);
        else if (document.version == 0)
            response = refusal(404, "no_document", "no configuration has been accepted yet");
        else
            response.body = document.content;
        m_sink.log(events::kDocumentRead, { { "version", fmt::to_string(document.version) }, { "commit_index", fmt::to_string(status.commitIndex) }, { "status", fmt::to_string(response.status) } });
        responder.send(std::move(response));
    });
}

} // namespace curranttrail
