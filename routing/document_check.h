#pragma once

#include "core/enum_names.h"
#include "routing/route_document.h"

#include <array>
#include <string>
#include <vector>

// Findings about a configuration document before it is sent.
namespace curranttrail::routing {

enum class FindingKind {
    // Control instances refuse the document.
    Error,
    // The entry can never match a request or has no effect.
    Unreachable,
    // Two limits of the document cannot both take effect.
    Contradiction,
    // The document differs from the one in force.
    Difference,
};

inline constexpr std::array<EnumName<FindingKind>, 4> kFindingKindNames { {
    { FindingKind::Error, "error" },
    { FindingKind::Unreachable, "unreachable" },
    { FindingKind::Contradiction, "contradiction" },
    { FindingKind::Difference, "difference" },
} };

struct Finding {
    FindingKind kind = FindingKind::Error;
    // Names the entry. Never holds a key.
    std::string text;
};

// Returns the errors of the document, its entries that never match, and its limits that contradict each other.
std::vector<Finding> checkDocument(const RouteDocument& document);

// Returns what the proposed document would change.
std::vector<Finding> compareDocuments(const RouteDocument& inForce, const RouteDocument& proposed);

} // namespace curranttrail::routing
