#include "usage/ledger.h"

#include "usage/events.h"

#include <algorithm>
#include <utility>

namespace curranttrail::usage {

Ledger::Ledger(LedgerOptions options)
    : m_options(std::move(options))
{
}

void Ledger::restore(const LedgerCheckpoint& checkpoint)
{
    m_entries = checkpoint.entries;
    for (const ChainCheckpoint& chain : checkpoint.chains) {
        m_chains[chain.chain] = chain.state;
        m_volatileStates[chain.chain].persisted = chain.state.next - 1;
        addRecentHash(chain.chain, chain.state.next - 1, chain.state.last);
    }
    for (const BillLine& line : checkpoint.bill)
        m_bill[line.key] = line.units;
}

LedgerCheckpoint Ledger::checkpoint() const
{
    LedgerCheckpoint checkpoint;
    checkpoint.entries = m_entries;
    for (const std::pair<const ChainId, ChainState>& entry : m_chains)
        checkpoint.chains.push_back({ entry.first, entry.second });
    for (const std::pair<const UsageKey, BillableUnits>& entry : m_bill)
        checkpoint.bill.push_back({ entry.first, entry.second });
    return checkpoint;
}

std::vector<LedgerEffect> Ledger::handle(const LedgerEvent& event, TimePoint now)
{
    m_effects.clear();
    std::visit([this, now](const auto& concreteEvent) { on(concreteEvent, now); }, event);
    if (now >= m_exchangeAt) {
        m_exchangeAt = now + m_options.exchangeInterval;
        std::erase_if(m_rangeTransfers, [now](const std::pair<const ChainId, RangeTransfer>& entry) { return now >= entry.second.expiresAt; });
        exchangeHeads();
    }
    persistPending();
    return std::move(m_effects);
}

std::vector<Gap> Ledger::gaps() const
{
    return collectGaps(m_chains);
}

std::uint64_t Ledger::counterSigned(const InstanceName& peer, const ChainId& chain) const
{
    const std::map<InstanceName, std::map<ChainId, std::uint64_t>>::const_iterator it = m_counterSigned.find(peer);
    if (it == m_counterSigned.end())
        return 0;
    const std::map<ChainId, std::uint64_t>::const_iterator number = it->second.find(chain);
    return number == it->second.end() ? 0 : number->second;
}

void Ledger::on(const BatchReceived& event, TimePoint)
{
    const Batch& batch = event.batch;
    if (!keyOf(batch.chain)) {
        reject(nameOf(batch.chain), "unknown instance");
        return;
    }
    // The head authenticates the sender before any state is created for its chain.
    if (batch.head.head.chain != batch.chain || !isSignedBy(batch.head, *keyOf(batch.chain))) {
        reject(nameOf(batch.chain), "head names another chain or has an invalid signature");
        return;
    }
    const auto isOtherChain = [&batch](const ChainId& chain) { return chain != batch.chain; };
    for (const SignedGapNotice& notice : batch.gaps) {
        if (!isOtherChain(notice.notice.chain))
            receiveGapNotice(notice);
    }
    for (const SignedRecord& record : batch.records) {
        if (!isOtherChain(record.record.chain))
            receiveRecord(record);
    }
    receiveHead(batch.head, !batch.records.empty());
    m_chainsToAcknowledge.insert(batch.chain);
}

void Ledger::on(const LedgerMessageReceived& event, TimePoint now)
{
    if (!m_options.peers.contains(event.from)) {
        reject(event.from, "unknown ledger");
        return;
    }
    std::visit([this, &event, now](const auto& message) { onMessage(event.from, message, now); }, event.message);
}

void Ledger::on(const EntriesPersisted& event, TimePoint)
{
    while (!m_unsyncedWrites.empty() && m_unsyncedWrites.begin()->first <= event.write) {
        for (const std::pair<const ChainId, std::uint64_t>& entry : m_unsyncedWrites.begin()->second) {
            VolatileChainState& volatileState = m_volatileStates[entry.first];
            volatileState.persisted = std::max(volatileState.persisted, entry.second);
            m_effects.emplace_back(Acknowledge { { entry.first, volatileState.persisted } });
        }
        m_unsyncedWrites.erase(m_unsyncedWrites.begin());
    }
}

void Ledger::on(const RecordsRead& event, TimePoint)
{
    const std::map<std::uint64_t, PendingRead>::iterator it = m_pendingReads.find(event.token);
    if (it == m_pendingReads.end())
        return;
    RangeReply reply { it->second.chain, it->second.first, event.records };
    if (reply.records.size() > kMaximumRangeRecords)
        reply.records.resize(kMaximumRangeRecords);
    m_effects.emplace_back(SendToLedger { it->second.peer, std::move(reply) });
    m_pendingReads.erase(it);
}

void Ledger::on(const LedgerTick&, TimePoint) { }

void Ledger::persistPending()
{
    std::map<ChainId, std::uint64_t> numbers;
    for (const ChainId& chain : m_chainsToAcknowledge) {
        const std::map<ChainId, ChainState>::const_iterator it = m_chains.find(chain);
        numbers[chain] = it == m_chains.end() ? 0 : it->second.next - 1;
    }
    m_chainsToAcknowledge.clear();
    if (m_pendingEntries.empty()) {
        // Without new entries, acknowledges the persisted records again. Unsynced records are acknowledged after their write.
        for (const std::pair<const ChainId, std::uint64_t>& entry : numbers)
            m_effects.emplace_back(Acknowledge { { entry.first, m_volatileStates[entry.first].persisted } });
        return;
    }
    m_entries += m_pendingEntries.size();
    const std::uint64_t write = m_nextWrite++;
    m_unsyncedWrites[write] = std::move(numbers);
    m_effects.emplace_back(PersistEntries { write, std::exchange(m_pendingEntries, {}) });
}

void Ledger::log(const EventDescription& description, std::vector<EventField> fields)
{
    m_effects.emplace_back(LogEvent { &description, std::move(fields) });
}

} // namespace curranttrail::usage
