#include "main/evacuation_api.h"

#include "control/state_machine.h"
#include "main/feed_events.h"
#include "main/leader_redirect.h"
#include "platform/http_names.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace curranttrail {

namespace json = boost::json;

namespace {

    transport::HttpResponse accepted(const control::SetEvacuation& order)
    {
        transport::HttpResponse response;
        response.body = json::serialize(json::object { { "data_centre", order.dataCentre }, { "evacuated", order.isEvacuated } });
        return response;
    }

    transport::HttpResponse listOf(const std::set<DataCentreName>& evacuated, const routing::ServerList& servers)
    {
        json::array rows;
        for (const DataCentreName& dataCentre : evacuated) {
            const auto count = std::count_if(servers.begin(), servers.end(), [&](const routing::ServerRecord& record) { return record.dataCentre == dataCentre; });
            rows.push_back(json::object { { "data_centre", dataCentre }, { "servers", count } });
        }
        transport::HttpResponse response;
        response.body = json::serialize(json::object { { "evacuated", std::move(rows) } });
        return response;
    }

} // namespace

EvacuationApi::EvacuationApi(ControlRuntime& runtime, transport::EventLoop& loop, FeedPublisher& publisher, transport::EventSink& sink, std::uint16_t port)
    : m_runtime(runtime)
    , m_loop(loop)
    , m_publisher(publisher)
    , m_sink(sink)
    , m_port(port)
{
}

void EvacuationApi::addRoutes(transport::HttpRouter& router)
{
    const std::string path { platform::kEvacuationPath };
    router.add("POST", path + "/*", [this](const transport::HttpRequest& request, const transport::Responder& responder) { order(request, responder, true); });
    router.add("DELETE", path + "/*", [this](const transport::HttpRequest& request, const transport::Responder& responder) { order(request, responder, false); });
    router.add("GET", path, [this](const transport::HttpRequest&, const transport::Responder& responder) { list(responder); });
}

void EvacuationApi::order(const transport::HttpRequest& request, const transport::Responder& responder, bool isEvacuated)
{
    control::SetEvacuation order { request.path.substr(platform::kEvacuationPath.size() + 1), isEvacuated };
    const std::string reason = control::invalidReason(order, {});
    if (!reason.empty()) {
        m_sink.log(events::kEvacuationAnswered, { { "order", isEvacuated ? "evacuate" : "withdraw" }, { "from", request.client }, { "status", "400" }, { "reason", reason } });
        responder.send(refusal(400, "invalid", reason));
        return;
    }
    m_runtime.submit(order, [this, order, path = request.path, client = request.client, responder](const control::CommandResult& result) {
        transport::HttpResponse response;
        if (result.status == control::CommandStatus::Accepted)
            response = accepted(order);
        else if (result.status == control::CommandStatus::NotLeader)
            response = redirectToLeader(result.leader, m_port, path);
        else
            // A well-formed order is never refused for good, even if there are too many.
            response = temporaryRefusal("unavailable", result.message, result.status == control::CommandStatus::OutcomeUnknown ? Verdict::MayHaveRun : Verdict::NotRun);
        m_sink.log(events::kEvacuationAnswered, { { "order", order.isEvacuated ? "evacuate" : "withdraw" }, { "data_centre", order.dataCentre }, { "from", client }, { "status", fmt::to_string(response.status) }, { "result", std::string { nameOf(control::kCommandStatusNames, result.status) } }, { "leader", result.leader.value_or("") } });
        responder.send(std::move(response));
    });
}

void EvacuationApi::list(const transport::Responder& responder)
{
    m_runtime.view([this, responder](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        if (status.role != control::Role::Leader || !status.leaseValid) {
            responder.send(redirectToLeader(status.role == control::Role::Leader ? std::nullopt : status.leader, m_port, platform::kEvacuationPath));
            return;
        }
        m_loop.post([this, responder, evacuated = reducer.state().evacuatedDataCentres] { responder.send(listOf(evacuated, m_publisher.servers())); });
    });
}

} // namespace curranttrail
