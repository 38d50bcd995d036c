#pragma once

#include "core/class_target.h"

#include <boost/json/fwd.hpp>

#include <optional>
#include <string>
#include <string_view>

namespace curranttrail {

// The JSON form of class targets, as the administration API and the command line use it.

// {"name", "owner", "version", "target": {"collection", "percentile", "latency_ms", "minimum_coverage", "repeatable"}}
boost::json::object classToJson(const ClassTarget& target);

// The body of a change: {"target": {..}, "expected_version", "change_id"}.
struct ClassChange {
    ClassTarget target;
    ConfigurationVersion expectedVersion;
    std::string changeId;
};

// Reads the body of a change. Unknown fields are refused, so that a misspelt or unsupported one is not ignored.
// If the body is invalid, returns nothing and describes the reason in `error`.
std::optional<ClassChange> readClassChange(std::string_view body, std::string& error);

// Reads what classToJson() wrote.
std::optional<ClassTarget> readClass(const boost::json::value& value, std::string& error);

std::string writeClassChange(const ClassChange& change);

} // namespace curranttrail
