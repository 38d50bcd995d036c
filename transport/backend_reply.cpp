#include "transport/backend_reply.h"

#include "transport/backend_protocol.h"

#include <boost/json.hpp>

#include <fmt/format.h>

#include <algorithm>
#include <charconv>
#include <cmath>

namespace curranttrail::transport {

namespace {

    bool isFieldValue(std::string_view text)
    {
        return !text.empty() && std::all_of(text.begin(), text.end(), [](unsigned char c) { return c > ' ' && c < 127; });
    }

    std::optional<AttemptId> parseAttemptId(std::string_view text, std::string_view prefix)
    {
        if (!text.starts_with(prefix) || text.size() <= prefix.size() || text[prefix.size()] != '-')
            return std::nullopt;
        const std::optional<std::uint64_t> number = parseNumber(text.substr(prefix.size() + 1));
        return number ? std::optional<AttemptId> { { *number } } : std::nullopt;
    }

    bool saysSnapshotGone(const std::string& body)
    {
        boost::json::error_code ec;
        const boost::json::value value = boost::json::parse(body, ec);
        const boost::json::value* error = !ec && value.is_object() ? value.as_object().if_contains("error") : nullptr;
        return error && error->is_string() && error->as_string() == "snapshot_gone";
    }

    query::ReplyStatus statusOf(const HttpResponse& response)
    {
        if (response.status == 200)
            return query::ReplyStatus::Ok;
        if (response.status == 503 && response.field(field::kRun) == "not_run")
            return query::ReplyStatus::Shed;
        if (response.status == 409 && saysSnapshotGone(response.body))
            return query::ReplyStatus::SnapshotGone;
        return query::ReplyStatus::Failed;
    }

    std::optional<double> parseLoad(std::string_view text)
    {
        double load = 0;
        const auto [end, ec] = std::from_chars(text.data(), text.data() + text.size(), load);
        if (ec != std::errc {} || end != text.data() + text.size() || !std::isfinite(load) || load < 0)
            return std::nullopt;
        return load;
    }

    std::optional<query::ServerReport> parseReportFields(const HttpResponse& response, ServerId server)
    {
        const std::optional<std::string_view> load = response.field(field::kLoad);
        const std::optional<std::string_view> draining = response.field(field::kDraining);
        if (!load && !draining)
            return std::nullopt;
        query::ServerReport report;
        report.server = server;
        report.load = load ? parseLoad(*load).value_or(0) : 0;
        report.draining = draining && *draining != "0";
        return report;
    }

} // namespace

std::string formatAttemptId(std::string_view prefix, AttemptId attempt)
{
    return fmt::format("{}-{}", prefix, attempt.value);
}

std::optional<std::string> serializeSubquery(const query::SendSubquery& subquery, std::string_view prefix, const Endpoint& server)
{
    if (!isFieldValue(subquery.shard.shard) || (subquery.requestId && !isFieldValue(*subquery.requestId)))
        return std::nullopt;
    const std::int64_t deadlineMs = std::max<std::int64_t>(std::chrono::duration_cast<std::chrono::milliseconds>(subquery.timeout).count(), 1);
    std::string text = fmt::format("POST /v1/subquery HTTP/1.1\r\nHost: {}\r\nContent-Type: application/json\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n{}: {}\r\n",
        server.text(), field::kAttempt, formatAttemptId(prefix, subquery.attempt), field::kSnapshot, subquery.snapshot.value, field::kShard, subquery.shard.shard,
        field::kKeyRange, keyRangeText(subquery.shard.range), field::kDeadlineMs, deadlineMs);
    if (subquery.requestId)
        text += fmt::format("{}: {}\r\n", field::kRequestId, *subquery.requestId);
    text += fmt::format("Content-Length: {}\r\n\r\n", subquery.body->size());
    return text;
}

std::optional<query::SubqueryReplied> parseReply(const HttpResponse& response, std::string_view prefix, ConnectionId connection, ServerId server)
{
    const std::optional<AttemptId> attempt = parseAttemptId(response.field(field::kAttempt).value_or(""), prefix);
    const std::optional<std::uint64_t> snapshot = parseNumber(response.field(field::kSnapshot).value_or(""));
    const std::optional<std::string_view> shard = response.field(field::kShard);
    const std::optional<KeyRange> range = parseKeyRange(response.field(field::kKeyRange).value_or(""));
    if (!attempt || !snapshot || !shard || !range)
        return std::nullopt;
    query::SubqueryReplied reply;
    reply.attempt = *attempt;
    reply.connection = connection;
    reply.status = statusOf(response);
    reply.snapshot = { *snapshot };
    reply.shard = { std::string { *shard }, *range };
    reply.serverMicros = parseNumber(response.field(field::kServerMicros).value_or("")).value_or(0);
    reply.report = parseReportFields(response, server);
    // The payload is embedded in the JSON response to the caller, so invalid JSON would corrupt it.
    if (reply.status == query::ReplyStatus::Ok && !isJson(response.body))
        return std::nullopt;
    reply.payload = response.body;
    return reply;
}

} // namespace curranttrail::transport
