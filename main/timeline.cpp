#include "main/timeline.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <istream>
#include <set>
#include <tuple>

namespace curranttrail {

namespace json = boost::json;

namespace {

    bool hasField(const TimelineEvent& event, std::initializer_list<std::string_view> names, const std::string& value)
    {
        return std::any_of(event.fields.begin(), event.fields.end(), [&](const auto& field) {
            return field.second == value && std::find(names.begin(), names.end(), field.first) != names.end();
        });
    }

    std::optional<std::uint64_t> parseNumber(std::string_view text, int base)
    {
        std::uint64_t value = 0;
        const std::from_chars_result result = std::from_chars(text.data(), text.data() + text.size(), value, base);
        if (text.empty() || result.ec != std::errc {} || result.ptr != text.data() + text.size())
            return std::nullopt;
        return value;
    }

    TimelineEvent parseEvent(const json::object& object, const std::string& instance)
    {
        TimelineEvent event;
        event.instance = instance;
        event.sequence = object.at("sequence").to_number<std::uint64_t>();
        event.time = json::value_to<std::string>(object.at("time"));
        event.stamp = parseNumber(object.at("stamp").as_string(), 16).value_or(0);
        event.severity = json::value_to<std::string>(object.at("severity"));
        event.number = object.at("number").to_number<std::uint64_t>();
        event.name = json::value_to<std::string>(object.at("name"));
        for (const json::key_value_pair& field : object.at("fields").as_object())
            event.fields.emplace_back(std::string { field.key() }, json::value_to<std::string>(field.value()));
        return event;
    }

    // Removes the next word from a line and returns it. Text in quotation marks may contain spaces.
    std::string readWord(std::string_view& line)
    {
        line.remove_prefix(std::min(line.find_first_not_of(' '), line.size()));
        std::size_t end = 0;
        bool quoted = false;
        while (end < line.size() && (quoted || line[end] != ' ')) {
            if (quoted && line[end] == '\\')
                ++end;
            else if (line[end] == '"')
                quoted = !quoted;
            ++end;
        }
        end = std::min(end, line.size());
        std::string word { line.substr(0, end) };
        line.remove_prefix(end);
        return word;
    }

    std::string decodeValue(std::string_view text)
    {
        if (!text.starts_with('"'))
            return std::string { text };
        boost::system::error_code ec;
        const json::value value = json::parse(text, ec);
        return !ec && value.is_string() ? std::string { value.get_string() } : std::string { text };
    }

    std::optional<TimelineEvent> parseLogLine(std::string_view line)
    {
        TimelineEvent event;
        event.time = readWord(line);
        event.severity = readWord(line);
        const std::optional<std::uint64_t> number = parseNumber(readWord(line), 10);
        event.name = readWord(line);
        if (!number || event.name.empty())
            return std::nullopt;
        event.number = *number;
        for (std::string word = readWord(line); !word.empty(); word = readWord(line)) {
            const std::size_t equals = word.find('=');
            if (equals == std::string::npos)
                return std::nullopt;
            const std::string key = word.substr(0, equals);
            const std::string value = decodeValue(std::string_view { word }.substr(equals + 1));
            if (key == "instance" && event.instance.empty())
                event.instance = value;
            else if (key == "stamp" && event.stamp == 0)
                event.stamp = parseNumber(value, 16).value_or(0);
            else
                event.fields.emplace_back(key, value);
        }
        if (event.instance.empty() || event.stamp == 0)
            return std::nullopt;
        return event;
    }

