#include "main/class_json.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <cmath>
#include <set>

namespace curranttrail {

namespace json = boost::json;

namespace {

    struct ParseError {
        std::string text;
    };

    const json::value& member(const json::object& object, std::string_view key)
    {
        const json::value* value = object.if_contains(key);
        if (!value)
            throw ParseError { fmt::format("\"{}\" is missing", key) };
        return *value;
    }

    const json::object& objectOf(const json::value& value, std::string_view key)
    {
        const json::object* object = value.if_object();
        if (!object)
            throw ParseError { fmt::format("\"{}\" is not an object", key) };
        return *object;
    }

    std::string textOf(const json::object& object, std::string_view key)
    {
        const json::string* text = member(object, key).if_string();
        if (!text)
            throw ParseError { fmt::format("\"{}\" is not a string", key) };
        return std::string { *text };
    }

    double realOf(const json::object& object, std::string_view key)
    {
        const json::value& value = member(object, key);
        if (!value.is_number())
            throw ParseError { fmt::format("\"{}\" is not a number", key) };
        return value.to_number<double>();
    }

    std::uint64_t countOf(const json::object& object, std::string_view key)
    {
        boost::system::error_code ec;
        const std::uint64_t count = member(object, key).to_number<std::uint64_t>(ec);
        if (ec)
            throw ParseError { fmt::format("\"{}\" is not a non-negative integer", key) };
        return count;
    }

    void rejectUnknownFields(const json::object& object, const std::set<std::string_view>& known)
    {
        for (const json::key_value_pair& pair : object) {
            if (!known.contains(std::string_view { pair.key() }))
                throw ParseError { fmt::format("\"{}\" is not a known field", std::string_view { pair.key() }) };
        }
    }

    ClassTarget targetOf(const json::object& object)
    {
        rejectUnknownFields(object, { "collection", "percentile", "latency_ms", "minimum_coverage", "repeatable" });
        ClassTarget target;
        target.collection = textOf(object, "collection");
        target.percentile = realOf(object, "percentile");
        const double latencyMs = realOf(object, "latency_ms");
        if (!(latencyMs >= 1 && latencyMs <= 60'000))
            throw ParseError { "\"latency_ms\" is not from 1 to 60000" };
        target.latency = Micros { std::llround(latencyMs * 1000) };
        target.minimumCoverage = realOf(object, "minimum_coverage");
        const bool* repeatable = member(object, "repeatable").if_bool();
        if (!repeatable)
            throw ParseError { "\"repeatable\" is not a boolean" };
        target.repeatable = *repeatable;
        return target;
    }

    json::object targetToJson(const ClassTarget& target)
    {
        return { { "collection", target.collection }, { "percentile", target.percentile },
            { "latency_ms", static_cast<double>(target.latency.count()) / 1000 }, { "minimum_coverage", target.minimumCoverage },
            { "repeatable", target.repeatable } };
    }

} // namespace

json::object classToJson(const ClassTarget& target)
{
    return { { "name", target.name }, { "owner", target.owner }, { "version", target.version.value }, { "target", targetToJson(target) } };
}

std::optional<ClassChange> readClassChange(std::string_view body, std::string& error)
{
    try {
        boost::system::error_code ec;
        const json::value value = json::parse(body, ec);
        if (ec)
            throw ParseError { fmt::format("the body is not JSON: {}", ec.message()) };
        const json::object& object = objectOf(value, "body");
        rejectUnknownFields(object, { "target", "expected_version", "change_id" });
        ClassChange change;
        change.target = targetOf(objectOf(member(object, "target"), "target"));
        change.expectedVersion = { countOf(object, "expected_version") };
        change.changeId = textOf(object, "change_id");
        return change;
    } catch (const ParseError& found) {
        error = found.text;
        return std::nullopt;
    }
}

std::optional<ClassTarget> readClass(const json::value& value, std::string& error)
{
    try {
        const json::object& object = objectOf(value, "class");
        ClassTarget target = targetOf(objectOf(member(object, "target"), "target"));
        target.name = textOf(object, "name");
        target.owner = textOf(object, "owner");
        target.version = { countOf(object, "version") };
        return target;
    } catch (const ParseError& found) {
        error = found.text;
        return std::nullopt;
    }
}

std::string writeClassChange(const ClassChange& change)
{
    return json::serialize(json::object { { "target", targetToJson(change.target) }, { "expected_version", change.expectedVersion.value },
        { "change_id", change.changeId } });
}

} // namespace curranttrail
