#include "routing/router.h"

#include "routing/events.h"

#include <fmt/format.h>

namespace curranttrail::routing {

// Where the document names client accounts, a request needs the key of one unless its route is public.
Router::Identification Router::identify(const RequestArrived& event, const Route& route) const
{
    if (!m_table->hasAccounts())
        return {};
    const ClientAccount* account = findAccount(event.keyDigest);
    if (account && !areKeysConfirmed())
        return { nullptr, RefusalReason::KeyUnconfirmed };
    if (account || route.isPublic)
        return { account, std::nullopt };
    // A newer document may have the key.
    return { nullptr, isDocumentConfirmed() ? RefusalReason::UnknownKey : RefusalReason::DocumentUnconfirmed };
}

void Router::refuseUnidentified(const RequestArrived& event, RefusalReason reason)
{
    if (reason == RefusalReason::KeyUnconfirmed && !m_refusesKeys)
        logKeyLease(events::kKeysUnconfirmed);
    if (reason == RefusalReason::UnknownKey)
        refuseUnrouted(event, reason, std::nullopt);
    else
        // Keys are unconfirmed for so long at an instance that is cut off, while others serve the caller.
        refuseUnrouted(event, reason, reason == RefusalReason::KeyUnconfirmed ? randomRetryAfter() : retryAfterControl());
}

// Logs that requests are refused from now on because of unconfirmed keys, or no longer.
void Router::logKeyLease(const EventDescription& description)
{
    m_refusesKeys = &description == &events::kKeysUnconfirmed;
    std::vector<EventField> fields { { "confirmed_us_ago", fmt::to_string(m_keyLease->age(m_now + m_suspended).count()) } };
    appendControlState(fields);
    log(description, std::move(fields));
}

// What control confirmed before the suspension is older than the router's time says.
void Router::on(const ProcessSuspended& event)
{
    m_suspended += event.duration;
    if (m_controlContactAt)
        *m_controlContactAt -= event.duration;
    m_quotas.onSuspended(m_now);
    log(events::kProcessSuspended, { { "duration_us", fmt::to_string(event.duration.count()) } });
}

std::uint32_t Router::priorityOf(const Route& route, const ClientAccount* account)
{
    return account ? account->priority.value_or(route.priority) : route.priority;
}

} // namespace curranttrail::routing
