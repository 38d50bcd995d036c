#include "usage/events.h"
#include "usage/ledger.h"

#include <algorithm>

namespace curranttrail::usage {

namespace {

    constexpr std::size_t kMaximumRangeTransfers = 8;
    constexpr std::size_t kMaximumPendingReads = 16;
    constexpr std::size_t kMaximumSentHeads = 32;

} // namespace

void Ledger::onMessage(const InstanceName& from, const LedgerHeads& heads, TimePoint now)
{
    if (heads.ledger != from || !isSignedBy(heads, m_options.peers.at(from).key)) {
        reject(from, "ledger heads name another ledger or have an invalid signature");
        return;
    }
    CounterSignature counter;
    counter.ledger = m_options.name;
    counter.digest = digestOf(heads);
    for (std::size_t n = 0; n < heads.chains.size(); ++n) {
        if (hasSameRecord(heads.chains[n]))
            counter.matched.push_back(static_cast<std::uint16_t>(n));
        requestMissingRecords(from, heads.chains[n], now);
    }
    if (counter.matched.empty())
        return;
    sign(counter, m_options.key);
    m_effects.emplace_back(SendToLedger { from, std::move(counter) });
}

void Ledger::onMessage(const InstanceName& from, const CounterSignature& counter, TimePoint)
{
    const std::deque<LedgerHeads>::const_iterator heads = std::find_if(m_sentHeads.begin(), m_sentHeads.end(),
        [&counter](const LedgerHeads& sent) { return digestOf(sent) == counter.digest; });
    if (heads == m_sentHeads.end())
        return;
    if (counter.ledger != from || !isSignedBy(counter, m_options.peers.at(from).key)) {
        reject(from, "counter-signature names another ledger or has an invalid signature");
        return;
    }
    for (std::uint16_t index : counter.matched) {
        if (index >= heads->chains.size())
            continue;
        std::uint64_t& number = m_counterSigned[from][heads->chains[index].chain];
        number = std::max(number, heads->chains[index].number);
    }
    log(events::kHeadsCounterSigned, { { "by", from }, { "chains", std::to_string(counter.matched.size()) } });
    m_pendingEntries.emplace_back(CounterSignedHeads { *heads, counter });
}

void Ledger::onMessage(const InstanceName& from, const RangeRequest& request, TimePoint)
{
    if (m_pendingReads.size() >= kMaximumPendingReads || request.first == 0 || request.last < request.first)
        return;
    const std::uint64_t token = m_nextToken++;
    m_pendingReads.emplace(token, PendingRead { from, request.chain, request.first });
    const std::uint64_t last = std::min(request.last, request.first + kMaximumRangeRecords - 1);
    m_effects.emplace_back(ReadRecords { token, request.chain, request.first, last });
}

void Ledger::onMessage(const InstanceName& from, const RangeReply& reply, TimePoint now)
{
    const std::map<ChainId, RangeTransfer>::iterator it = m_rangeTransfers.find(reply.chain);
    if (it == m_rangeTransfers.end() || it->second.peer != from || it->second.first != reply.first)
        return;
    std::uint64_t next = reply.first;
    for (const SignedRecord& record : reply.records) {
        if (record.record.chain != reply.chain)
            continue;
        receiveRecord(record);
        next = std::max(next, record.record.number + 1);
    }
    m_chainsToAcknowledge.insert(reply.chain);
    if (next == reply.first || next > it->second.last) {
        if (next == reply.first)
            m_gapRetryAt[reply.chain] = now + m_options.gapRetryInterval;
        m_rangeTransfers.erase(it);
        return;
    }
    sendRangeRequest(reply.chain, it->second, next, now);
}

void Ledger::exchangeHeads()
{
    for (const std::pair<const InstanceName, LedgerPeer>& peer : m_options.peers) {
        LedgerHeads heads;
        heads.ledger = m_options.name;
        ChainId& cursor = m_exchangeCursor[peer.first];
        std::map<ChainId, ChainState>::const_iterator it = m_chains.upper_bound(cursor);
        for (std::size_t n = 0; n < m_chains.size() && heads.chains.size() < kMaximumExchangedHeads; ++n) {
            if (it == m_chains.end())
                it = m_chains.begin();
            const ChainState& state = it->second;
            const std::uint64_t number = state.next - 1;
            // Only persisted records are attested.
            const bool persisted = m_volatileStates[it->first].persisted == number;
            if (number > 0 && persisted && counterSigned(peer.first, it->first) < number)
                heads.chains.push_back({ it->first, number, state.last, state.totals });
            cursor = it->first;
            ++it;
        }
        if (heads.chains.empty())
            continue;
        heads.sequence = m_nextSequence++;
        sign(heads, m_options.key);
        m_sentHeads.push_back(heads);
        if (m_sentHeads.size() > kMaximumSentHeads)
            m_sentHeads.pop_front();
        m_effects.emplace_back(SendToLedger { peer.first, std::move(heads) });
    }
}

void Ledger::requestMissingRecords(const InstanceName& peer, const ChainHead& peerHead, TimePoint now)
{
    if (!keyOf(peerHead.chain) || m_rangeTransfers.contains(peerHead.chain) || m_rangeTransfers.size() >= kMaximumRangeTransfers)
        return;
    const std::map<ChainId, ChainState>::const_iterator it = m_chains.find(peerHead.chain);
    const std::uint64_t next = it == m_chains.end() ? 1 : it->second.next;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    if (peerHead.number >= next) {
        first = next;
        last = peerHead.number;
    } else if (it != m_chains.end() && !it->second.gaps.empty() && now >= m_gapRetryAt[peerHead.chain]) {
        first = it->second.gaps.front().next;
        last = it->second.gaps.front().notice.notice.last;
    }
    if (first == 0)
        return;
    RangeTransfer& request = m_rangeTransfers[peerHead.chain];
    request.peer = peer;
    request.last = last;
    log(events::kCatchUp, { { "from", nameOf(peerHead.chain, first) }, { "to", std::to_string(last) }, { "ledger", peer } });
    sendRangeRequest(peerHead.chain, request, first, now);
}

void Ledger::sendRangeRequest(const ChainId& chain, RangeTransfer& request, std::uint64_t first, TimePoint now)
{
    request.first = first;
    request.expiresAt = now + m_options.requestTimeout;
    m_effects.emplace_back(SendToLedger { request.peer, RangeRequest { chain, first, std::min(request.last, first + kMaximumRangeRecords - 1) } });
}

bool Ledger::hasSameRecord(const ChainHead& peerHead)
{
    const std::map<ChainId, VolatileChainState>::const_iterator it = m_volatileStates.find(peerHead.chain);
    if (it == m_volatileStates.end() || it->second.persisted < peerHead.number)
        return false;
    for (const std::pair<std::uint64_t, Hash>& recent : it->second.recentHashes) {
        if (recent.first != peerHead.number)
            continue;
        if (recent.second != peerHead.hash)
            log(events::kHeadConflict, { { "record", nameOf(peerHead.chain, peerHead.number) }, { "here", shortHex(recent.second) }, { "there", shortHex(peerHead.hash) } });
        return recent.second == peerHead.hash;
    }
    return false;
}

} // namespace curranttrail::usage
