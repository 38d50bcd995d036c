#pragma once

#include "main/operator_accounts.h"
#include "query/messages.h"
#include "transport/http_server.h"
#include "transport/metrics.h"

#include <functional>
#include <mutex>
#include <string>
#include <unordered_map>

namespace curranttrail {

// The endpoint POST /v1/query: authenticates callers, decodes their queries for the reducer and sends them the reducer's answers.
class QueryApi {
public:
    // Posts an event to the reducer, from any thread.
    using EventCallback = std::function<void(query::Event)>;

    QueryApi(std::vector<OperatorAccount> callers, transport::Metrics& metrics, EventCallback post);

    void handle(const transport::HttpRequest& request, const transport::Responder& responder);
    void answer(const query::SendAnswer& answer);
    void refuse(const query::SendRefusal& refusal);
    // Number of queries without an answer.
    std::size_t pending() const;
    // Refuses all queries that are still pending. Used when draining has timed out.
    void refusePending();

private:
    struct Pending {
        transport::Responder responder;
        std::chrono::steady_clock::time_point arrived;
        ClassName className;
    };

    void respond(QueryId query, transport::HttpResponse response, std::string_view outcome);
    static void sendError(const transport::Responder& responder, unsigned status, std::string_view error, std::string_view message);

    const OperatorAccounts m_callers;
    transport::Metrics& m_metrics;
    EventCallback m_post;
    mutable std::mutex m_mutex;
    std::uint64_t m_lastQuery = 0;
    std::unordered_map<QueryId, Pending> m_pending;
};

} // namespace curranttrail
