#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"
#include "usage/record.h"

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace curranttrail::usage {

inline constexpr std::size_t kMaximumBatchRecords = 64;
inline constexpr std::size_t kMaximumBatchGaps = 8;
inline constexpr std::size_t kMaximumExchangedHeads = 64;
inline constexpr std::size_t kMaximumRangeRecords = 128;
inline constexpr std::uint8_t kFormatVersion = 1;

// ---- Entry instance to ledger, and back ----

// Records of one chain with ascending numbers, and the current head of the chain. Sent at least once a second.
struct Batch {
    ChainId chain;
    std::vector<SignedGapNotice> gaps;
    std::vector<SignedRecord> records;
    SignedHead head;
};

// Confirms that every record up to the number is persisted in the ledger or covered by a gap notice.
struct Acknowledgement {
    ChainId chain;
    std::uint64_t number = 0;
};

// ---- Ledger to ledger ----

struct ChainHead {
    ChainId chain;
    std::uint64_t number = 0;
    Hash hash {};
    BillableUnits totals;
    bool operator==(const ChainHead&) const = default;
};

// Heads of a subset of the chains that a ledger holds, signed by the ledger.
struct LedgerHeads {
    InstanceName ledger;
    std::uint64_t sequence = 0;
    std::vector<ChainHead> chains;
    Signature signature {};
};

// Attests that the signer holds the same records up to the heads at the matched positions.
struct CounterSignature {
    InstanceName ledger;
    Hash digest {};
    std::vector<std::uint16_t> matched;
    Signature signature {};
};

struct RangeRequest {
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

// Those records of the requested range that the sender holds, possibly none.
struct RangeReply {
    ChainId chain;
    std::uint64_t first = 0;
    std::vector<SignedRecord> records;
};

using LedgerMessage = std::variant<LedgerHeads, CounterSignature, RangeRequest, RangeReply>;

// ---- Journal of a ledger ----

struct CounterSignedHeads {
    LedgerHeads heads;
    CounterSignature counter;
};

// One journal entry of a ledger. Entries are appended in order and never modified.
using JournalEntry = std::variant<SignedRecord, SignedGapNotice, SignedHead, CounterSignedHeads>;

Hash digestOf(const LedgerHeads& heads);
Hash digestOf(const CounterSignature& counter);
void sign(LedgerHeads& heads, const PrivateKey& key);
void sign(CounterSignature& counter, const PrivateKey& key);
bool isSignedBy(const LedgerHeads& heads, const PublicKey& key);
bool isSignedBy(const CounterSignature& counter, const PublicKey& key);

// The encoding starts with a format version and bounds every count and string length. Decoding returns nothing for malformed
// input.
std::string encode(const Batch& batch);
std::string encode(const Acknowledgement& acknowledgement);
std::string encode(const LedgerMessage& message);
std::string encode(const JournalEntry& entry);
std::optional<Batch> decodeBatch(std::string_view bytes);
std::optional<Acknowledgement> decodeAcknowledgement(std::string_view bytes);
std::optional<LedgerMessage> decodeLedgerMessage(std::string_view bytes);
std::optional<JournalEntry> decodeJournalEntry(std::string_view bytes);

} // namespace curranttrail::usage
