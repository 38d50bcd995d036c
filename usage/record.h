#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "usage/keys.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace curranttrail::usage {

// Billed quantities. All sums are exact integers, so that two ledgers agree to the unit.
struct BillableUnits {
    std::uint64_t subqueries = 0;
    std::uint64_t serverMicros = 0;
    std::uint64_t bytes = 0;

    BillableUnits& operator+=(const BillableUnits& other);
    // Subtracts each quantity and clamps it at zero instead of wrapping around. Sums only grow, so that only inconsistent input
    // is clamped.
    BillableUnits saturatingDifference(const BillableUnits& other) const;
    bool operator==(const BillableUnits&) const = default;
};

// The owner that caused the usage, the owner whose servers and instances served it, and the class.
struct UsageKey {
    OwnerName causedBy;
    OwnerName servedBy;
    ClassName className;
    bool operator==(const UsageKey&) const = default;
    bool operator<(const UsageKey& other) const { return std::tie(causedBy, servedBy, className) < std::tie(other.causedBy, other.servedBy, other.className); }
};

// Identifies the chain of records that an instance writes between one start and its end.
struct ChainId {
    InstanceName instance;
    std::uint64_t incarnation = 0;
    bool operator==(const ChainId&) const = default;
    bool operator<(const ChainId& other) const { return std::tie(instance, incarnation) < std::tie(other.instance, other.incarnation); }
};

enum class RecordKind {
    Usage,
    // The last record of a chain, written at a graceful stop.
    Closing,
};

struct Record {
    ChainId chain;
    // Consecutive, starting at 1.
    std::uint64_t number = 0;
    // Hash of the previous record, or zeros for the first.
    Hash previous {};
    RecordKind kind = RecordKind::Usage;
    UsageKey key;
    BillableUnits units;
    UnixMillis firstAt = 0;
    UnixMillis lastAt = 0;
};

struct SignedRecord {
    Record record;
    Signature signature {};
};

// Current end of a chain according to its instance.
struct Head {
    ChainId chain;
    std::uint64_t number = 0;
    Hash hash {};
    // Sum over all records up to and including the number.
    BillableUnits totals;
    // Accumulated usage that is not yet sealed into records.
    BillableUnits unsealed;
    UnixMillis at = 0;
};

struct SignedHead {
    Head head;
    Signature signature {};
};

// Reports records that the instance dropped before they were acknowledged, since its buffer is bounded.
struct GapNotice {
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    Hash lastHash {};
    // Sum over all records of the chain up to the last dropped one. A ledger subtracts the records it has applied.
    BillableUnits totals;
    UnixMillis firstAt = 0;
    UnixMillis lastAt = 0;
};

struct SignedGapNotice {
    GapNotice notice;
    Signature signature {};
};

// Returns the SHA-256 hash of a domain separation tag and the canonical encoding. Signatures are made over this hash.
Hash hashOf(const Record& record);
Hash hashOf(const Head& head);
Hash hashOf(const GapNotice& notice);

SignedRecord signRecord(const Record& record, const PrivateKey& key);
SignedHead signHead(const Head& head, const PrivateKey& key);
SignedGapNotice signGapNotice(const GapNotice& notice, const PrivateKey& key);

bool isSignedBy(const SignedRecord& record, const PublicKey& key);
bool isSignedBy(const SignedHead& head, const PublicKey& key);
bool isSignedBy(const SignedGapNotice& notice, const PublicKey& key);

// Formats a chain as "instance/incarnation" and a record as "instance/incarnation#number", for logs and findings.
std::string nameOf(const ChainId& chain);
std::string nameOf(const ChainId& chain, std::uint64_t number);

} // namespace curranttrail::usage
