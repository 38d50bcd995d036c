#include "main/gateway_metrics.h"

#include <fmt/format.h>

#include <string_view>

namespace curranttrail {

std::string routerMetricsText(const routing::Router& router)
{
    const routing::RouterCounters& counters = router.counters();
    std::string text;
    const auto add = [&text](std::string_view name, std::string_view labels, std::uint64_t value) { text += fmt::format("curranttrail_{}{} {}\n", name, labels, value); };
    add("requests_total", "", counters.arrived);
    add("answers_total", "", counters.answered);
    add("late_answers_total", "", counters.late);
    add("partial_answers_total", "", counters.partial);
    add("abandoned_requests_total", "", counters.abandoned);
    for (const EnumName<routing::RefusalReason>& row : routing::kRefusalReasonNames)
        add("refusals_total", fmt::format("{{reason=\"{}\"}}", row.name), counters.refused[static_cast<std::size_t>(row.value)]);
    add("attempts_total", "", counters.attempts);
    for (const EnumName<routing::AttemptReason>& row : routing::kAttemptReasonNames) {
        const std::size_t reason = static_cast<std::size_t>(row.value);
        add("attempts_by_place_total", fmt::format("{{reason=\"{}\",place=\"own\"}}", row.name), counters.attemptsAtHome[reason]);
        add("attempts_by_place_total", fmt::format("{{reason=\"{}\",place=\"other\"}}", row.name), counters.attemptsElsewhere[reason]);
    }
    add("repeats_total", "", counters.additionalAttempts);
    add("repeats_denied_total", "", counters.additionalAttemptsDenied);
    add("failed_attempts_total", "", counters.attemptsFailed);
    add("server_connections_opened_total", "", counters.connectionsOpened);
    add("held_back_total", "", counters.heldBack);
    add("limited_servers", "", counters.limitedServers);
    add("cold_servers", "", counters.coldServers);
    add("narrow_servers", "", counters.narrowServers);
    add("slow_servers", "", counters.slowServers);
    text += fmt::format("curranttrail_cold_requests_per_second {:.3f}\n", counters.coldRequestsPerSecond);
    add("server_connections_relayed_total", "", counters.connectionsRelayed);
    const policy::QuotaCounters& quotas = router.quotas().counters();
    add("quota_credits_granted_total", "", quotas.granted);
    for (const EnumName<policy::QuotaSource>& row : policy::kQuotaSourceNames)
        add("quota_admissions_total", fmt::format("{{source=\"{}\"}}", row.name), quotas.used[static_cast<std::size_t>(row.value)]);
    add("quota_given_back_total", "", quotas.givenBack);
    add("quota_credits_expired_total", "", quotas.expired);
    add("quota_reports_total", "", quotas.reports);
    add("servers_ended_total", "", counters.serversEnded);
    add("crash_records", "", router.crashes().size());
    add("requests_in_flight", "", router.requestsInFlight());
    text += fmt::format("curranttrail_least_room {:.3f}\n", router.leastRoom());
    add("evacuated_data_centres", "", router.servers().evacuations().size());
    add("attempts_to_evacuated", "", router.attemptsToEvacuated());
    add("document_version", "", router.documentVersion());
    return text;
}

} // namespace curranttrail
