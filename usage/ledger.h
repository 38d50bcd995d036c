#pragma once

#include "core/units.h"
#include "usage/ledger_state.h"
#include "usage/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::usage {

// Another ledger of the same or the other owner.
struct LedgerPeer {
    OwnerName owner;
    PublicKey key;
};

struct LedgerOptions {
    // Name of the control instance that holds this ledger.
    InstanceName name;
    OwnerName owner;
    PrivateKey key;
    // Public keys of all instances that record usage, of both owners.
    std::map<InstanceName, PublicKey> instanceKeys;
    std::map<InstanceName, LedgerPeer> peers;
    // Interval between two exchanges of heads with the peers. Counter-signatures are persisted as evidence,
    // so it also bounds the journal growth that they cause.
    Micros exchangeInterval { std::chrono::seconds { 5 } };
    Micros requestTimeout { std::chrono::seconds { 2 } };
    // Time after which a gap that a peer could not fill is requested again.
    Micros gapRetryInterval { std::chrono::seconds { 60 } };
    // Interval at which heads without new records are persisted. A head that arrives with records is persisted with them.
    UnixMillis idleHeadIntervalMillis = 10'000;
};

// ---- Events ----

struct BatchReceived {
    Batch batch;
};

struct LedgerMessageReceived {
    InstanceName from;
    LedgerMessage message;
};

// The write with this number and all writes before it are synced.
struct EntriesPersisted {
    std::uint64_t write = 0;
};

// Result of ReadRecords: those of the requested records that the journal holds.
struct RecordsRead {
    std::uint64_t token = 0;
    std::vector<SignedRecord> records;
};

struct LedgerTick { };

using LedgerEvent = std::variant<BatchReceived, LedgerMessageReceived, EntriesPersisted, RecordsRead, LedgerTick>;

// ---- Effects ----

// Asks the driver to append the entries to the journal, sync it and report EntriesPersisted. Writes are numbered from 1.
struct PersistEntries {
    std::uint64_t write = 0;
    std::vector<JournalEntry> entries;
};

// Asks the driver to send the acknowledgement to the instance that records the chain.
struct Acknowledge {
    Acknowledgement acknowledgement;
};

struct SendToLedger {
    InstanceName to;
    LedgerMessage message;
};

// Asks the driver to read records of a chain from the journal, on behalf of another ledger, and report RecordsRead.
struct ReadRecords {
    std::uint64_t token = 0;
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

using LedgerEffect = std::variant<PersistEntries, Acknowledge, SendToLedger, ReadRecords, LogEvent>;

// Ledger of a control instance for usage accounting. Applies the records of every chain exactly once and in order, and compares
// chain heads with other ledgers. Acknowledges only persisted records. Keeps totals and chain heads in memory; the records are
// in the journal.
class Ledger {
public:
    // Limits of the reorder buffers: records of one chain, and chains that may have buffered records at the same time.
    static constexpr std::size_t kMaximumBufferedRecords = 256;
    static constexpr std::size_t kMaximumBufferingChains = 64;

    explicit Ledger(LedgerOptions options);

    // Rebuild the state at start, before the first event. Entries are replayed in the order in which they were persisted.
    void restore(const LedgerCheckpoint& checkpoint);
    void replay(const JournalEntry& entry);
    // Returns the state after all entries that were replayed or passed to the driver.
    LedgerCheckpoint checkpoint() const;

    std::vector<LedgerEffect> handle(const LedgerEvent& event, TimePoint now);
    TimePoint nextWakeup() const { return m_exchangeAt; }

    const Bill& bill() const { return m_bill; }
    std::vector<Gap> gaps() const;
    const std::map<ChainId, ChainState>& chains() const { return m_chains; }
    // Returns the record number up to which the peer has counter-signed a chain, or 0 if it has not.
    std::uint64_t counterSigned(const InstanceName& peer, const ChainId& chain) const;
    // Number of records, heads and messages that failed validation since the start.
    std::uint64_t rejected() const { return m_rejected; }

private:
    // State of a chain that is not part of checkpoints.
    struct VolatileChainState {
        std::map<std::uint64_t, SignedRecord> bufferedRecords;
        // Numbers and hashes of the latest records, to compare with the heads of peers that lag behind.
        std::deque<std::pair<std::uint64_t, Hash>> recentHashes;
        // Number of the last persisted record.
        std::uint64_t persisted = 0;
        // Number and time of the last persisted head.
        std::uint64_t persistedHead = 0;
        UnixMillis persistedHeadAt = 0;
    };

