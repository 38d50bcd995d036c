#include "usage/events.h"
#include "usage/ledger.h"

#include <algorithm>

namespace curranttrail::usage {

namespace {

    constexpr std::size_t kMaximumRecentHashes = 64;

    void extendTimeRange(ChainState& state, UnixMillis first, UnixMillis last)
    {
        if (state.firstAt == 0 || first < state.firstAt)
            state.firstAt = first;
        state.lastAt = std::max(state.lastAt, last);
    }

    // Returns the index of the gap whose next missing record has the number, or the number of gaps if there is none.
    std::size_t findGap(const ChainState& state, std::uint64_t number)
    {
        return static_cast<std::size_t>(std::find_if(state.gaps.begin(), state.gaps.end(), [number](const OpenGap& gap) { return gap.next == number; }) - state.gaps.begin());
    }

} // namespace

void Ledger::replay(const JournalEntry& entry)
{
    ++m_entries;
    if (const SignedRecord* record = std::get_if<SignedRecord>(&entry)) {
        const ChainId& chain = record->record.chain;
        ChainState& state = m_chains[chain];
        if (record->record.number == state.next)
            apply(record->record);
        else if (const std::size_t gap = findGap(state, record->record.number); gap < state.gaps.size())
            applyGapRecord(state, gap, record->record);
        m_volatileStates[chain].persisted = state.next - 1;
    } else if (const SignedGapNotice* notice = std::get_if<SignedGapNotice>(&entry)) {
        applyGap(*notice);
        m_volatileStates[notice->notice.chain].persisted = m_chains[notice->notice.chain].next - 1;
    } else if (const SignedHead* head = std::get_if<SignedHead>(&entry)) {
        applyHead(*head);
    } else if (const CounterSignedHeads* heads = std::get_if<CounterSignedHeads>(&entry)) {
        for (std::uint16_t index : heads->counter.matched) {
            if (index < heads->heads.chains.size())
                m_counterSigned[heads->counter.ledger][heads->heads.chains[index].chain] = heads->heads.chains[index].number;
        }
        m_nextSequence = std::max(m_nextSequence, heads->heads.sequence + 1);
    }
}

void Ledger::receiveRecord(const SignedRecord& record)
{
    const ChainState& state = m_chains[record.record.chain];
    if (record.record.number > state.next) {
        bufferRecord(record);
        return;
    }
    if (record.record.number < state.next) {
        receiveEarlierRecord(record);
        return;
    }
    appendRecord(record);
    applyBufferedRecords(record.record.chain);
}

void Ledger::appendRecord(const SignedRecord& record)
{
    const ChainState& state = m_chains[record.record.chain];
    const PublicKey* key = keyOf(record.record.chain);
    const std::string name = nameOf(record.record.chain, record.record.number);
    if (!key) {
        reject(name, "unknown instance");
        return;
    }
    if (state.closed) {
        reject(name, "chain is closed");
        return;
    }
    if (record.record.previous != state.last) {
        reject(name, "hash of the previous record does not match");
        return;
    }
    if (!isSignedBy(record, *key)) {
        reject(name, "signature is invalid");
        return;
    }
    apply(record.record);
    m_pendingEntries.emplace_back(record);
}

void Ledger::applyBufferedRecords(const ChainId& chain)
{
    const std::map<ChainId, VolatileChainState>::iterator volatileState = m_volatileStates.find(chain);
    if (volatileState == m_volatileStates.end())
        return;
    std::map<std::uint64_t, SignedRecord>& bufferedRecords = volatileState->second.bufferedRecords;
    while (!bufferedRecords.empty() && bufferedRecords.begin()->first <= m_chains[chain].next) {
        const SignedRecord record = std::move(bufferedRecords.begin()->second);
        bufferedRecords.erase(bufferedRecords.begin());
        if (record.record.number == m_chains[chain].next)
            appendRecord(record);
    }
}

void Ledger::bufferRecord(const SignedRecord& record)
{
    std::map<std::uint64_t, SignedRecord>& bufferedRecords = m_volatileStates[record.record.chain].bufferedRecords;
    const auto hasBufferedRecords = [](const std::pair<const ChainId, VolatileChainState>& entry) { return !entry.second.bufferedRecords.empty(); };
    const bool tooManyChains = bufferedRecords.empty() && static_cast<std::size_t>(std::count_if(m_volatileStates.begin(), m_volatileStates.end(), hasBufferedRecords)) >= kMaximumBufferingChains;
    if (bufferedRecords.size() >= kMaximumBufferedRecords || tooManyChains) {
        log(events::kBufferedRecordDropped, { { "record", nameOf(record.record.chain, record.record.number) } });
        return;
    }
    bufferedRecords.insert_or_assign(record.record.number, record);
}

void Ledger::receiveEarlierRecord(const SignedRecord& record)
{
    ChainState& state = m_chains[record.record.chain];
    const std::uint64_t number = record.record.number;
    const Hash hash = hashOf(record.record);
    const std::size_t index = findGap(state, number);
    if (index == state.gaps.size()) {
        // The record is already applied. Two different signed records with one number prove that the instance is faulty.
        for (const std::pair<std::uint64_t, Hash>& recent : m_volatileStates[record.record.chain].recentHashes) {
            if (recent.first == number && recent.second != hash)
                log(events::kRecordConflict, { { "record", nameOf(record.record.chain, number) } });
        }
        return;
    }
    const OpenGap& gap = state.gaps[index];
    const PublicKey* key = keyOf(record.record.chain);
    const bool lastDiffers = number == gap.notice.notice.last && hash != gap.notice.notice.lastHash;
    if (!key || record.record.previous != gap.previousHash || lastDiffers || !isSignedBy(record, *key)) {
        reject(nameOf(record.record.chain, number), "record does not match the gap");
        return;
    }
    applyGapRecord(state, index, record.record);
    m_pendingEntries.emplace_back(record);
}

void Ledger::receiveGapNotice(const SignedGapNotice& notice)
{
    const ChainState& state = m_chains[notice.notice.chain];
    const GapNotice& gap = notice.notice;
    // Waits for the records before the gap if they are still in flight, and ignores notices about applied records.
    if (gap.first > state.next || gap.last < state.next || state.closed || state.gaps.size() >= kMaximumGaps)
        return;
    const PublicKey* key = keyOf(gap.chain);
    if (!key || !isSignedBy(notice, *key)) {
        reject(nameOf(gap.chain, gap.first), "signature of the gap notice is invalid");
        return;
    }
    applyGap(notice);
    m_pendingEntries.emplace_back(notice);
    log(events::kGapStated, { { "from", nameOf(gap.chain, gap.first) }, { "to", std::to_string(gap.last) }, { "subqueries", std::to_string(state.gaps.back().units.subqueries) } });
    applyBufferedRecords(gap.chain);
}

void Ledger::receiveHead(const SignedHead& head, bool withRecords)
{
    const ChainId& chain = head.head.chain;
    const ChainState& state = m_chains[chain];
    const Head& current = state.head.head;
    if (state.hasHead && std::pair(head.head.number, head.head.at) <= std::pair(current.number, current.at))
        return;
    applyHead(head);
    VolatileChainState& volatileState = m_volatileStates[chain];
    if (!withRecords && head.head.number == volatileState.persistedHead && head.head.at < volatileState.persistedHeadAt + m_options.idleHeadIntervalMillis)
        return;
    volatileState.persistedHead = head.head.number;
    volatileState.persistedHeadAt = head.head.at;
    m_pendingEntries.emplace_back(head);
}

void Ledger::apply(const Record& record)
{
    ChainState& state = m_chains[record.chain];
    state.last = hashOf(record);
    state.next = record.number + 1;
    state.totals += record.units;
    state.closed = record.kind == RecordKind::Closing;
    extendTimeRange(state, record.firstAt, record.lastAt);
    if (record.kind == RecordKind::Usage)
        m_bill[record.key] += record.units;
    addRecentHash(record.chain, record.number, state.last);
}

void Ledger::applyGapRecord(ChainState& state, std::size_t gap, const Record& record)
{
    OpenGap& openGap = state.gaps[gap];
    openGap.previousHash = hashOf(record);
    openGap.next = record.number + 1;
    openGap.units = openGap.units.saturatingDifference(record.units);
    m_bill[record.key] += record.units;
    if (openGap.next <= openGap.notice.notice.last)
        return;
    log(events::kGapFilled, { { "up_to", nameOf(record.chain, record.number) } });
    state.gaps.erase(state.gaps.begin() + static_cast<std::ptrdiff_t>(gap));
}

void Ledger::applyGap(const SignedGapNotice& notice)
{
    const GapNotice& gap = notice.notice;
    ChainState& state = m_chains[gap.chain];
    // Records of the range that are already applied are part of the chain totals and not of the gap.
    state.gaps.push_back({ notice, state.next, state.last, gap.totals.saturatingDifference(state.totals) });
    state.next = gap.last + 1;
    state.last = gap.lastHash;
    state.totals = gap.totals;
    extendTimeRange(state, gap.firstAt, gap.lastAt);
    addRecentHash(gap.chain, gap.last, gap.lastHash);
}

void Ledger::applyHead(const SignedHead& head)
{
    ChainState& state = m_chains[head.head.chain];
    state.hasHead = true;
    state.head = head;
    extendTimeRange(state, head.head.at, head.head.at);
}

void Ledger::addRecentHash(const ChainId& chain, std::uint64_t number, const Hash& hash)
{
    std::deque<std::pair<std::uint64_t, Hash>>& recentHashes = m_volatileStates[chain].recentHashes;
    recentHashes.emplace_back(number, hash);
    if (recentHashes.size() > kMaximumRecentHashes)
        recentHashes.pop_front();
}

const PublicKey* Ledger::keyOf(const ChainId& chain) const
{
    const std::map<InstanceName, PublicKey>::const_iterator it = m_options.instanceKeys.find(chain.instance);
    return it == m_options.instanceKeys.end() ? nullptr : &it->second;
}

void Ledger::reject(const std::string& what, std::string_view why)
{
    ++m_rejected;
    log(events::kRecordRejected, { { "what", what }, { "why", std::string { why } } });
}

} // namespace curranttrail::usage
