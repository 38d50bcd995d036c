#pragma once

#include "main/class_json.h"
#include "main/control_links.h"
#include "main/control_runtime.h"
#include "main/operator_accounts.h"
#include "main/usage_ledger.h"
#include "main/version_report_table.h"
#include "transport/http_router.h"

namespace curranttrail {

// Returns the response to a class change with the given outcome.
transport::HttpResponse changeResponse(const ClassChange& change, const transport::SubmitResult& outcome);

// The administration API: /v1/classes, /v1/classes/{name}, /v1/status, /v1/usage/bill and /v1/usage/segments/{number}.
// Every request needs a bearer token; every refusal has the fields error, run and message.
class ControlApi {
public:
    ControlApi(const ControlSettings& settings, transport::EventSink& sink, ControlRuntime& runtime, ControlLinks& links, const VersionReportTable& versionReports, UsageLedger* usage);

    // The handlers added to the router refer to this object.
    void addRoutes(transport::HttpRouter& router);

private:
    using Handler = void (ControlApi::*)(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);

    void add(transport::HttpRouter& router, std::string method, std::string path, Handler handler);
    void listClasses(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void showClass(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void setClass(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void showStatus(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void showBill(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void sendUsageSegment(const transport::HttpRequest& request, const OperatorAccount& account, const transport::Responder& responder);
    void logRefused(const transport::HttpRequest& request, const std::string& account, std::string_view reason);

    const InstanceName m_name;
    const OwnerName m_owner;
    const DataCentreName m_dataCentre;
    const OperatorAccounts m_accounts;
    transport::EventSink& m_sink;
    ControlRuntime& m_runtime;
    ControlLinks& m_links;
    const VersionReportTable& m_versionReports;
    // Null if this instance keeps no usage ledger.
    UsageLedger* m_usage;
};

} // namespace curranttrail
