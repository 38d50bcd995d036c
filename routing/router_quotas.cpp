#include "routing/router.h"

#include <utility>

namespace curranttrail::routing {

// Admits a request on the quota of its account, or refuses it. Requests of accounts without a quota are admitted.
bool Router::admitByQuota(const RequestArrived& event, const ClientAccount* account, std::optional<policy::QuotaHold>& hold)
{
    if (!account || account->requestsPerSecond <= 0)
        return true;
    const policy::AccountId id = policy::accountIdOf(account->name);
    if (!m_quotas.isLimited(id))
        return true;
    hold = m_quotas.tryAcquire(id, m_now);
    if (hold)
        return true;
    refuseUnrouted(event, RefusalReason::QuotaUsedUp, retryAfterQuota(id), account->name);
    return false;
}

// The returns of an account's callers are spread evenly around the mean time until it may send another request.
Micros Router::retryAfterQuota(policy::AccountId id)
{
    const Micros mean = std::max(m_quotas.timeUntilNext(id), randomRetryAfter());
    return randomDelay(mean / 2, mean * 3 / 2);
}

// Gives back the admission of a request of which no server runs any part.
void Router::giveBackQuota(const Request& request)
{
    if (request.quota && verdictOf(request) == Verdict::NotRun)
        m_quotas.giveBack(*request.quota, m_now);
}

void Router::reportQuotas()
{
    if (std::optional<policy::QuotaReport> report = m_quotas.nextReport(m_now))
        m_effects.emplace_back(ReportQuotas { std::move(*report) });
}

void Router::on(const QuotasReplied& event)
{
    if (event.reply)
        m_quotas.onReply(*event.reply, m_now);
    else
        m_quotas.onNoReply(m_now);
}

} // namespace curranttrail::routing
