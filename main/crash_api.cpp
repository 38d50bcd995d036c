#include "main/crash_api.h"

#include "main/feed_events.h"
#include "main/leader_redirect.h"
#include "policy/crash_table.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <utility>

namespace curranttrail {

namespace json = boost::json;

namespace {
    constexpr std::string_view kPath = "/v1/crashes";

    std::int64_t ageMillis(TimePoint time, TimePoint now)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(now - time).count();
    }

    json::object describe(const policy::CrashRecord& record, TimePoint now)
    {
        json::array ends;
        for (const policy::ServerEnd& end : record.ends)
            ends.push_back(json::object { { "server", end.server }, { "collection", end.collection }, { "reporter", end.reporter }, { "age_ms", ageMillis(end.at, now) }, { "answered_since", end.answeredSince } });
        const std::string_view standing = nameOf(policy::kRequestStandingNames, policy::standingOf(record));
        return { { "fingerprint", record.request.text() }, { "standing", json::string_view { standing.data(), standing.size() } }, { "arrival_age_ms", ageMillis(record.lastArrival, now) }, { "ends", std::move(ends) } };
    }
} // namespace

CrashApi::CrashApi(ControlRuntime& runtime, transport::EventLoop& loop, FeedPublisher& publisher, transport::EventSink& sink, std::uint16_t port)
    : m_runtime(runtime)
    , m_loop(loop)
    , m_publisher(publisher)
    , m_sink(sink)
    , m_port(port)
{
}

void CrashApi::addRoutes(transport::HttpRouter& router)
{
    router.add("GET", std::string { kPath }, [this](const transport::HttpRequest& request, const transport::Responder& responder) {
        onLeader(request.path, responder, [this] { return list(); });
    });
    router.add("DELETE", fmt::format("{}/*", kPath), [this](const transport::HttpRequest& request, const transport::Responder& responder) {
        const std::string fingerprint = request.path.substr(kPath.size() + 1);
        onLeader(request.path, responder, [this, fingerprint, client = request.client] { return release(fingerprint, client); });
    });
}

// Answers on the event loop's thread if this replica leads.
void CrashApi::onLeader(const std::string& path, const transport::Responder& responder, std::function<transport::HttpResponse()> answer)
{
    m_runtime.view([this, path, responder, answer = std::move(answer)](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        if (status.role == control::Role::Leader && status.leaseValid) {
            m_loop.post([responder, answer] { responder.send(answer()); });
            return;
        }
        responder.send(redirectToLeader(status.role == control::Role::Leader ? std::nullopt : status.leader, m_port, path));
    });
}

transport::HttpResponse CrashApi::list() const
{
    const TimePoint now = transport::monotonicNow();
    json::array requests;
    for (const policy::CrashRecord& record : m_publisher.crashes().records())
        requests.push_back(describe(record, now));
    transport::HttpResponse response;
    response.body = json::serialize(json::object { { "requests", std::move(requests) } });
    return response;
}

transport::HttpResponse CrashApi::release(const std::string& fingerprint, const std::string& client)
{
    const std::optional<RequestFingerprint> request = parseFingerprint(fingerprint);
    if (!request)
        return refusal(400, "invalid", "a fingerprint has 32 hexadecimal digits");
    const bool isKnown = m_publisher.release(*request);
    m_sink.log(events::kRequestReleased, { { "fingerprint", fingerprint }, { "from", client }, { "known", isKnown ? "true" : "false" } });
    if (!isKnown)
        return refusal(404, "unknown_request", "no server ended under such a request");
    transport::HttpResponse response;
    response.body = json::serialize(json::object { { "released", fingerprint } });
    return response;
}

} // namespace curranttrail
