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
    // The record's content is not what the instance signed.
    Altered,
    // A record that the ledger held, or that others build on, is missing.
    Omitted,
    // The same record occurs again.
    Duplicated,
    // A record that the instance did not make, or a second one under its number.
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
    // Position of the entry in the ledger, from 0; for an omitted record where the next one of its chain stands,
    // or the count of entries if none follows.
    std::size_t position = 0;
    std::string detail;
};

// Records at the end of a chain that only the other ledger holds. The exchange between the ledgers brings them.
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
    // What the bill lacks without anyone's fault.
    std::vector<Gap> gaps;
    // In order of position; the first one is the first fault in the ledger.
    std::vector<Finding> findings;
    std::vector<MissingTail> missingTails;
    // Lines of the bill that differ from the other ledger's, both recomputed.
    std::vector<BillDifference> differences;

    bool isSound() const { return findings.empty() && missingTails.empty() && differences.empty(); }
};

// Recomputes one owner's bill from the entries of its ledger alone and, if the other ledger is given, compares them.
Verification verifyLedger(const std::vector<JournalEntry>& ledger, const VerificationKeys& keys, const std::vector<JournalEntry>* other = nullptr);

// One line, such as "omitted nile-entry-1/7#12 at entry 40: ...".
std::string describe(const Finding& finding);

} // namespace curranttrail::usage
