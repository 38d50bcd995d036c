#include "main/control_api.h"

#include "main/control_events.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <charconv>

namespace curranttrail {

namespace json = boost::json;
using transport::HttpRequest;
using transport::HttpResponse;
using transport::Responder;
using transport::SubmitResult;
using transport::SubmitStatus;

namespace {

    constexpr std::string_view kClassPath = "/v1/classes/";
    constexpr std::string_view kSegmentPath = "/v1/usage/segments/";
    // Longer than a failover and shorter than the timeout of the command line for one request.
    constexpr Micros kChangeTimeout { 4'000'000 };

    HttpResponse jsonResponse(unsigned status, const json::object& body)
    {
        HttpResponse response;
        response.status = status;
        response.body = json::serialize(body);
        return response;
    }

    HttpResponse refusal(unsigned status, std::string_view error, std::string_view message, std::string_view run = "not_run")
    {
        HttpResponse response;
        response.status = status;
        response.body = transport::refusalBody(error, run, message);
        return response;
    }

    json::array namesToJson(const std::set<InstanceName>& names)
    {
        return json::array(names.begin(), names.end());
    }

    // True if the replica is known to hold the newest committed configuration.
    bool isNewest(const control::ReplicaStatus& status)
    {
        return status.role == control::Role::Leader && status.leaseValid;
    }

    json::object centreToJson(const DataCentreVersions& centre)
    {
        json::object versions;
        for (const auto& [owner, counts] : centre.versions) {
            json::array rows;
            for (const auto& [version, instances] : counts)
                rows.push_back(json::object { { "version", version }, { "instances", instances } });
            versions[owner] = std::move(rows);
        }
        return { { "data_centre", centre.dataCentre }, { "instances", centre.reporting }, { "versions", std::move(versions) },
            { "not_reporting", json::array(centre.notReporting.begin(), centre.notReporting.end()) } };
    }