    std::string fieldsText(const TimelineEvent& event)
    {
        std::string text;
        for (const auto& [name, value] : event.fields) {
            const bool plain = !value.empty() && value.find_first_of(" \"=") == std::string::npos;
            text += fmt::format(" {}={}", name, plain ? value : json::serialize(json::value(value)));
        }
        return text;
    }

} // namespace

bool TimelineFilter::matches(const TimelineEvent& event) const
{
    if (!instance.empty() && event.instance != instance)
        return false;
    if (!request.empty() && !hasField(event, { "request", "request_id", "query" }, request))
        return false;
    if (!className.empty() && !hasField(event, { "class", "class_name" }, className))
        return false;
    return change.empty() || hasField(event, { "change", "change_id" }, change);
}

std::optional<std::uint64_t> readEventsAnswer(std::string_view text, std::vector<TimelineEvent>& events)
{
    try {
        const json::value value = json::parse(text);
        const json::object& object = value.as_object();
        const std::string instance = json::value_to<std::string>(object.at("instance"));
        for (const json::value& event : object.at("events").as_array())
            events.push_back(parseEvent(event.as_object(), instance));
        return object.at("next").to_number<std::uint64_t>();
    } catch (const std::exception&) {
        return std::nullopt;
    }
}

std::size_t readLog(std::istream& in, std::vector<TimelineEvent>& events)
{
    std::size_t skippedLines = 0;
    std::uint64_t number = 0;
    for (std::string line; std::getline(in, line);) {
        std::optional<TimelineEvent> event = parseLogLine(line);
        if (!event) {
            ++skippedLines;
            continue;
        }
        event->sequence = ++number;
        events.push_back(std::move(*event));
    }
    return skippedLines;
}

void orderTimeline(std::vector<TimelineEvent>& events)
{
    const auto order = [](const TimelineEvent& event) { return std::tie(event.stamp, event.time, event.instance, event.number, event.sequence); };
    std::sort(events.begin(), events.end(), [&](const TimelineEvent& a, const TimelineEvent& b) { return order(a) < order(b); });
    // A process gives each event a unique stamp, so events with the same stamp and number from one instance are the same event.
    const auto same = [](const TimelineEvent& a, const TimelineEvent& b) {
        return a.stamp == b.stamp && a.instance == b.instance && a.number == b.number && a.time == b.time;
    };
    events.erase(std::unique(events.begin(), events.end(), same), events.end());
}

std::string timelineText(const std::vector<TimelineEvent>& events)
{
    std::size_t width = 0;
    for (const TimelineEvent& event : events)
        width = std::max(width, event.instance.size());
    std::string text;
    for (const TimelineEvent& event : events)
        text += fmt::format("{} {:<{}} {:<7} {} {}{}\n", event.time, event.instance, width, event.severity, event.number, event.name, fieldsText(event));
    return text;
}

std::string timelineHtml(const std::vector<TimelineEvent>& events)
{
    const auto escaped = [](std::string_view text) {
        std::string out;
        for (char c : text) {
            if (c == '&')
                out += "&amp;";
            else if (c == '<')
                out += "&lt;";
            else if (c == '>')
                out += "&gt;";
            else if (c == '"')
                out += "&quot;";
            else
                out += c;
        }
        return out;
    };
    std::set<InstanceName> instances;
    for (const TimelineEvent& event : events)
        instances.insert(event.instance);
    std::string page = "<!DOCTYPE html>\n<html lang=\"en\"><head><meta charset=\"utf-8\"><title>curranttrail timeline</title>\n<style>\n"
                       "body { font: 13px sans-serif; margin: 1em; } table { border-collapse: collapse; }\n"
                       "th { position: sticky; top: 0; background: #fff; text-align: left; }\n"
                       "th, td { border-left: 1px solid #bbb; padding: 2px 6px; vertical-align: top; }\n"
                       ".warning { background: #fff3c4; } .error { background: #ffd5d0; } .fields { color: #555; font-size: 11px; }\n"
                       "</style></head><body>\n<h1>Timeline</h1>\n<table>\n<tr><th>Time</th>";
    for (const InstanceName& column : instances)
        page += fmt::format("<th>{}</th>", escaped(column));
    page += "</tr>\n";
    for (const TimelineEvent& event : events) {
        page += fmt::format("<tr><td>{}</td>", escaped(event.time));
        for (const InstanceName& column : instances) {
            if (column == event.instance)
                page += fmt::format("<td class=\"{}\">{} {}<div class=\"fields\">{}</div></td>", escaped(event.severity), event.number,
                    escaped(event.name), escaped(fieldsText(event)));
            else
                page += "<td></td>";
        }
        page += "</tr>\n";
    }
    return page + "</table>\n</body></html>\n";
}

} // namespace curranttrail
