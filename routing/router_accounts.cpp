#include "routing/router.h"

namespace curranttrail::routing {

// Where the document names client accounts, a request needs the key of one unless its route is public.
Router::Identification Router::identify(const RequestArrived& event, const Route& route) const
{
    if (!m_table->hasAccounts())
        return {};
    const ClientAccount* account = findAccount(event.keyDigest);
    if (account || route.isPublic)
        return { account, std::nullopt };
    // A newer document may have the key.
    return { nullptr, isDocumentConfirmed() ? RefusalReason::UnknownKey : RefusalReason::DocumentUnconfirmed };
}

void Router::refuseUnidentified(const RequestArrived& event, RefusalReason reason)
{
    refuseUnrouted(event, reason, reason == RefusalReason::UnknownKey ? std::nullopt : std::optional<Micros> { retryAfterControl() });
}

std::uint32_t Router::priorityOf(const Route& route, const ClientAccount* account)
{
    return account ? account->priority.value_or(route.priority) : route.priority;
}

} // namespace curranttrail::routing