    // A transfer of missing records from a peer, in ranges of bounded size.
    struct RangeTransfer {
        InstanceName peer;
        // Last record number of the whole transfer.
        std::uint64_t last = 0;
        // First record number of the range that is currently requested.
        std::uint64_t first = 0;
        TimePoint expiresAt;
    };

    struct PendingRead {
        InstanceName peer;
        ChainId chain;
        std::uint64_t first = 0;
    };

    void on(const BatchReceived& event, TimePoint now);
    void on(const LedgerMessageReceived& event, TimePoint now);
    void on(const EntriesPersisted& event, TimePoint now);
    void on(const RecordsRead& event, TimePoint now);
    void on(const LedgerTick& event, TimePoint now);
    void onMessage(const InstanceName& from, const LedgerHeads& heads, TimePoint now);
    void onMessage(const InstanceName& from, const CounterSignature& counter, TimePoint);
    void onMessage(const InstanceName& from, const RangeRequest& request, TimePoint now);
    void onMessage(const InstanceName& from, const RangeReply& reply, TimePoint now);

    // Validation and application of records, in ledger_apply.cpp.
    void receiveRecord(const SignedRecord& record);
    void appendRecord(const SignedRecord& record);
    void applyBufferedRecords(const ChainId& chain);
    void bufferRecord(const SignedRecord& record);
    void receiveEarlierRecord(const SignedRecord& record);
    void receiveGapNotice(const SignedGapNotice& notice);
    void receiveHead(const SignedHead& head, bool withRecords);
    void apply(const Record& record);
    void applyGapRecord(ChainState& state, std::size_t gap, const Record& record);
    void applyGap(const SignedGapNotice& notice);
    void applyHead(const SignedHead& head);
    void addRecentHash(const ChainId& chain, std::uint64_t number, const Hash& hash);
    const PublicKey* keyOf(const ChainId& chain) const;
    void reject(const std::string& what, std::string_view why);
    void persistPending();

    // Exchange with other ledgers, in ledger_exchange.cpp.
    void exchangeHeads();
    void requestMissingRecords(const InstanceName& peer, const ChainHead& peerHead, TimePoint now);
    void sendRangeRequest(const ChainId& chain, RangeTransfer& request, std::uint64_t first, TimePoint now);
    bool hasSameRecord(const ChainHead& peerHead);
    void log(const EventDescription& description, std::vector<EventField> fields);

    LedgerOptions m_options;
    std::map<ChainId, ChainState> m_chains;
    Bill m_bill;
    std::uint64_t m_entries = 0;
    std::uint64_t m_rejected = 0;

    std::map<ChainId, VolatileChainState> m_volatileStates;
    std::vector<JournalEntry> m_pendingEntries;
    std::set<ChainId> m_chainsToAcknowledge;
    // For each unsynced write: the chains to acknowledge and their record numbers.
    std::map<std::uint64_t, std::map<ChainId, std::uint64_t>> m_unsyncedWrites;
    std::uint64_t m_nextWrite = 1;

    std::map<ChainId, RangeTransfer> m_rangeTransfers;
    std::map<ChainId, TimePoint> m_gapRetryAt;
    std::map<std::uint64_t, PendingRead> m_pendingReads;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_nextSequence = 1;
    std::deque<LedgerHeads> m_sentHeads;
    std::map<InstanceName, std::map<ChainId, std::uint64_t>> m_counterSigned;
    // Chain at which the next exchange of heads with a peer continues.
    std::map<InstanceName, ChainId> m_exchangeCursor;
    std::vector<LedgerEffect> m_effects;
    TimePoint m_exchangeAt;
};

} // namespace curranttrail::usage
