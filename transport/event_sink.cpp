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
    constexpr std::uint64_t kFarthestAheadMs = 60'000;

    // Quotes a value that would otherwise break the line or be read as several fields.
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

std::uint64_t CausalClock::stamp()
{
    const std::uint64_t wall = static_cast<std::uint64_t>(wallClockNow()) << kCounterBits;
    const std::lock_guard lock(m_mutex);
    m_last = std::max(m_last + 1, wall);
    return m_last;
}

void CausalClock::observe(std::uint64_t stamp)
{
    const std::uint64_t farthest = (static_cast<std::uint64_t>(wallClockNow()) + kFarthestAheadMs) << kCounterBits;
    if (stamp > farthest)
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
    Kept kept { 0, wallClockNow(), m_clock.stamp(), event.description, event.fields };
    fmt::memory_buffer line;
    fmt::format_to(std::back_inserter(line), "{} {} {} {} instance={} stamp={:x}", timeText(kept.time), nameOf(kSeverityNames, event.description->severity),
        event.description->number, event.description->name, m_options.instance, kept.stamp);
    for (const EventField& field : event.fields)
        fmt::format_to(std::back_inserter(line), " {}={}", field.name, quoted(field.value));
    line.push_back('\n');

    const std::lock_guard lock(m_mutex);
    kept.sequence = m_next++;
    m_kept.push_back(std::move(kept));
    if (m_kept.size() > m_options.kept)
        m_kept.pop_front();
    if (m_options.output)
        std::fwrite(line.data(), 1, line.size(), m_options.output);
    if (m_options.descriptor >= 0)
        writeToDescriptor(fmt::to_string(line), event.description->severity);
}

void EventSink::writeToDescriptor(std::string line, Severity severity)
{
    const std::int64_t second = monotonicNow().time_since_epoch() / std::chrono::seconds { 1 };
    if (second != m_second) {
        m_second = second;
        m_linesInSecond = 0;
    }
    if (m_options.linesPerSecond > 0 && severity < Severity::Warning && m_linesInSecond >= m_options.linesPerSecond) {
        ++m_dropped;
        return;
    }
    ++m_linesInSecond;
    // The number of dropped lines rides on the next line that is written.
    if (m_dropped != m_droppedReported) {
        line.pop_back();
        line += fmt::format(" dropped_lines={}\n", m_dropped);
    }
    const ssize_t written = ::write(m_options.descriptor, line.data(), line.size());
    if (written == static_cast<ssize_t>(line.size()))
        m_droppedReported = m_dropped;
    else
        ++m_dropped;
}

std::uint64_t EventSink::droppedLines() const
{
    const std::lock_guard lock(m_mutex);
    return m_dropped;
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
    for (const Kept& kept : m_kept) {
        if (kept.sequence <= after)
            continue;
        if (events.size() == limit)
            break;
        boost::json::object fields;
        for (const EventField& field : kept.fields)
            fields[field.name] = field.value;
        events.push_back(boost::json::object { { "sequence", kept.sequence }, { "time", timeText(kept.time) }, { "stamp", fmt::format("{:x}", kept.stamp) },
            { "severity", nameOf(kSeverityNames, kept.description->severity) }, { "number", kept.description->number },
            { "name", kept.description->name }, { "fields", std::move(fields) } });
        next = kept.sequence;
    }
    const std::uint64_t first = m_kept.empty() ? m_next : m_kept.front().sequence;
    return boost::json::serialize(boost::json::object { { "instance", m_options.instance }, { "first", first }, { "next", next }, { "events", std::move(events) } });
}

} // namespace curranttrail::transport
