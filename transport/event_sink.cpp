#include "transport/event_sink.h"

#include <boost/json.hpp>

#include <fmt/chrono.h>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>
#include <ctime>

#include <unistd.h>

namespace curranttrail::transport {

namespace {

    constexpr std::uint64_t kCounterBits = 16;
    constexpr std::uint64_t kMaximumClockLeadMs = 60'000;

    // Quotes a value that would otherwise break the line format or parse as several fields.
    std::string quoted(const std::string& value)
    {
        const bool plain = !value.empty() && std::all_of(value.begin(), value.end(), [](unsigned char c) { return c > ' ' && c != '"' && c != '=' && c < 127; });
        return plain ? value : boost::json::serialize(boost::json::value(value));
    }

    std::string timeText(UnixMillis time)
    {
        const std::chrono::system_clock::time_point point { std::chrono::milliseconds { time } };
        return fmt::format("{:%Y-%m-%dT%H:%M:%S}.{:03}Z", fmt::gmtime(std::chrono::system_clock::to_time_t(point)), time % 1000);
    }

} // namespace

UnixMillis wallClockNow()
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

TimePoint monotonicNow()
{
    return std::chrono::time_point_cast<Micros>(std::chrono::steady_clock::now());
}

TimePoint bootTimeNow()
{
    timespec now {};
    ::clock_gettime(CLOCK_BOOTTIME, &now);
    return TimePoint { std::chrono::duration_cast<Micros>(std::chrono::seconds { now.tv_sec } + std::chrono::nanoseconds { now.tv_nsec }) };
}

std::uint64_t HybridLogicalClock::stamp()
{
    const std::uint64_t wall = static_cast<std::uint64_t>(wallClockNow()) << kCounterBits;
    const std::lock_guard lock(m_mutex);
    m_last = std::max(m_last + 1, wall);
    return m_last;
}

void HybridLogicalClock::observe(std::uint64_t stamp)
{
    const std::uint64_t maximumStamp = (static_cast<std::uint64_t>(wallClockNow()) + kMaximumClockLeadMs) << kCounterBits;
    if (stamp > maximumStamp)
        return;
    const std::lock_guard lock(m_mutex);
    m_last = std::max(m_last, stamp);
}

EventSink::EventSink(Options options)
    : m_options(std::move(options))
{
}

void EventSink::log(const LogEvent& event)
{
    if (event.description->severity < m_options.threshold)
        return;
    RetainedEvent retained { 0, wallClockNow(), m_clock.stamp(), event.description, event.fields };
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "{} {} {} {} instance={} stamp={:x}", timeText(retained.time), nameOf(kSeverityNames, event.description->severity),
        event.description->number, event.description->name, m_options.instance, retained.stamp);
    for (const EventField& field : event.fields)
        fmt::format_to(std::back_inserter(line), " {}={}", field.name, quoted(field.value));
    line.push_back('\n');

    const std::lock_guard lock(m_mutex);
    retained.sequence = m_nextSequence++;
    m_retained.push_back(std::move(retained));
    if (m_retained.size() > m_options.maximumRetainedEvents)
        m_retained.pop_front();
    if (m_options.output)
        std::fwrite(line.data(), 1, line.size(), m_options.output);
    if (m_options.descriptor >= 0)
        writeToDescriptor(fmt::to_string(line), event.description->severity);
}

void EventSink::writeToDescriptor(std::string line, Severity severity)
{
    const std::int64_t second = monotonicNow().time_since_epoch() / std::chrono::seconds { 1 };
    if (second != m_currentSecond) {
        m_currentSecond = second;
        m_linesInSecond = 0;
    }
    if (m_options.linesPerSecond > 0 && severity < Severity::Warning && m_linesInSecond >= m_options.linesPerSecond) {
        ++m_droppedLines;
        return;
    }
    ++m_linesInSecond;
    // The number of dropped lines is appended to the next line that is written.
    if (m_droppedLines != m_reportedDroppedLines) {
        line.pop_back();
        line += fmt::format(" dropped_lines={}\n", m_droppedLines);
    }
    const ssize_t written = ::write(m_options.descriptor, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size()))
        m_reportedDroppedLines = m_droppedLines;
    else
        ++m_droppedLines;
}

std::uint64_t EventSink::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_droppedLines;
}

void EventSink::log(const EventDescription& description, std::vector<EventField> fields)
{
    log(LogEvent { &description, std::move(fields) });
}

std::string EventSink::recentAsJson(std::uint64_t after, std::size_t limit) const
{
    boost::json::array events;
    const std::lock_guard lock(m_mutex);
    std::uint64_t next = after;
    for (const RetainedEvent& retained : m_retained) {
        if (retained.sequence <= after)
            continue;
        if (events.size() == limit)
            break;
        boost::json::object fields;
        for (const EventField& field : retained.fields)
            fields[field.name] = field.value;
        events.push_back(boost::json::object { { "sequence", retained.sequence }, { "time", timeText(retained.time) }, { "stamp", fmt::format("{:x}", retained.stamp) },
            { "severity", nameOf(kSeverityNames, retained.description->severity) }, { "number", retained.description->number },
            { "name", retained.description->name }, { "fields", std::move(fields) } });
        next = retained.sequence;
    }
    const std::uint64_t first = m_retained.empty() ? m_nextSequence : m_retained.front().sequence;
    return boost::json::serialize(boost::json::object { { "instance", m_options.instance }, { "first", first }, { "next", next }, { "events", std::move(events) } });
}

} // namespace curranttrail::transport
