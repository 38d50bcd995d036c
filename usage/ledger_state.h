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

// A recorder that keeps losing contact states further gaps only after earlier ones were filled.
inline constexpr std::size_t kMaximumGaps = 64;
inline constexpr std::size_t kMaximumCheckpointItems = 65'535;

// A stated gap, as far as it is not filled. Records are filled in from the front, so that each is checked against the one before.
struct OpenGap {
    SignedGapNotice notice;
    std::uint64_t next = 0;
    Hash previousHash {};
    // Usage of the records that are still missing.
    BillableUnits units;
};

// What a ledger holds of one chain.
struct ChainState {
    // Number of the next record to apply.
    std::uint64_t next = 1;
    Hash last {};
    // Sum over all numbers below next, including units of stated gaps, to compare with heads.
    BillableUnits totals;
    bool closed = false;
    // First and last time that records and heads of this chain speak of.
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

// The state of a ledger after a number of journal entries, to start without replaying all of them.
struct LedgerCheckpoint {
    std::uint64_t entries = 0;
    std::vector<ChainCheckpoint> chains;
    std::vector<BillLine> bill;
};

std::string encode(const LedgerCheckpoint& checkpoint);
std::optional<LedgerCheckpoint> decodeLedgerCheckpoint(std::string_view bytes);

enum class GapKind {
    // The instance stated that it dropped the records.
    Stated,
    // A later start of the instance shows that the chain ended without a closing record.
    Lost,
    // The chain has no closing record; the instance runs or its end is not known yet.
    Open,
};

inline constexpr std::array<EnumName<GapKind>, 3> kGapKindNames { {
    { GapKind::Stated, "stated" },
    { GapKind::Lost, "lost" },
    { GapKind::Open, "open" },
} };

// Usage that the bill lacks, with its bounds.
struct Gap {
    ChainId chain;
    GapKind kind = GapKind::Open;
    std::uint64_t first = 0;
    // Nothing if it is not known how many records are missing.
    std::optional<std::uint64_t> last;
    // Usage known from signed statements of the instance. Exact for a stated gap; otherwise exact up to knownUntil.
    BillableUnits units;
    UnixMillis from = 0;
    UnixMillis knownUntil = 0;
    // Usage after knownUntil and before this time is unknown; nothing if the end is open.
    std::optional<UnixMillis> until;
};

using Bill = std::map<UsageKey, BillableUnits>;

// The gaps of all chains, in order of chain and number.
std::vector<Gap> collectGaps(const std::map<ChainId, ChainState>& chains);

} // namespace curranttrail::usage
