#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <cstdint>
#include <cstdio>
#include <deque>
#include <mutex>
#include <string>

namespace curranttrail::transport {

// Hybrid logical clock. The upper 48 bits of a stamp are wall-clock milliseconds, the lower 16 a counter.
// A stamp taken after observe(s) is greater than s, so stamps order causes before effects across instances.
class HybridLogicalClock {
public:
    // Returns a new stamp for a local event or an outgoing message.
    std::uint64_t stamp();
    // Advances the clock past the stamp of a received message. A stamp more than a minute ahead of the wall clock is ignored,
    // so that one instance with a wrong clock does not advance the clocks of the others.
    void observe(std::uint64_t stamp);

private:
    std::mutex m_mutex;
    std::uint64_t m_last = 0;
};

// Wall-clock time in milliseconds since the Unix epoch.
UnixMillis wallClockNow();

// Monotonic time in microseconds, the resolution that the reducers use.
TimePoint monotonicNow();

// Monotonic time that includes time in system suspend. Leases are checked against it.
TimePoint bootTimeNow();

// Writes each event as one log line and retains the most recent events in memory. Thread-safe.
class EventSink {
public:
    struct Options {
        InstanceName instance;
        // Events below this severity are neither written nor retained.
        Severity threshold = Severity::Information;
        std::size_t maximumRetainedEvents = 1024;
        // Stream that receives the log lines. Null disables it.
        std::FILE* output = stderr;
        // Additional output descriptor in non-blocking mode, or -1. A line that cannot be written immediately is dropped.
        int descriptor = -1;
        // Maximum number of lines per second written to the descriptor, not applied to warnings and errors. 0 disables the limit.
        std::uint32_t linesPerSecond = 0;
    };

    explicit EventSink(Options options);

    void log(const LogEvent& event);
    void log(const EventDescription& description, std::vector<EventField> fields = {});

    // Returns retained events with a sequence number above `after`, oldest first, as a JSON object
    // {"instance", "first", "next", "events": [..]}.
    // "first" is the oldest retained sequence number, which lets a client detect gaps.
    std::string recentAsJson(std::uint64_t after, std::size_t limit = 256) const;

    // Number of lines dropped because the descriptor was not writable or the rate limit was reached.
    std::uint64_t droppedLines() const;

    HybridLogicalClock& clock() { return m_clock; }
    const InstanceName& instance() const { return m_options.instance; }

private:
    struct RetainedEvent {
        std::uint64_t sequence = 0;
        UnixMillis time = 0;
        std::uint64_t stamp = 0;
        const EventDescription* description = nullptr;
        std::vector<EventField> fields;
    };

    void writeToDescriptor(std::string line, Severity severity);

    const Options m_options;
    HybridLogicalClock m_clock;
    std::uint64_t m_droppedLines = 0;
    std::uint64_t m_reportedDroppedLines = 0;
    std::int64_t m_currentSecond = 0;
    std::uint32_t m_linesInSecond = 0;
    mutable std::mutex m_mutex;
    std::uint64_t m_nextSequence = 1;
    std::deque<RetainedEvent> m_retained;
};

} // namespace curranttrail::transport
