#include "main/cli_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <thread>

namespace curranttrail {

namespace json = boost::json;

namespace {

    constexpr std::chrono::milliseconds kRetryRoundDelay { 200 };

    json::object parseObject(const std::string& text)
    {
        boost::system::error_code ec;
        const json::value value = json::parse(text, ec);
        return !ec && value.is_object() ? value.get_object() : json::object {};
    }

    // Result of one attempt to make a change.
    struct AttemptResult {
        bool final = false;
        // True if the outcome holds for earlier attempts with the same id as well.
        bool isConclusive = false;
        // True if the change may have been proposed.
        bool mayHaveRun = false;
        // True if the request reached an instance.
        bool wasReached = false;
        ChangeOutcome outcome;
    };

    AttemptResult evaluateReply(const HttpReply& reply)
    {
        if (reply.outcome == HttpOutcome::NotSent)
            return { false, false, false, false, { CliExit::Unreachable, {}, reply.error } };
        if (reply.outcome == HttpOutcome::Unknown)
            return { false, false, true, true, { CliExit::Unknown, {}, fmt::format("no answer: {}", reply.error) } };
        const json::object body = parseObject(reply.body);
        const std::string message = fmt::format("{}: {}", textIn(body, "error", std::to_string(reply.status)), textIn(body, "message", "no explanation"));
        if (reply.status == 200)
            return { true, true, false, true, { CliExit::Ok, { numberIn(body, "version") }, {} } };
        if (reply.status == 409)
            return { true, true, false, true, { CliExit::Refused, { numberIn(body, "version") }, message } };
        // A server error without "not_run" leaves the outcome unknown.
        if (reply.status >= 500)
            return { false, false, textIn(body, "run") != "not_run", true, { CliExit::Refused, {}, message } };
        return { true, false, false, true, { CliExit::Refused, {}, message } };
    }

} // namespace

std::string textIn(const json::object& object, std::string_view key, const std::string& fallback)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_string() ? std::string { value->get_string() } : fallback;
}

std::uint64_t numberIn(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    boost::system::error_code ec;
    return value ? value->to_number<std::uint64_t>(ec) : 0;
}

bool flagIn(const json::object& object, std::string_view key)
{
    const json::value* value = object.if_contains(key);
    return value && value->is_bool() && value->get_bool();
}

transport::HttpRequest CliClient::request(std::string method, const std::string& path, std::string body) const
{
    transport::HttpRequest request;
    request.method = std::move(method);
    request.path = path;
    request.fields.emplace_back("Authorization", "Bearer " + m_settings.token);
    request.body = std::move(body);
    return request;
}

std::optional<ControlAnswer> CliClient::readFrom(const CliInstance& instance, const std::string& path) const
{
    const HttpReply reply = requestOnce(instance.address, request("GET", path, {}), m_settings.requestTimeout);
    if (reply.outcome != HttpOutcome::Answered)
        return std::nullopt;
    ControlAnswer answer { instance.name, reply.status, parseObject(reply.body), false };
    answer.isNewest = flagIn(answer.body, "newest");
    return answer;
}

std::optional<ControlAnswer> CliClient::read(const OwnerName& owner, const std::string& path) const
{
    std::optional<ControlAnswer> last;
    for (const CliInstance& instance : m_settings.control) {
        if (instance.owner != owner)
            continue;
        std::optional<ControlAnswer> answer = readFrom(instance, path);
        if (!answer)
            continue;
        last = std::move(answer);
        if (last->isNewest)
            break;
    }
    return last;
}

ChangeOutcome CliClient::change(const OwnerName& owner, const ClassChange& change, const std::function<void(const std::string&)>& log) const
{
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + m_settings.commandTimeout;
    const transport::HttpRequest put = request("PUT", "/v1/classes/" + change.target.name, writeClassChange(change));
    bool mayHaveRun = false;
    bool wasReached = false;
    std::vector<CliInstance> instances = m_settings.control;
    std::erase_if(instances, [&owner](const CliInstance& instance) { return instance.owner != owner; });
    if (instances.empty())
        return { CliExit::Usage, {}, fmt::format("no control instance of {} is in the settings", owner) };
    ChangeOutcome last;
    do {
        for (const CliInstance& instance : instances) {
            const AttemptResult result = evaluateReply(requestOnce(instance.address, put, m_settings.requestTimeout));
            // A refusal of the request itself, such as of its token, does not tell the outcome of an earlier attempt.
            if (result.final && (!mayHaveRun || result.isConclusive))
                return result.outcome;
            log(fmt::format("{}: {}", instance.name, result.outcome.message));
            mayHaveRun = mayHaveRun || result.mayHaveRun;
            wasReached = wasReached || result.wasReached;
            last = result.outcome;
        }
        std::this_thread::sleep_for(kRetryRoundDelay);
    } while (std::chrono::steady_clock::now() < deadline);
    if (mayHaveRun)
        return { CliExit::Unknown, {}, fmt::format("the change may have been accepted; send it again with --change-id {} --expected-version {}", change.changeId, change.expectedVersion.value) };
    last.exit = wasReached ? CliExit::Refused : CliExit::Unreachable;
    return last;
}

} // namespace curranttrail
