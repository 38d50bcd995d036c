#pragma once

#include "core/enum_names.h"
#include "query/entry_reducer.h"
#include "tools/policy_baseline.h"

#include <array>
#include <memory>
#include <variant>

namespace curranttrail::tools {

// The policies that are compared under the same load.
enum class PolicyKind {
    Baseline,
    Current,
};

inline constexpr std::array<EnumName<PolicyKind>, 2> kPolicyKindNames { {
    { PolicyKind::Baseline, "baseline" },
    { PolicyKind::Current, "current" },
} };

// The reducer of one entry instance under measurement.
using PolicyClient = std::variant<std::unique_ptr<BaselineClient>, std::unique_ptr<query::EntryReducer>>;

} // namespace curranttrail::tools
