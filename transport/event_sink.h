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
class CausalClock {
public:
    // Returns a stamp for an event or a message to be sent.
    std::uint64_t stamp();
    // Takes note of the stamp of a received message. A stamp more than a minute ahead of the wall clock is ignored,
    // so that one instance with a wrong clock does not carry the others along.
    void observe(std::uint64_t stamp);

private:
    std::mutex m_mutex;
    std::uint64_t m_last = 0;
};

// Wall-clock time in milliseconds since the Unix epoch.
UnixMillis wallClockNow();

// Monotonic time at the resolution of the reducers.
TimePoint monotonicNow();

// Monotonic time that also counts while the machine is suspended. A lease is judged by it.
TimePoint bootTimeNow();

// Writes numbered events as one line each and keeps the most recent ones. May be called from any thread.
class EventSink {
public:
    struct Options {
        InstanceName instance;
        // Less severe events are neither written nor kept.
        Severity threshold = Severity::Information;
        std::size_t kept = 1024;
        // Where lines go; null writes nothing.
        std::FILE* output = stderr;
        // A descriptor in non-blocking mode that gets the lines as well; -1 for none. A line that it does not take is dropped.
        int descriptor = -1;
        // Lines for the descriptor in each second, warnings and errors apart; 0 for no limit.
        std::uint32_t linesPerSecond = 0;
    };

    explicit EventSink(Options options);

    void log(const LogEvent& event);
    void log(const EventDescription& description, std::vector<EventField> fields = {});

    // Returns kept events with a sequence number above `after`, oldest first, as a JSON object
    // {"instance", "first", "next", "events": [..]}. "first" is the oldest sequence number kept, so a gap is visible.
    std::string recentAsJson(std::uint64_t after, std::size_t limit = 256) const;

    // Lines that were not written because the output was full or the rate limit was reached.
    std::uint64_t droppedLines() const;

    CausalClock& clock() { return m_clock; }
    const InstanceName& instance() const { return m_options.instance; }

private:
    struct Kept {
        std::uint64_t sequence = 0;
        UnixMillis time = 0;
        std::uint64_t stamp = 0;
        const EventDescription* description = nullptr;
        std::vector<EventField> fields;
    };

    void writeToDescriptor(std::string line, Severity severity);

    const Options m_options;
    CausalClock m_clock;
    std::uint64_t m_dropped = 0;
    std::uint64_t m_droppedReported = 0;
    std::int64_t m_second = 0;
    std::uint32_t m_linesInSecond = 0;
    mutable std::mutex m_mutex;
    std::uint64_t m_next = 1;
    std::deque<Kept> m_kept;
};

} // namespace curranttrail::transport
