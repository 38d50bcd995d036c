#pragma once

#include "usage/ledger_state.h"
#include "usage/messages.h"

#include <array>
#include <cstddef>
#include <cstdint>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail::usage {

enum class Fault {
    // The content of the record differs from what the instance signed.
    Altered,
    // A record is missing although the ledger has attested it or later records refer to it.
    Omitted,
    // The same record occurs more than once.
    Duplicated,
    // The record was not created by the instance, or is a second one with the same number.
    Forged,
};

inline constexpr std::array<EnumName<Fault>, 4> kFaultNames { {
    { Fault::Altered, "altered" },
    { Fault::Omitted, "omitted" },
    { Fault::Duplicated, "doubled" },
    { Fault::Forged, "forged" },
} };

struct Finding {
    Fault fault = Fault::Altered;
    ChainId chain;
    std::uint64_t number = 0;
    // Index of the entry in the ledger. For an omitted record, the index of the next record of its chain, or the number of
    // entries if none follows.
    std::size_t position = 0;
    std::string detail;
};

// Records at the end of a chain that only the other ledger holds. The exchange between the ledgers transfers them.
struct MissingTail {
    ChainId chain;
    std::uint64_t first = 0;
    std::uint64_t last = 0;
};

struct BillDifference {
    UsageKey key;
    BillableUnits here;
    BillableUnits there;
};

struct VerificationKeys {
    std::map<InstanceName, PublicKey> instances;
    std::map<InstanceName, PublicKey> ledgers;
};

struct Verification {
    // Sum over the records that passed every check, each counted once.
    Bill bill;
    // Usage missing from the bill that is not caused by tampering.
    std::vector<Gap> gaps;
    // Ordered by position in the ledger.
    std::vector<Finding> findings;
    std::vector<MissingTail> missingTails;
    // Bill lines that differ between the two ledgers, both recomputed.
    std::vector<BillDifference> differences;

    bool isSound() const { return findings.empty() && missingTails.empty() && differences.empty(); }
};

// Recomputes the bill of one owner from the entries of its ledger alone. If the other ledger is given, compares both.
Verification verifyLedger(const std::vector<JournalEntry>& ledger, const VerificationKeys& keys, const std::vector<JournalEntry>* other = nullptr);

// Formats a finding as one line, such as "omitted nile-entry-1/7#12 at entry 40: ...".
std::string describe(const Finding& finding);

} // namespace curranttrail::usage
