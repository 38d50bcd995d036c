#include "main/query_api.h"

#include "main/query_json.h"
#include "transport/event_sink.h"

namespace curranttrail {

using transport::HttpRequest;
using transport::HttpResponse;
using transport::Responder;

QueryApi::QueryApi(std::vector<OperatorAccount> callers, transport::Metrics& metrics, EventCallback post)
    : m_callers(std::move(callers))
    , m_metrics(metrics)
    , m_post(std::move(post))
{
}

void QueryApi::handle(const HttpRequest& request, const Responder& responder)
{
    const OperatorAccount* caller = m_callers.find(request.field("Authorization"));
    if (!caller) {
        sendError(responder, 401, "not_authenticated", "a bearer token of a known caller is required");
        return;
    }
    std::variant<query::QueryArrived, QueryError> read = readQuery(request.body);
    if (const QueryError* error = std::get_if<QueryError>(&read)) {
        sendError(responder, error->status, error->error, error->message);
        return;
    }
    query::QueryArrived& arrived = std::get<query::QueryArrived>(read);
    arrived.caller = caller->owner;
    arrived.wallClock = transport::wallClockNow();
    {
        const std::lock_guard lock(m_mutex);
        arrived.query = { ++m_lastQuery };
        m_pending.emplace(arrived.query, Pending { responder, std::chrono::steady_clock::now(), arrived.className });
    }
    const QueryId query = arrived.query;
    m_post(std::move(arrived));
    responder.onDisconnect([this, query] { m_post(query::CallerDisconnected { query }); });
}

void QueryApi::answer(const query::SendAnswer& answer)
{
    HttpResponse response;
    response.body = answerJson(answer);
    respond(answer.query, std::move(response), answer.coverage.missing.empty() ? "complete" : "partial");
}

void QueryApi::refuse(const query::SendRefusal& refusal)
{
    respond(refusal.query, refusalResponse(refusal), nameOf(query::kRefusalReasonNames, refusal.reason));
}

void QueryApi::respond(QueryId query, HttpResponse response, std::string_view outcome)
{
    std::optional<Pending> pending;
    {
        const std::lock_guard lock(m_mutex);
        const auto node = m_pending.extract(query);
        if (node)
            pending = std::move(node.mapped());
    }
    if (!pending)
        return;
    pending->responder.send(std::move(response));
    const std::chrono::microseconds elapsed = std::chrono::duration_cast<std::chrono::microseconds>(std::chrono::steady_clock::now() - pending->arrived);
    // Callers can send any class name, so unknown classes share one label to bound the number of metric series.
    const std::string label = outcome == nameOf(query::kRefusalReasonNames, query::RefusalReason::UnknownClass) ? "unknown" : pending->className;
    m_metrics.counter("curranttrail_queries_total", "Queries by class and outcome.", { { "class", label }, { "outcome", std::string { outcome } } }).add();
    if (outcome == "complete" || outcome == "partial")
        m_metrics.latency("curranttrail_query_latency_seconds", "Time from a query's arrival to its answer.", { { "class", label } }).record(elapsed);
}

std::size_t QueryApi::pending() const
{
    const std::lock_guard lock(m_mutex);
    return m_pending.size();
}

void QueryApi::refusePending()
{
    std::unordered_map<QueryId, Pending> pending;
    {
        const std::lock_guard lock(m_mutex);
        pending.swap(m_pending);
    }
    for (const auto& [query, entry] : pending) {
        HttpResponse response;
        response.status = 504;
        response.body = transport::refusalBody("stopping", nameOf(kVerdictNames, Verdict::MayHaveRun), "the instance stopped before the answer was complete");
        entry.responder.send(std::move(response));
    }
}

void QueryApi::sendError(const Responder& responder, unsigned status, std::string_view error, std::string_view message)
{
    HttpResponse response;
    response.status = status;
    response.body = transport::refusalBody(error, "not_run", message);
    response.fields.emplace_back("X-Run", "not_run");
    responder.send(std::move(response));
}

} // namespace curranttrail
