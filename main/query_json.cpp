#include "main/query_json.h"

#include "core/not_run_status.h"
#include "transport/backend_protocol.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <chrono>

namespace curranttrail {

namespace json = boost::json;
using transport::keyText;

namespace {

    constexpr std::size_t kMaximumNestingDepth = 16;
    constexpr std::size_t kMaximumNameLength = 64;
    constexpr std::size_t kMaximumRequestIdLength = 128;
    constexpr std::int64_t kMaximumDeadlineMs = 300'000;

    QueryError malformed(std::string message)
    {
        return { 400, "malformed", std::move(message) };
    }

    bool isPrintable(std::string_view text, std::size_t maximumLength)
    {
        return !text.empty() && text.size() <= maximumLength && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
    }

    // Reads one field into the query. Returns an error message, or nothing if the field is valid.
    std::optional<std::string> readField(std::string_view key, const json::value& value, query::QueryArrived& arrived, bool& hasDeadline)
    {
        if (key == "class") {
            if (!value.is_string() || !isPrintable(value.as_string(), kMaximumNameLength))
                return "\"class\" must be a string of 1 to 64 printable characters";
            arrived.className = std::string { value.as_string() };
        } else if (key == "deadline_ms") {
            if (!value.is_int64() || value.as_int64() > kMaximumDeadlineMs || value.as_int64() < -kMaximumDeadlineMs)
                return "\"deadline_ms\" must be an integer of at most 300000";
            // The reducer refuses a deadline that has passed.
            arrived.timeout = std::chrono::milliseconds { value.as_int64() };
            hasDeadline = true;
        } else if (key == "request_id") {
            if (!value.is_string() || !isPrintable(value.as_string(), kMaximumRequestIdLength))
                return "\"request_id\" must be a string of 1 to 128 printable characters without spaces";
            arrived.requestId = std::string { value.as_string() };
        } else if (key == "issued_at_ms") {
            if (!value.is_int64() || value.as_int64() < 0)
                return "\"issued_at_ms\" must be milliseconds since 1970";
            arrived.issuedAt = value.as_int64();
        } else if (key == "query") {
            arrived.body = json::serialize(value);
        } else {
            return "unknown field \"" + std::string { key } + "\"";
        }
        return std::nullopt;
    }

    json::object shardJson(const query::ShardRange& shard)
    {
        return { { "shard", shard.shard }, { "begin", keyText(shard.range.begin) }, { "end", keyText(shard.range.end) } };
    }

    json::object coverageJson(const query::Coverage& coverage)
    {
        json::array covered;
        for (const query::ShardRange& shard : coverage.covered)
            covered.push_back(shardJson(shard));
        json::array missing;
        for (const query::MissingShard& shard : coverage.missing) {
            json::object entry = shardJson(shard.shard);
            entry["reason"] = nameOf(query::kMissingShardReasonNames, shard.reason);
            missing.push_back(std::move(entry));
        }
        return { { "fraction", coverage.fraction }, { "covered", std::move(covered) }, { "lacking", std::move(missing) } };
    }

    unsigned statusOf(query::RefusalReason reason)
    {
        switch (reason) {
        case query::RefusalReason::UnknownClass:
            return 404;
        case query::RefusalReason::WrongOwner:
            return 403;
        case query::RefusalReason::MissingRequestId:
        // Callers do not repeat a request after this status.
        case query::RefusalReason::QueryBlocked:
            return 400;
        case query::RefusalReason::RequestIdExpired:
        case query::RefusalReason::DuplicateRequest:
            return 409;
        case query::RefusalReason::Overloaded:
            return 429;
        case query::RefusalReason::DeadlinePast:
        case query::RefusalReason::DeadlineReached:
            return 504;
        case query::RefusalReason::ServerFailed:
            return 502;
        case query::RefusalReason::NotReady:
        case query::RefusalReason::Draining:
        case query::RefusalReason::ClaimUnavailable:
        case query::RefusalReason::NoServers:
        case query::RefusalReason::CoverageTooLow:
        case query::RefusalReason::AwaitingTrial:
            break;
        }
        return 503;
    }

    // A status that promises that the query has not run is used only if that is certain.
    unsigned statusOf(const query::SendRefusal& refusal)
    {
        const unsigned status = statusOf(refusal.reason);
        const bool mayHaveRun = refusal.verdict != Verdict::NotRun;
        return mayHaveRun && promisesNotRun(status) ? 502 : status;
    }

} // namespace

std::variant<query::QueryArrived, QueryError> readQuery(const std::string& body)
{
    json::parse_options options;
    options.max_depth = kMaximumNestingDepth;
    json::error_code ec;
    const json::value value = json::parse(body, ec, {}, options);
    if (ec)
        return malformed("the body is not JSON of at most 16 levels: " + ec.message());
    if (!value.is_object())
        return malformed("the body must be a JSON object");
    query::QueryArrived arrived;
    bool hasDeadline = false;
    for (const auto& pair : value.as_object()) {
        if (std::optional<std::string> message = readField({ pair.key().data(), pair.key().size() }, pair.value(), arrived, hasDeadline))
            return malformed(std::move(*message));
    }
    if (arrived.className.empty() || !hasDeadline || arrived.body.empty())
        return malformed("\"class\", \"deadline_ms\" and \"query\" are required");
    return arrived;
}

std::string answerJson(const query::SendAnswer& answer)
{
    std::vector<const query::ShardResult*> results;
    for (const query::ShardResult& result : answer.results)
        results.push_back(&result);
    std::sort(results.begin(), results.end(), [](const query::ShardResult* a, const query::ShardResult* b) { return a->shard.range.begin < b->shard.range.begin; });
    // Payloads are inserted as text, because each was checked to be one JSON value when it was received.
    std::string text = "{\"result\":[";
    for (const query::ShardResult* result : results) {
        if (result != results.front())
            text += ',';
        text += result->payload;
    }
    text += "],\"snapshot\":" + std::to_string(answer.snapshot.value) + ",\"coverage\":" + json::serialize(coverageJson(answer.coverage)) + "}";
    return text;
}

transport::HttpResponse refusalResponse(const query::SendRefusal& refusal)
{
    json::object object { { "error", nameOf(query::kRefusalReasonNames, refusal.reason) }, { "run", nameOf(kVerdictNames, refusal.verdict) }, { "message", refusal.message } };
    if (refusal.coverage)
        object["coverage"] = coverageJson(*refusal.coverage);
    transport::HttpResponse response;
    response.status = statusOf(refusal);
    response.body = json::serialize(object);
    response.fields.emplace_back("X-Run", nameOf(kVerdictNames, refusal.verdict));
    if (refusal.retryAfter)
        response.fields.emplace_back("Retry-After", fmt::to_string(std::chrono::ceil<std::chrono::seconds>(*refusal.retryAfter).count()));
    return response;
}

} // namespace curranttrail