    json::object statusToJson(const control::ReplicaStatus& status)
    {
        return { { "role", nameOf(control::kRoleNames, status.role) }, { "term", status.term },
            { "leader", status.leader ? json::value(*status.leader) : json::value(nullptr) }, { "lease_valid", status.leaseValid },
            { "newest", isNewest(status) }, { "repairing", status.repairing }, { "storage_failed", status.storageFailed },
            { "last_index", status.lastIndex }, { "commit_index", status.commitIndex }, { "configuration_version", status.configurationVersion.value },
            { "voters", namesToJson(status.voters) }, { "learners", namesToJson(status.learners) } };
    }

} // namespace

HttpResponse changeResponse(const ClassChange& change, const SubmitResult& outcome)
{
    if (outcome.status == SubmitStatus::NotProposed)
        return refusal(503, "no_lease", fmt::format("the change was not proposed: {}", outcome.message));
    if (outcome.status == SubmitStatus::Unknown)
        return refusal(503, "outcome_unknown",
            fmt::format("the change may have been accepted ({}); send it again with the same change_id {} to learn its outcome", outcome.message,
                change.changeId),
            "may_have_run");
    const control::CommandResult& result = outcome.result;
    if (result.status == control::CommandStatus::Accepted)
        return jsonResponse(200,
            { { "class", change.target.name }, { "version", result.version.value }, { "change_id", change.changeId }, { "status", "accepted" } });
    if (result.status == control::CommandStatus::VersionConflict)
        return jsonResponse(409,
            { { "error", "version_conflict" }, { "run", "not_run" },
                { "message", fmt::format("expected version {}, the current one is {}", change.expectedVersion.value, result.version.value) },
                { "version", result.version.value } });
    if (result.status == control::CommandStatus::Invalid)
        return refusal(400, "invalid", result.message);
    return refusal(503, nameOf(control::kCommandStatusNames, result.status), result.message);
}

ControlApi::ControlApi(
    const ControlSettings& settings, transport::EventSink& sink, ControlRuntime& runtime, ControlLinks& links, const VersionReportTable& versionReports, UsageLedger* usage)
    : m_name(settings.name)
    , m_owner(settings.owner)
    , m_dataCentre(settings.dataCentre)
    , m_accounts(settings.operators)
    , m_sink(sink)
    , m_runtime(runtime)
    , m_links(links)
    , m_versionReports(versionReports)
    , m_usage(usage)
{
}

void ControlApi::addRoutes(transport::HttpRouter& router)
{
    add(router, "GET", "/v1/classes", &ControlApi::listClasses);
    add(router, "GET", "/v1/classes/*", &ControlApi::showClass);
    add(router, "PUT", "/v1/classes/*", &ControlApi::setClass);
    add(router, "GET", "/v1/status", &ControlApi::showStatus);
    add(router, "GET", "/v1/usage/bill", &ControlApi::showBill);
    add(router, "GET", "/v1/usage/segments/*", &ControlApi::sendUsageSegment);
}

void ControlApi::add(transport::HttpRouter& router, std::string method, std::string path, Handler handler)
{
    router.add(std::move(method), std::move(path), [this, handler](const HttpRequest& request, const Responder& responder) {
        const OperatorAccount* account = m_accounts.find(request.field("Authorization"));
        if (!account) {
            logRefused(request, "", "no valid token");
            responder.send(refusal(401, "not_authenticated", "a valid bearer token is required"));
            return;
        }
        (this->*handler)(request, *account, responder);
    });
}

void ControlApi::listClasses(const HttpRequest&, const OperatorAccount&, const Responder& responder)
{
    m_runtime.view([this, responder](const control::ControlReducer& reducer, TimePoint now) {
        const OwnerConfiguration& configuration = reducer.state().configuration;
        json::array classes;
        for (const auto& [name, target] : configuration.classes)
            classes.push_back(classToJson(target));
        responder.send(jsonResponse(200,
            { { "owner", m_owner }, { "version", configuration.version.value }, { "newest", isNewest(reducer.status(now)) },
                { "classes", std::move(classes) } }));
    });
}

void ControlApi::showClass(const HttpRequest& request, const OperatorAccount&, const Responder& responder)
{
    m_runtime.view([name = request.path.substr(kClassPath.size()), responder](const control::ControlReducer& reducer, TimePoint now) {
        const OwnerConfiguration& configuration = reducer.state().configuration;
        const bool newest = isNewest(reducer.status(now));
        const auto it = configuration.classes.find(name);
        if (it == configuration.classes.end()) {
            responder.send(jsonResponse(404,
                { { "error", "unknown_class" }, { "run", "not_run" }, { "message", fmt::format("class {} does not exist", name) },
                    { "newest", newest } }));
            return;
        }
        json::object body = classToJson(it->second);
        body["newest"] = newest;
        responder.send(jsonResponse(200, body));
    });
}

void ControlApi::setClass(const HttpRequest& request, const OperatorAccount& account, const Responder& responder)
{
    if (account.owner != m_owner) {
        logRefused(request, account.name, "the classes belong to another owner");
        responder.send(refusal(403, "wrong_owner", fmt::format("{} may change only classes of {}", account.name, account.owner)));
        return;
    }
    std::string error;
    std::optional<ClassChange> change = readClassChange(request.body, error);
    if (!change) {
        responder.send(refusal(400, "malformed", error));
        return;
    }
    change->target.name = request.path.substr(kClassPath.size());
    change->target.owner = m_owner;
    std::vector<EventField> audit { { "operator", account.name }, { "class", change->target.name }, { "change", change->changeId },
        { "expected_version", std::to_string(change->expectedVersion.value) } };
    m_sink.log(events::kChangeRequested, audit);
    m_links.submit(control::SetClass { change->changeId, change->expectedVersion, change->target }, kChangeTimeout,
        [this, responder, change = *change, audit = std::move(audit)](const SubmitResult& outcome) mutable {
            const HttpResponse response = changeResponse(change, outcome);
            audit.push_back({ "status", std::to_string(response.status) });
            audit.push_back({ "version", std::to_string(outcome.result.version.value) });
            m_sink.log(events::kChangeAnswered, std::move(audit));
            responder.send(response);
        });
}

void ControlApi::showStatus(const HttpRequest&, const OperatorAccount&, const Responder& responder)
{
    m_runtime.view([this, responder](const control::ControlReducer& reducer, TimePoint now) {
        json::object body { { "instance", m_name }, { "owner", m_owner }, { "data_centre", m_dataCentre } };
        for (json::key_value_pair& pair : statusToJson(reducer.status(now)))
            body[pair.key()] = pair.value();
        json::array centres;
        for (const DataCentreVersions& centre : m_versionReports.summary(now))
            centres.push_back(centreToJson(centre));
        body["in_force"] = std::move(centres);
        responder.send(jsonResponse(200, body));
    });
}

void ControlApi::showBill(const HttpRequest&, const OperatorAccount&, const Responder& responder)
{
    if (!m_usage) {
        responder.send(refusal(404, "no_ledger", "this instance keeps no usage ledger"));
        return;
    }
    m_usage->view([this, responder](const usage::Ledger& ledger, UsageJournal&) {
        json::array lines;
        for (const auto& [key, units] : ledger.bill())
            lines.push_back(json::object { { "caused_by", key.causedBy }, { "served_by", key.servedBy }, { "class", key.className },
                { "subqueries", units.subqueries }, { "server_us", units.serverMicros }, { "bytes", units.bytes } });
        responder.send(jsonResponse(200,
            { { "instance", m_name }, { "owner", m_owner }, { "bill", std::move(lines) }, { "gaps", ledger.gaps().size() },
                { "rejected", ledger.rejected() } }));
    });
}

void ControlApi::sendUsageSegment(const HttpRequest& request, const OperatorAccount&, const Responder& responder)
{
    std::uint64_t number = 0;
    const std::string_view text = std::string_view { request.path }.substr(kSegmentPath.size());
    const std::from_chars_result parsed = std::from_chars(text.data(), text.data() + text.size(), number);
    if (!m_usage || parsed.ec != std::errc {}) {
        responder.send(refusal(404, "no_ledger", "this instance keeps no usage ledger, or the number is malformed"));
        return;
    }
    m_usage->view([number, responder](const usage::Ledger&, UsageJournal& journal) {
        const std::optional<std::string> bytes = journal.segment(number);
        if (!bytes) {
            responder.send(refusal(404, "no_segment", "the ledger has no segment with this number"));
            return;
        }
        HttpResponse response;
        response.contentType = "application/octet-stream";
        response.body = *bytes;
        responder.send(response);
    });
}

void ControlApi::logRefused(const HttpRequest& request, const std::string& account, std::string_view reason)
{
    m_sink.log(events::kOperatorRefused,
        { { "operator", account }, { "client", request.client }, { "method", request.method }, { "path", request.path },
            { "reason", std::string { reason } } });
}

} // namespace curranttrail
