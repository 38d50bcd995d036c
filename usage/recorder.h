#pragma once

#include "core/units.h"
#include "usage/messages.h"
#include "usage/record.h"

#include <cstddef>
#include <cstdint>
#include <deque>
#include <map>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::usage {

struct RecorderOptions {
    InstanceName instance;
    // Higher at every start.
    std::uint64_t incarnation = 0;
    PrivateKey key;
    // The owners whose ledgers get every record; both owners today.
    std::vector<OwnerName> ledgers;
    Micros sealInterval { std::chrono::seconds { 1 } };
    // Seal early after this many queries, but no more often than the shortest interval, so that
    // the record rate does not follow the query rate.
    std::uint64_t earlySealQueries = 1'000;
    Micros minimumSealInterval { std::chrono::milliseconds { 100 } };
    // A signed head goes out at this interval even when idle; it bounds what a crash can hide.
    Micros headInterval { std::chrono::seconds { 1 } };
    Micros resendTimeout { std::chrono::seconds { 1 } };
    // About 8 MB. Above a quarter of it records are sealed at the long interval, to last for hours of partition.
    std::size_t maximumUnacknowledgedRecords = 16'384;
    Micros backlogSealInterval { std::chrono::seconds { 10 } };
};

// ---- Events ----

// Usage caused by one query against one owner's servers.
struct UsageObserved {
    UsageKey key;
    BillableUnits units;
    UnixMillis at = 0;
};

// From the ledger of an owner. Late, repeated and lower acknowledgements are harmless.
struct Acknowledged {
    OwnerName ledger;
    Acknowledgement acknowledgement;
};

// Seal what is left and a closing record, and wait until every ledger has acknowledged it.
struct StopRequested {
    UnixMillis at = 0;
};

struct RecorderTick {
    UnixMillis at = 0;
};

using RecorderEvent = std::variant<UsageObserved, Acknowledged, StopRequested, RecorderTick>;

// ---- Effects ----

// To any control instance of the owner that answers.
struct SendBatch {
    OwnerName ledger;
    Batch batch;
};

// Every ledger has acknowledged the closing record; the process may exit.
struct RecorderStopped { };

using RecorderEffect = std::variant<SendBatch, RecorderStopped, LogEvent>;

// Entry side of the account of use. Sums up use, seals it into a signed chain of records and repeats them until
// the ledgers of all owners have acknowledged them.
class Recorder {
public:
    explicit Recorder(RecorderOptions options);

    std::vector<RecorderEffect> handle(const RecorderEvent& event, TimePoint now);
    TimePoint nextWakeup() const;

    const ChainId& chain() const { return m_chain; }
    // Number of the last sealed record.
    std::uint64_t lastSealedNumber() const { return m_head.number; }
    std::size_t unacknowledgedRecords() const { return m_records.size(); }
    // Everything noted so far, sealed or not.
    BillableUnits totals() const;

private:
    struct UnsealedUsage {
        BillableUnits units;
        UnixMillis firstAt = 0;
        UnixMillis lastAt = 0;
    };

    struct LedgerState {
        std::uint64_t acknowledged = 0;
        // Last number of the batch under way; 0 if none is.
        std::uint64_t inFlightUpTo = 0;
        TimePoint batchSentAt;
        TimePoint headSentAt;
        // Dropped ranges that the ledger has not acknowledged.
        std::vector<GapNotice> gaps;
    };

    void on(const UsageObserved& use, TimePoint now);
    void on(const Acknowledged& acknowledged, TimePoint now);
    void on(const StopRequested& request, TimePoint now);
    void on(const RecorderTick& tick, TimePoint now);
    void seal(TimePoint now);
    void append(Record record);
    void dropOldest();
    void stateGap(LedgerState& ledger, const Record& dropped) const;
    void releaseAcknowledged();
    void sendDueBatches(TimePoint now);
    void sendBatch(const OwnerName& name, LedgerState& ledger, TimePoint now);
    Micros sealInterval() const;
    BillableUnits unsealedUnits() const;

    RecorderOptions m_options;
    ChainId m_chain;
    Head m_head;
    std::map<UsageKey, UnsealedUsage> m_unsealed;
    std::uint64_t m_unsealedQueries = 0;
    // Consecutive records, the oldest first.
    std::deque<SignedRecord> m_records;
    // Sum over all records before the oldest one kept.
    BillableUnits m_releasedTotals;
    std::map<OwnerName, LedgerState> m_ledgers;
    std::vector<RecorderEffect> m_effects;
    UnixMillis m_wallClock = 0;
    bool m_started = false;
    bool m_stopping = false;
    bool m_stopped = false;
    bool m_dropping = false;
    TimePoint m_sealedAt;
};

} // namespace curranttrail::usage
