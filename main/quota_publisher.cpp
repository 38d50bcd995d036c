#include "main/quota_publisher.h"

#include "control/control_reducer.h"
#include "control/quota_messages.h"
#include "main/feed_events.h"
#include "platform/route_document_json.h"

#include <fmt/format.h>

#include <utility>

namespace curranttrail {

namespace {
    // An account counts as reopened in the log if it has not been at its limit for this time.
    constexpr Micros kReopenedLogDelay { 1'000'000 };
}

QuotaPublisher::QuotaPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink, std::function<void()> limitsChanged)
    : m_loop(loop)
    , m_runtime(runtime)
    , m_sink(sink)
    , m_limitsChanged(std::move(limitsChanged))
{
}

void QuotaPublisher::report(policy::QuotaReport report, transport::FrameResponder respond)
{
    m_runtime.view([this, report = std::move(report), respond = std::move(respond)](const control::ControlReducer& reducer, TimePoint now) {
        const control::ReplicaStatus status = reducer.status(now);
        const std::uint64_t term = status.role == control::Role::Leader && status.leaseValid ? status.term : 0;
        m_loop.post([this, report, respond, term] {
            if (term == 0 || term != m_term || !m_ledger.hasQuotas()) {
                respond({});
                return;
            }
            respond(control::encodeQuotaReply(m_ledger.handle(report, transport::monotonicNow())));
            publishLimits();
        });
    });
}

void QuotaPublisher::publishLimits()
{
    if (std::exchange(m_limitRevision, m_ledger.limitRevision()) != m_ledger.limitRevision())
        m_limitsChanged();
}

void QuotaPublisher::documentChanged()
{
    m_loop.post([this] { load(); });
}

void QuotaPublisher::leaderChanged(const control::LeaderChanged& change)
{
    m_loop.post([this, change] {
        m_term = change.leads ? change.term : 0;
        m_ledger.beginTerm(transport::monotonicNow());
        load();
    });
}

// Only the leader needs the quotas.
void QuotaPublisher::load()
{
    if (m_term == 0)
        return;
    m_runtime.view([this, held = m_documentVersion](const control::ControlReducer& reducer, TimePoint) {
        const control::CommittedDocument& document = reducer.state().document;
        if (document.version > held)
            m_loop.post([this, document] { apply(document); });
    });
}

void QuotaPublisher::apply(const control::CommittedDocument& document)
{
    if (document.version <= m_documentVersion)
        return;
    m_documentVersion = document.version;
    const std::vector<routing::ClientAccount> accounts = platform::decodeAccounts(document.content);
    m_accounts.clear();
    for (const routing::ClientAccount& account : accounts)
        m_accounts[policy::accountIdOf(account.name)] = account;
    m_ledger.configure(routing::quotasOf(accounts), transport::monotonicNow());
}

std::optional<std::vector<policy::AccountId>> QuotaPublisher::limited() const
{
    if (m_term == 0 || !m_ledger.hasQuotas())
        return std::nullopt;
    return std::vector<policy::AccountId>(m_ledger.limited().begin(), m_ledger.limited().end());
}

void QuotaPublisher::log(const EventDescription& description, policy::AccountId id)
{
    // A newer document may have dropped the account.
    const auto it = m_accounts.find(id);
    if (it == m_accounts.end())
        return;
    m_sink.log(description, { { "account", it->second.name }, { "per_second", fmt::format("{}", it->second.requestsPerSecond) }, { "burst", fmt::format("{}", it->second.burst) }, { "limited", fmt::to_string(m_ledger.limited().size()) } });
}

// An account that asks for more than its quota is at its limit again and again, and logged once.
void QuotaPublisher::logLimits()
{
    const TimePoint now = transport::monotonicNow();
    for (const policy::AccountId id : m_ledger.limited()) {
        if (m_loggedLimits.insert_or_assign(id, now).second)
            log(events::kAccountLimited, id);
    }
    std::erase_if(m_loggedLimits, [&](const auto& logged) {
        const bool isOver = now - logged.second >= kReopenedLogDelay;
        if (isOver)
            log(events::kAccountReopened, logged.first);
        return isOver;
    });
}

void QuotaPublisher::tick(transport::Metrics& metrics)
{
    if (!m_ledger.hasQuotas())
        return;
    m_ledger.update(transport::monotonicNow());
    publishLimits();
    logLimits();
    const policy::QuotaLedgerCounters& counters = m_ledger.counters();
    const auto set = [&metrics](const char* name, const char* help, std::uint64_t value) { metrics.gauge(name, help).set(static_cast<double>(value)); };
    set("curranttrail_accounts_limited", "Client accounts that are at their limits.", m_ledger.limited().size());
    set("curranttrail_quota_reports", "Reports of quotas that this instance answered as the leader.", counters.reports);
    set("curranttrail_quota_credits_granted", "Credits granted to entry instances.", counters.granted);
    set("curranttrail_quota_credits_denied", "Credits that entry instances wanted and did not get.", counters.denied);
    set("curranttrail_quota_credits_returned", "Credits that expired unused and were taken back.", counters.returned);
    set("curranttrail_quota_overdrafts", "Requests that entry instances admitted without a credit.", counters.overdrawn);
}

} // namespace curranttrail
