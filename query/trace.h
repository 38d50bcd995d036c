#pragma once

#include "query/messages.h"

#include <cstddef>
#include <iosfwd>
#include <string>
#include <vector>

namespace curranttrail::query {

// Formats an effect as one line of text, without bodies and payloads.
std::string describeEffect(const Effect& effect);

// One step of a recorded trace: an event, its time since the first step, and the resulting effects.
struct TraceStep {
    Micros at { 0 };
    Event event;
    std::vector<std::string> effects;
};

// Writes one step as a line of JSON.
void writeTraceStep(std::ostream& out, const TraceStep& step);

// Reads all steps. Throws std::runtime_error with the number of the first malformed line.
std::vector<TraceStep> readTrace(std::istream& in);

} // namespace curranttrail::query
