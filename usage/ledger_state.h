#pragma once

#include "usage/messages.h"
#include "usage/record.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail::usage {

// Maximum number of open gaps per chain. Further gap notices are accepted only after earlier gaps have been filled.
inline constexpr std::size_t kMaximumGaps = 64;
inline constexpr std::size_t kMaximumCheckpointItems = 65'535;

// The unfilled rest of a gap that an instance stated. Gaps are filled in ascending order of number,
// so that each record is checked against the hash of the previous one.
struct OpenGap {
    SignedGapNotice notice;
    // Number of the next missing record, and hash of the record before it.
    std::uint64_t next = 0;
    Hash previousHash {};
    // Usage of the records that are still missing.
    BillableUnits units;
};

// State of one chain in a ledger.
struct ChainState {
    // Number of the next record to apply.
    std::uint64_t next = 1;
    // Hash of the record with the number next - 1.
    Hash last {};
    // Sum over all record numbers below next, including the units of stated gaps, for comparison with heads.
    BillableUnits totals;
    bool closed = false;
    // Earliest and latest time in the records and heads of this chain.
    UnixMillis firstAt = 0;
    UnixMillis lastAt = 0;
    bool hasHead = false;
    SignedHead head;
    std::vector<OpenGap> gaps;
};

struct BillLine {
    UsageKey key;
    BillableUnits units;
};

struct ChainCheckpoint {
    ChainId chain;
    ChainState state;
};

// State of a ledger after a number of journal entries. A restart replays only the entries after it.
struct LedgerCheckpoint {
    std::uint64_t entries = 0;
    std::vector<ChainCheckpoint> chains;
    std::vector<BillLine> bill;
};

std::string encode(const LedgerCheckpoint& checkpoint);
std::optional<LedgerCheckpoint> decodeLedgerCheckpoint(std::string_view bytes);

enum class GapKind {
    // The instance stated with a gap notice that it dropped the records.
    Stated,
    // The instance has started a later chain, so this one ended without a closing record.
    Lost,
    // The chain has no closing record yet: the instance is running, or its end is not known.
    Open,
};

inline constexpr std::array<EnumName<GapKind>, 3> kGapKindNames { {
    { GapKind::Stated, "stated" },
    { GapKind::Lost, "lost" },
    { GapKind::Open, "open" },
} };

// Usage missing from the bill, with its bounds.
struct Gap {
    ChainId chain;
    GapKind kind = GapKind::Open;
    std::uint64_t first = 0;
    // Not set if the number of missing records is unknown.
    std::optional<std::uint64_t> last;
    // Usage according to signed statements of the instance. Exact for a stated gap; otherwise exact up to knownUntil.
    BillableUnits units;
    UnixMillis from = 0;
    UnixMillis knownUntil = 0;
    // End of the period after knownUntil whose usage is unknown. Not set if the period is still open.
    std::optional<UnixMillis> until;
};

using Bill = std::map<UsageKey, BillableUnits>;

// Returns the gaps of all chains, ordered by chain and record number.
std::vector<Gap> collectGaps(const std::map<ChainId, ChainState>& chains);

} // namespace curranttrail::usage
