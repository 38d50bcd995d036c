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

// Another ledger, of either owner.
struct LedgerPeer {
    OwnerName owner;
    PublicKey key;
};

struct LedgerOptions {
    // The control instance that holds this ledger.
    InstanceName name;
    OwnerName owner;
    PrivateKey key;
    // Keys of all instances that record use, of both owners.
    std::map<InstanceName, PublicKey> instanceKeys;
    std::map<InstanceName, LedgerPeer> peers;
    // Every counter-signature is persisted as evidence, so this interval also bounds the journal's growth by them.
    Micros exchangeInterval { std::chrono::seconds { 5 } };
    Micros requestTimeout { std::chrono::seconds { 2 } };
    // A gap that a peer cannot fill is asked for again after this time.
    Micros gapRetryInterval { std::chrono::seconds { 60 } };
    // A head is persisted with the records it came with, and at this interval while a chain is idle.
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

// The write with this number, and all before it, is synced.
struct EntriesPersisted {
    std::uint64_t write = 0;
};

// Answer to ReadRecords, as far as the file holds them.
struct RecordsRead {
    std::uint64_t token = 0;
    std::vector<SignedRecord> records;
};

struct LedgerTick { };

using LedgerEvent = std::variant<BatchReceived, LedgerMessageReceived, EntriesPersisted, RecordsRead, LedgerTick>;

// ---- Effects ----

// Append the entries to the journal and sync; then report EntriesPersisted. Writes are numbered from 1.
struct PersistEntries {
    std::uint64_t write = 0;
    std::vector<JournalEntry> entries;
};

// To the instance that records the chain.
struct Acknowledge {
    Acknowledgement acknowledgement;
};

struct SendToLedger {
    InstanceName to;
    LedgerMessage message;
};

// Reads records of a chain from the journal for another ledger; then report RecordsRead.
struct ReadRecords {
    std::uint64_t token = 0;
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

using LedgerEffect = std::variant<PersistEntries, Acknowledge, SendToLedger, ReadRecords, LogEvent>;

// Control side of the account of use. Applies the records of every chain once and in order, and compares its heads
// with other ledgers. Acknowledges only what is persisted. Holds sums and chain ends; the records are in the journal.
class Ledger {
public:
    // Out-of-order records held per chain, and chains that may hold any.
    static constexpr std::size_t kMaximumBufferedRecords = 256;
    static constexpr std::size_t kMaximumBufferingChains = 64;

    explicit Ledger(LedgerOptions options);

    // Rebuilds the state at start, before the first event. Entries must come in the order in which they were persisted.
    void restore(const LedgerCheckpoint& checkpoint);
    void replay(const JournalEntry& entry);
    // The state after all entries that have been handed out or replayed.
    LedgerCheckpoint checkpoint() const;

    std::vector<LedgerEffect> handle(const LedgerEvent& event, TimePoint now);
    TimePoint nextWakeup() const { return m_exchangeAt; }

    const Bill& bill() const { return m_bill; }
    std::vector<Gap> gaps() const;
    const std::map<ChainId, ChainState>& chains() const { return m_chains; }
    // Number up to which the peer has counter-signed a chain; 0 if it has not.
    std::uint64_t counterSigned(const InstanceName& peer, const ChainId& chain) const;
    // Records, heads and messages that failed their checks since the start.
    std::uint64_t rejected() const { return m_rejected; }

private:
    // What is needed besides the persistent state while the process runs.
    struct VolatileChainState {
        std::map<std::uint64_t, SignedRecord> bufferedRecords;
        // Recent (number, hash) pairs, to compare with peers that are a little behind.
        std::deque<std::pair<std::uint64_t, Hash>> recentHashes;
        std::uint64_t persisted = 0;
        std::uint64_t persistedHead = 0;
        UnixMillis persistedHeadAt = 0;
    };

    struct RangeTransfer {
        InstanceName peer;
        // Goes on in bounded ranges until this number.
        std::uint64_t last = 0;
        // First number of the range under way.
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

    // Applying, ledger_apply.cpp.
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

    // Exchange with other ledgers, ledger_exchange.cpp.
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
    // Chains to acknowledge once a write is synced.
    std::map<std::uint64_t, std::map<ChainId, std::uint64_t>> m_unsyncedWrites;
    std::uint64_t m_nextWrite = 1;

    std::map<ChainId, RangeTransfer> m_rangeTransfers;
    std::map<ChainId, TimePoint> m_gapRetryAt;
    std::map<std::uint64_t, PendingRead> m_pendingReads;
    std::uint64_t m_nextToken = 1;
    std::uint64_t m_nextSequence = 1;
    std::deque<LedgerHeads> m_sentHeads;
    std::map<InstanceName, std::map<ChainId, std::uint64_t>> m_counterSigned;
    std::map<InstanceName, ChainId> m_exchangeCursor;
    std::vector<LedgerEffect> m_effects;
    TimePoint m_exchangeAt;
};

} // namespace curranttrail::usage
