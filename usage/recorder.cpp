#include "usage/recorder.h"

#include "usage/events.h"

#include <algorithm>

namespace curranttrail::usage {

namespace {

    // Exceeds the number of classes of any deployment. Records are sealed early when it is reached.
    constexpr std::size_t kMaximumUnsealedKeys = 4'096;

} // namespace

Recorder::Recorder(RecorderOptions options)
    : m_options(std::move(options))
    , m_chain { m_options.instance, m_options.incarnation }
{
    m_head.chain = m_chain;
    for (const OwnerName& owner : m_options.ledgers)
        m_ledgers[owner];
}

std::vector<RecorderEffect> Recorder::handle(const RecorderEvent& event, TimePoint now)
{
    m_effects.clear();
    if (!m_started) {
        m_started = true;
        m_sealedAt = now;
    }
    std::visit([this, now](const auto& concreteEvent) { on(concreteEvent, now); }, event);
    const bool sealsEarly = m_unsealedQueries >= m_options.earlySealQueries && now >= m_sealedAt + m_options.minimumSealInterval;
    if (!m_unsealed.empty() && (sealsEarly || m_unsealed.size() >= kMaximumUnsealedKeys || now >= m_sealedAt + sealInterval()))
        seal(now);
    sendDueBatches(now);
    return std::move(m_effects);
}

TimePoint Recorder::nextWakeup() const
{
    if (!m_started)
        return TimePoint {};
    if (m_stopped)
        return kNever;
    TimePoint next = kNever;
    if (!m_unsealed.empty())
        next = m_sealedAt + (m_unsealedQueries >= m_options.earlySealQueries ? m_options.minimumSealInterval : sealInterval());
    for (const std::pair<const OwnerName, LedgerState>& entry : m_ledgers) {
        const LedgerState& ledger = entry.second;
        next = std::min(next, ledger.headSentAt + m_options.headInterval);
        if (ledger.inFlightUpTo > 0)
            next = std::min(next, ledger.batchSentAt + m_options.resendTimeout);
    }
    return next;
}

BillableUnits Recorder::totals() const
{
    BillableUnits units = m_head.totals;
    units += unsealedUnits();
    return units;
}

void Recorder::on(const UsageObserved& observed, TimePoint)
{
    m_wallClock = std::max(m_wallClock, observed.at);
    UnsealedUsage& sum = m_unsealed[observed.key];
    if (sum.firstAt == 0)
        sum.firstAt = observed.at;
    sum.lastAt = std::max(sum.lastAt, observed.at);
    sum.units += observed.units;
    ++m_unsealedQueries;
}

void Recorder::on(const Acknowledged& acknowledged, TimePoint)
{
    const std::map<OwnerName, LedgerState>::iterator it = m_ledgers.find(acknowledged.ledger);
    const std::uint64_t number = acknowledged.acknowledgement.number;
    if (it == m_ledgers.end() || acknowledged.acknowledgement.chain != m_chain || number > m_head.number)
        return;
    LedgerState& ledger = it->second;
    ledger.acknowledged = std::max(ledger.acknowledged, number);
    if (ledger.inFlightUpTo <= ledger.acknowledged)
        ledger.inFlightUpTo = 0;
    std::erase_if(ledger.gaps, [&ledger](const GapNotice& gap) { return gap.last <= ledger.acknowledged; });
    releaseAcknowledged();
}

void Recorder::on(const StopRequested& request, TimePoint now)
{
    m_wallClock = std::max(m_wallClock, request.at);
    if (m_stopping)
        return;
    m_stopping = true;
    seal(now);
    Record closing;
    closing.kind = RecordKind::Closing;
    closing.firstAt = m_wallClock;
    closing.lastAt = m_wallClock;
    append(std::move(closing));
    m_effects.emplace_back(LogEvent { &events::kChainClosed, { { "chain", nameOf(m_chain) }, { "number", std::to_string(m_head.number) } } });
}

void Recorder::on(const RecorderTick& tick, TimePoint)
{
    m_wallClock = std::max(m_wallClock, tick.at);
}

void Recorder::seal(TimePoint now)
{
    m_sealedAt = now;
    for (std::pair<const UsageKey, UnsealedUsage>& entry : m_unsealed) {
        Record record;
        record.key = entry.first;
        record.units = entry.second.units;
        record.firstAt = entry.second.firstAt;
        record.lastAt = entry.second.lastAt;
        append(std::move(record));
    }
    m_effects.emplace_back(LogEvent { &events::kRecordsSealed, { { "chain", nameOf(m_chain) }, { "records", std::to_string(m_unsealed.size()) }, { "queries", std::to_string(m_unsealedQueries) } } });
    m_unsealed.clear();
    m_unsealedQueries = 0;
}

void Recorder::append(Record record)
{
    record.chain = m_chain;
    record.number = m_head.number + 1;
    record.previous = m_head.hash;
    m_head.number = record.number;
    m_head.hash = hashOf(record);
    m_head.totals += record.units;
    m_records.push_back(signRecord(record, m_options.key));
    if (m_records.size() > m_options.maximumUnacknowledgedRecords)
        dropOldest();
}

void Recorder::dropOldest()
{
    const Record& oldest = m_records.front().record;
    m_releasedTotals += oldest.units;
    for (std::pair<const OwnerName, LedgerState>& entry : m_ledgers) {
        if (entry.second.acknowledged < oldest.number)
            stateGap(entry.second, oldest);
    }
    if (!m_dropping)
        m_effects.emplace_back(LogEvent { &events::kRecordsDropped, { { "from", nameOf(m_chain, oldest.number) } } });
    m_dropping = true;
    m_records.pop_front();
}

void Recorder::stateGap(LedgerState& ledger, const Record& dropped) const
{
    // Extends the last gap if the dropped record directly follows it, so that an unreachable ledger needs only one notice.
    if (ledger.gaps.empty() || ledger.gaps.back().last + 1 != dropped.number) {
        GapNotice gap;
        gap.chain = m_chain;
        gap.first = dropped.number;
        gap.firstAt = dropped.firstAt;
        ledger.gaps.push_back(std::move(gap));
    }
    GapNotice& gap = ledger.gaps.back();
    gap.last = dropped.number;
    gap.lastHash = hashOf(dropped);
    gap.totals = m_releasedTotals;
    gap.lastAt = dropped.lastAt;
}

void Recorder::releaseAcknowledged()
{
    std::uint64_t acknowledgedByAll = m_head.number;
    for (const std::pair<const OwnerName, LedgerState>& entry : m_ledgers)
        acknowledgedByAll = std::min(acknowledgedByAll, entry.second.acknowledged);
    while (!m_records.empty() && m_records.front().record.number <= acknowledgedByAll) {
        m_releasedTotals += m_records.front().record.units;
        m_records.pop_front();
        m_dropping = false;
    }
    if (!m_stopping || m_stopped || acknowledgedByAll < m_head.number)
        return;
    m_stopped = true;
    m_effects.emplace_back(RecorderStopped {});
}

void Recorder::sendDueBatches(TimePoint now)
{
    if (m_stopped)
        return;
    for (std::pair<const OwnerName, LedgerState>& entry : m_ledgers) {
        LedgerState& ledger = entry.second;
        const bool hasUnsentRecords = ledger.inFlightUpTo == 0 && ledger.acknowledged < m_head.number;
        const bool isResendDue = ledger.inFlightUpTo > 0 && now >= ledger.batchSentAt + m_options.resendTimeout;
        const bool isHeadDue = now >= ledger.headSentAt + m_options.headInterval;
        if (hasUnsentRecords || isResendDue || isHeadDue)
            sendBatch(entry.first, ledger, now);
    }
}

void Recorder::sendBatch(const OwnerName& name, LedgerState& ledger, TimePoint now)
{
    Batch batch;
    batch.chain = m_chain;
    for (std::size_t n = 0; n < ledger.gaps.size() && n < kMaximumBatchGaps; ++n)
        batch.gaps.push_back(signGapNotice(ledger.gaps[n], m_options.key));
    const std::uint64_t oldest = m_records.empty() ? m_head.number + 1 : m_records.front().record.number;
    const std::size_t skip = ledger.acknowledged >= oldest ? ledger.acknowledged - oldest + 1 : 0;
    for (std::size_t n = skip; n < m_records.size() && batch.records.size() < kMaximumBatchRecords; ++n)
        batch.records.push_back(m_records[n]);
    Head head = m_head;
    head.unsealed = unsealedUnits();
    head.at = m_wallClock;
    batch.head = signHead(head, m_options.key);
    ledger.inFlightUpTo = batch.records.empty() ? (ledger.gaps.empty() ? 0 : ledger.gaps.back().last) : batch.records.back().record.number;
    ledger.batchSentAt = now;
    ledger.headSentAt = now;
    m_effects.emplace_back(SendBatch { name, std::move(batch) });
}

Micros Recorder::sealInterval() const
{
    return m_records.size() > m_options.maximumUnacknowledgedRecords / 4 ? m_options.backlogSealInterval : m_options.sealInterval;
}

BillableUnits Recorder::unsealedUnits() const
{
    BillableUnits units;
    for (const std::pair<const UsageKey, UnsealedUsage>& entry : m_unsealed)
        units += entry.second.units;
    return units;
}

} // namespace curranttrail::usage
