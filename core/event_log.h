#pragma once

#include "core/enum_names.h"

#include <array>
#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace curranttrail {

enum class Severity {
    Debug,
    Information,
    Warning,
    Error,
};

inline constexpr std::array<EnumName<Severity>, 4> kSeverityNames { {
    { Severity::Debug, "debug" },
    { Severity::Information, "info" },
    { Severity::Warning, "warning" },
    { Severity::Error, "error" },
} };

// An entry of the event catalogue. Each folder defines its own table in <folder>/events.h: core and main 1000s, query and policy
// 2000s, control 3000s, membership 4000s, usage 5000s, storage 6000s, transport 7000s, routing 8000s.
struct EventDescription {
    std::uint16_t number;
    std::string_view name;
    Severity severity;
    std::string_view meaning;
};

// A field of an event. The name of a value with a unit ends in the unit, such as "elapsed_us".
struct EventField {
    std::string_view name;
    std::string value;
};

// An event emitted by a reducer. The driver adds the process, the wall-clock time and the causal timestamp.
struct LogEvent {
    const EventDescription* description = nullptr;
    std::vector<EventField> fields;
};

// Formats the name and the fields as "name key=value ...", for traces of tests and scenarios.
std::string formatEvent(const LogEvent& event);

} // namespace curranttrail
