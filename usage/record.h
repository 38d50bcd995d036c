#pragma once

#include "core/ids.h"
#include "core/units.h"
#include "usage/keys.h"

#include <cstdint>
#include <string>
#include <tuple>

namespace curranttrail::usage {

// What is billed. All sums are exact integers, so that two ledgers agree to the unit.
struct BillableUnits {
    std::uint64_t subqueries = 0;
    std::uint64_t serverMicros = 0;
    std::uint64_t bytes = 0;

    BillableUnits& operator+=(const BillableUnits& other);
    // Sums only grow; the smaller is taken from the larger, and a wrong order yields zero rather than wrapping.
    BillableUnits saturatingDifference(const BillableUnits& other) const;
    bool operator==(const BillableUnits&) const = default;
};

// Who caused the use, whose servers and instances did the work, and for which class.
struct UsageKey {
    OwnerName causedBy;
    OwnerName servedBy;
    ClassName className;
    bool operator==(const UsageKey&) const = default;
    bool operator<(const UsageKey& other) const { return std::tie(causedBy, servedBy, className) < std::tie(other.causedBy, other.servedBy, other.className); }
};

// The records of one start of one instance form one chain.
struct ChainId {
    InstanceName instance;
    std::uint64_t incarnation = 0;
    bool operator==(const ChainId&) const = default;
    bool operator<(const ChainId& other) const { return std::tie(instance, incarnation) < std::tie(other.instance, other.incarnation); }
};

enum class RecordKind {
    Usage,
    // The last record of a chain, after a graceful stop.
    Closing,
};

struct Record {
    ChainId chain;
    // From 1 without holes.
    std::uint64_t number = 0;
    // Hash of the record before; zeros for the first.
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

// The end of a chain as its instance states it.
struct Head {
    ChainId chain;
    std::uint64_t number = 0;
    Hash hash {};
    // Sum over all records up to the number.
    BillableUnits totals;
    // Usage that is accumulated and not sealed yet.
    BillableUnits unsealed;
    UnixMillis at = 0;
};

struct SignedHead {
    Head head;
    Signature signature {};
};

// Records that the instance dropped unacknowledged because its memory is bounded.
struct GapNotice {
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
    Hash lastHash {};
    // Sum over all records of the chain up to the last one; a ledger subtracts what it has applied.
    BillableUnits totals;
    UnixMillis firstAt = 0;
    UnixMillis lastAt = 0;
};

struct SignedGapNotice {
    GapNotice notice;
    Signature signature {};
};

// SHA-256 over the canonical encoding. The signature is over this hash and a tag for the kind of content.
Hash hashOf(const Record& record);
Hash hashOf(const Head& head);
Hash hashOf(const GapNotice& notice);

SignedRecord signRecord(const Record& record, const PrivateKey& key);
SignedHead signHead(const Head& head, const PrivateKey& key);
SignedGapNotice signGapNotice(const GapNotice& notice, const PrivateKey& key);

bool isSignedBy(const SignedRecord& record, const PublicKey& key);
bool isSignedBy(const SignedHead& head, const PublicKey& key);
bool isSignedBy(const SignedGapNotice& notice, const PublicKey& key);

// "instance/incarnation#number", as logs and findings name a record.
std::string nameOf(const ChainId& chain);
std::string nameOf(const ChainId& chain, std::uint64_t number);

} // namespace curranttrail::usage
