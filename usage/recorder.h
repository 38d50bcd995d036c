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
    // Increases with every start of the instance.
    std::uint64_t incarnation = 0;
    PrivateKey key;
    // Owners whose ledgers receive every record; currently both owners.
    std::vector<OwnerName> ledgers;
    Micros sealInterval { std::chrono::seconds { 1 } };
    // Number of queries after which records are sealed early, but not more often than the minimum interval, so that the record
    // rate does not grow with the query rate.
    std::uint64_t earlySealQueries = 1'000;
    Micros minimumSealInterval { std::chrono::milliseconds { 100 } };
    // Interval at which a signed head is sent even without new records. It bounds the usage that a crash can hide.
    Micros headInterval { std::chrono::seconds { 1 } };
    Micros resendTimeout { std::chrono::seconds { 1 } };
    // About 8 MB. Above a quarter of this limit records are sealed at the backlog interval, so that the buffer lasts for hours of
    // partition.
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

// Acknowledgement from the ledger of an owner. Late, repeated and lower acknowledgements are ignored.
struct Acknowledged {
    OwnerName ledger;
    Acknowledgement acknowledgement;
};

// Requests a graceful stop: remaining usage and a closing record are sealed, and the recorder stops once every ledger has
// acknowledged them.
struct StopRequested {
    UnixMillis at = 0;
};

struct RecorderTick {
    UnixMillis at = 0;
};

using RecorderEvent = std::variant<UsageObserved, Acknowledged, StopRequested, RecorderTick>;

// ---- Effects ----

// Asks the driver to send the batch to any reachable control instance of the owner.
struct SendBatch {
    OwnerName ledger;
    Batch batch;
};

// Every ledger has acknowledged the closing record; the process may exit.
struct RecorderStopped { };

using RecorderEffect = std::variant<SendBatch, RecorderStopped, LogEvent>;

// Records usage on an entry instance. Accumulates usage, seals it into a signed chain of records and resends the records until
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
    // Returns the sum of all observed usage, sealed or not.
    BillableUnits totals() const;

private:
    struct UnsealedUsage {
        BillableUnits units;
        UnixMillis firstAt = 0;
        UnixMillis lastAt = 0;
    };

    struct LedgerState {
        std::uint64_t acknowledged = 0;
        // Last record number of the batch in flight, or 0 if there is none.
        std::uint64_t inFlightUpTo = 0;
        TimePoint batchSentAt;
        TimePoint headSentAt;
        // Dropped ranges whose gap notice the ledger has not acknowledged.
        std::vector<GapNotice> gaps;
    };

    void on(const UsageObserved& observed, TimePoint now);
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
    // Sealed records that some ledger has not acknowledged, in ascending order of number.
    std::deque<SignedRecord> m_records;
    // Sum over all records before the oldest one in m_records.
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
