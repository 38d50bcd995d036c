#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

#include <algorithm>
#include <string>
#include <vector>

namespace curranttrail::routing {

namespace {
    // The servers of a data centre return to the instances at random moments within this time.
    constexpr Micros kMaximumReturnDelay { 1'500'000 };
} // namespace

void Router::on(const EvacuationsChanged& event)
{
    const EvacuationSet::Change change = m_servers.evacuations().update(
        event.dataCentres, [this] { return randomDelay(Micros { 0 }, kMaximumReturnDelay); }, m_now);
    if (change.isEmpty())
        return;
    for (const DataCentreName& dataCentre : change.withdrawn)
        log(events::kEvacuationWithdrawn, { { "data_centre", dataCentre } });
    const std::vector<Server*> withdrawn = m_servers.applyEvacuations();
    for (const DataCentreName& dataCentre : change.evacuated) {
        const auto servers = std::count_if(withdrawn.begin(), withdrawn.end(), [&](const Server* server) { return server->record.dataCentre == dataCentre; });
        log(events::kEvacuationApplied, { { "data_centre", dataCentre }, { "servers", fmt::to_string(servers) }, { "in_flight", fmt::to_string(attemptsToEvacuated()) } });
    }
    // The quotas of the other servers grow before the waiting attempts move to them.
    updateQuotasAndBudgets();
    for (Server* server : withdrawn)
        withdraw(*server);
    warmConnections();
}

// Lets the servers return whose data centre is no longer evacuated, once this instance's delay has passed.
void Router::endEvacuations()
{
    const std::vector<DataCentreName> returned = m_servers.evacuations().takeReturned(m_now);
    if (returned.empty())
        return;
    m_servers.applyEvacuations();
    for (const DataCentreName& dataCentre : returned)
        log(events::kEvacuationEnded, { { "data_centre", dataCentre } });
    updateQuotasAndBudgets();
}

bool Router::isEvacuated(const std::string& address) const
{
    return !m_servers.evacuations().isEmpty() && std::any_of(m_servers.all().begin(), m_servers.all().end(), [&](const auto& entry) { return entry.second->record.address == address && entry.second->isEvacuated; });
}

std::size_t Router::attemptsToEvacuated() const
{
    if (m_servers.evacuations().isEmpty())
        return 0;
    return static_cast<std::size_t>(std::count_if(m_attempts.begin(), m_attempts.end(), [](const auto& entry) { return entry.second.server->isEvacuated && entry.second.connection; }));
}

} // namespace curranttrail::routing
