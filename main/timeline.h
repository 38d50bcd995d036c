#pragma once

#include "core/ids.h"

#include <cstdint>
#include <iosfwd>
#include <optional>
#include <string>
#include <string_view>
#include <utility>
#include <vector>

namespace curranttrail {

// An event of one process, read from its log or its /v1/events.
struct TimelineEvent {
    InstanceName instance;
    // Sequence number of the event within its process if the source has one, else its position in the log.
    std::uint64_t sequence = 0;
    // Wall-clock time of the process, as text that sorts by time.
    std::string time;
    std::uint64_t stamp = 0;
    std::string severity;
    std::uint64_t number = 0;
    std::string name;
    std::vector<std::pair<std::string, std::string>> fields;
};

// Selects events. Empty fields match every event.
struct TimelineFilter {
    std::string request;
    std::string className;
    std::string change;
    InstanceName instance;

    bool matches(const TimelineEvent& event) const;
};

// Reads an answer of GET /v1/events and appends its events. Returns the sequence number to continue after, or nothing if
// the text is malformed.
std::optional<std::uint64_t> readEventsAnswer(std::string_view text, std::vector<TimelineEvent>& events);

// Reads lines of a log and appends their events. Returns the number of lines that are not events.
std::size_t readLog(std::istream& in, std::vector<TimelineEvent>& events);

// Orders events so that causes precede their effects even if the clocks of processes differ: by causal stamp, then time,
// then instance and sequence. Removes duplicates of an event, as when a log and /v1/events are both given.
void orderTimeline(std::vector<TimelineEvent>& events);

std::string timelineText(const std::vector<TimelineEvent>& events);
// Returns an HTML page without references to other files, with one column for each process.
std::string timelineHtml(const std::vector<TimelineEvent>& events);

} // namespace curranttrail
