#include "main/cli_commands.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <fstream>
#include <ostream>
#include <random>
#include <thread>

namespace curranttrail {

namespace json = boost::json;

namespace {

    const std::string kClassesPath = "/v1/classes";

    CliExit unreachable(const OwnerName& owner, CliOutput output)
    {
        output.err << fmt::format("no control instance of {} can be reached\n", owner);
        return CliExit::Unreachable;
    }

    CliExit refused(const ControlAnswer& answer, CliOutput output)
    {
        output.err << fmt::format("{}: {}: {}\n", answer.instance, textIn(answer.body, "error", std::to_string(answer.status)), textIn(answer.body, "message"));
        return CliExit::Refused;
    }

    void warnIfStale(const ControlAnswer& answer, CliOutput output)
    {
        if (!answer.isNewest)
            output.err << fmt::format("note: {} has no valid lease; its data may be out of date\n", answer.instance);
    }

    std::string classLine(const ClassTarget& target)
    {
        return fmt::format("{}  version {}  collection {}  {:g}% within {:g} ms  coverage at least {:g}  {}\n", target.name, target.version.value,
            target.collection, target.percentile * 100, static_cast<double>(target.latency.count()) / 1000, target.minimumCoverage,
            target.repeatable ? "repeatable" : "runs at most once");
    }

    const json::array& arrayIn(const json::object& object, std::string_view key)
    {
        static const json::array empty;
        const json::value* value = object.if_contains(key);
        return value && value->is_array() ? value->get_array() : empty;
    }

    std::string makeChangeId()
    {
        std::random_device device;
        return fmt::format("change-{:08x}{:08x}{:08x}", device(), device(), device());
    }

    bool applyEdit(const ClassEdit& edit, ClassTarget& target, bool exists, CliOutput output)
    {
        if (!exists && (!edit.collection || !edit.latencyMs || !edit.percentile)) {
            output.err << fmt::format("{} does not exist yet: --collection, --percentile and --latency-ms are required to create it\n", edit.name);
            return false;
        }
        target.name = edit.name;
        target.collection = edit.collection.value_or(target.collection);
        target.percentile = edit.percentile.value_or(target.percentile);
        target.minimumCoverage = edit.minimumCoverage.value_or(target.minimumCoverage);
        target.repeatable = edit.repeatable.value_or(target.repeatable);
        if (edit.latencyMs)
            target.latency = Micros { static_cast<std::int64_t>(*edit.latencyMs * 1000) };
        return true;
    }

    // Number of entry instances of a data centre that have at least a given version.
    struct RolloutProgress {
        std::uint64_t reached = 0;
        std::uint64_t reporting = 0;
        std::vector<std::string> notReporting;
        std::string versions;
    };

    RolloutProgress rolloutProgress(const json::object& centre, const OwnerName& owner, std::uint64_t version)
    {
        RolloutProgress progress;
        progress.reporting = numberIn(centre, "instances");
        const json::value* versions = centre.if_contains("versions");
        if (versions && versions->is_object()) {
            for (const json::value& row : arrayIn(versions->get_object(), owner)) {
                const std::uint64_t instances = numberIn(row.as_object(), "instances");
                const std::uint64_t reportedVersion = numberIn(row.as_object(), "version");
                progress.reached += reportedVersion >= version ? instances : 0;
                progress.versions += fmt::format("{}{} on {}", progress.versions.empty() ? "" : ", ", reportedVersion, instances);
            }
        }
        for (const json::value& name : arrayIn(centre, "not_reporting"))
            progress.notReporting.push_back(json::value_to<std::string>(name));
        return progress;
    }

    bool isActiveEverywhere(const json::object& status, const OwnerName& owner, std::uint64_t version)
    {
        std::uint64_t reached = 0;
        for (const json::value& centre : arrayIn(status, "in_force")) {
            const RolloutProgress progress = rolloutProgress(centre.as_object(), owner, version);
            if (progress.reached < progress.reporting || !progress.notReporting.empty())
                return false;
            reached += progress.reached;
        }
        return reached > 0;
    }

    void waitUntilActive(const CliSettings& settings, const CliClient& client, std::uint64_t version, CliOutput output)
    {
        const std::chrono::steady_clock::time_point start = std::chrono::steady_clock::now();
        while (std::chrono::steady_clock::now() - start < settings.commandTimeout) {
            const std::optional<ControlAnswer> answer = client.read(settings.owner, "/v1/status");
            if (answer && answer->status == 200 && isActiveEverywhere(answer->body, settings.owner, version)) {
                const auto elapsed = std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start);
                output.out << fmt::format("version {} is in force on every reporting entry instance, {} ms after it was accepted\n", version, elapsed.count());
                return;
            }
            std::this_thread::sleep_for(std::chrono::milliseconds { 50 });
        }
        output.err << fmt::format("version {} is accepted but not yet in force everywhere; the command \"where\" shows its progress\n", version);
    }

    std::optional<std::uint64_t> newestVersion(const CliClient& client, const OwnerName& owner, const ClassName& name, CliOutput output, CliExit& exit)
    {
        const std::optional<ControlAnswer> answer = client.read(owner, name.empty() ? kClassesPath : kClassesPath + "/" + name);
        if (!answer)
            exit = unreachable(owner, output);
        else if (answer->status != 200)
            exit = refused(*answer, output);
        else
            return numberIn(answer->body, "version");
        return std::nullopt;
    }

    void fetchEvents(const CliSettings& settings, const CliInstance& instance, std::vector<TimelineEvent>& events, CliOutput output)
    {
        // Bounds the pages in case an instance writes events faster than they are read.
        constexpr int maximumPages = 64;
        std::uint64_t after = 0;
        for (int page = 0; page < maximumPages; ++page) {
            transport::HttpRequest request;
            request.path = "/v1/events";
            request.query = fmt::format("after={}", after);
            request.fields.emplace_back("Authorization", "Bearer " + settings.token);
            const HttpReply reply = requestOnce(instance.address, request, settings.requestTimeout);
            const std::optional<std::uint64_t> next
                = reply.outcome == HttpOutcome::Answered && reply.status == 200 ? readEventsAnswer(reply.body, events) : std::nullopt;
            if (!next) {
                output.err << fmt::format("note: the events of {} cannot be fetched: {}\n", instance.name, reply.error.empty() ? std::to_string(reply.status) : reply.error);
                return;
            }
            if (*next == after)
                return;
            after = *next;
        }
    }

    bool readLogs(const std::vector<std::string>& files, std::vector<TimelineEvent>& events, CliOutput output)
    {
        for (const std::string& file : files) {
            std::ifstream in(file);
            if (!in) {
                output.err << fmt::format("{} cannot be read\n", file);
                return false;
            }
            if (const std::size_t skippedLines = readLog(in, events))
                output.err << fmt::format("note: {} lines of {} are not events\n", skippedLines, file);
        }
        return true;
    }

} // namespace

CliExit listClasses(const CliSettings& settings, const OwnerName& owner, CliOutput output)
{
    const std::optional<ControlAnswer> answer = CliClient(settings).read(owner, kClassesPath);
    if (!answer)
        return unreachable(owner, output);
    if (answer->status != 200)
        return refused(*answer, output);
    output.out << fmt::format("{}  version {}\n", owner, numberIn(answer->body, "version"));
    std::string error;
    for (const json::value& value : arrayIn(answer->body, "classes")) {
        if (const std::optional<ClassTarget> target = readClass(value, error))
            output.out << classLine(*target);
    }
    warnIfStale(*answer, output);
    return CliExit::Ok;
}

CliExit showClass(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output)
{
    const std::optional<ControlAnswer> answer = CliClient(settings).read(owner, kClassesPath + "/" + name);
    if (!answer)
        return unreachable(owner, output);
    if (answer->status != 200)
        return refused(*answer, output);
    std::string error;
    const std::optional<ClassTarget> target = readClass(answer->body, error);
    output.out << (target ? classLine(*target) : "malformed answer: " + error + "\n");
    warnIfStale(*answer, output);
    return target ? CliExit::Ok : CliExit::Refused;
}

CliExit setClass(const CliSettings& settings, const ClassEdit& edit, CliOutput output)
{
    const CliClient client(settings);
    const std::optional<ControlAnswer> answer = client.read(settings.owner, kClassesPath + "/" + edit.name);
    if (!answer)
        return unreachable(settings.owner, output);
    if (answer->status != 200 && answer->status != 404)
        return refused(*answer, output);
    ClassChange change;
    std::string error;
    if (answer->status == 200)
        change.target = readClass(answer->body, error).value_or(ClassTarget {});
    if (!applyEdit(edit, change.target, answer->status == 200, output))
        return CliExit::Usage;
    change.expectedVersion = { edit.expectedVersion.value_or(change.target.version.value) };
    change.changeId = edit.changeId.value_or(makeChangeId());
    output.out << fmt::format("change id {}, expected version {}\n", change.changeId, change.expectedVersion.value) << std::flush;
    const ChangeOutcome outcome = client.change(settings.owner, change, [&output](const std::string& line) { output.err << line << '\n'; });
    if (outcome.exit != CliExit::Ok) {
        output.err << outcome.message << '\n';
        return outcome.exit;
    }
    output.out << fmt::format("accepted: {} is at version {}\n", edit.name, outcome.version.value) << std::flush;
    if (edit.wait)
        waitUntilActive(settings, client, outcome.version.value, output);
    return CliExit::Ok;
}

CliExit showStatus(const CliSettings& settings, CliOutput output)
{
    const CliClient client(settings);
    bool reached = false;
    bool answered = false;
    for (const CliInstance& instance : settings.control) {
        const std::optional<ControlAnswer> answer = client.readFrom(instance, "/v1/status");
        if (!answer) {
            output.out << fmt::format("{}  {}  cannot be reached\n", instance.name, instance.owner);
            continue;
        }
        reached = true;
        if (answer->status != 200) {
            refused(*answer, output);
            continue;
        }
        answered = true;
        const json::object& body = answer->body;
        output.out << fmt::format("{}  {}  {}  {}  term {}  leader {}  {}  version {}  commit {}{}{}\n", instance.name, textIn(body, "owner"),
            textIn(body, "data_centre"), textIn(body, "role"), numberIn(body, "term"), textIn(body, "leader", "unknown"),
            flagIn(body, "lease_valid") ? "lease valid" : "no lease", numberIn(body, "configuration_version"), numberIn(body, "commit_index"),
            flagIn(body, "repairing") ? "  being repaired" : "", flagIn(body, "storage_failed") ? "  journal cannot be written" : "");
    }
    if (!reached)
        return CliExit::Unreachable;
    return answered ? CliExit::Ok : CliExit::Refused;
}

CliExit showWhere(const CliSettings& settings, const OwnerName& owner, const ClassName& name, CliOutput output)
{
    const CliClient client(settings);
    CliExit exit = CliExit::Ok;
    const std::optional<std::uint64_t> version = newestVersion(client, owner, name, output, exit);
    if (!version)
        return exit;
    const std::optional<ControlAnswer> status = client.read(owner, "/v1/status");
    if (!status)
        return unreachable(owner, output);
    if (status->status != 200)
        return refused(*status, output);
    output.out << fmt::format("{} version {}\n", name.empty() ? owner : owner + "/" + name, *version);
    for (const json::value& value : arrayIn(status->body, "in_force")) {
        const RolloutProgress progress = rolloutProgress(value.as_object(), owner, *version);
        output.out << fmt::format("{}  in force on {} of {} entry instances (versions: {})", textIn(value.as_object(), "data_centre"), progress.reached,
            progress.reporting, progress.versions.empty() ? "none" : progress.versions);
        if (!progress.notReporting.empty())
            output.out << fmt::format("  not reporting: {}", fmt::join(progress.notReporting, ", "));
        output.out << '\n';
    }
    warnIfStale(*status, output);
    return CliExit::Ok;
}

CliExit showTimeline(const CliSettings& settings, const TimelineOptions& options, CliOutput output)
{
    std::vector<TimelineEvent> events;
    if (!readLogs(options.logs, events, output))
        return CliExit::Usage;
    if (options.logs.empty()) {
        for (const std::vector<CliInstance>* group : { &settings.control, &settings.entries }) {
            for (const CliInstance& instance : *group)
                fetchEvents(settings, instance, events, output);
        }
        if (events.empty())
            return CliExit::Unreachable;
    }
    std::erase_if(events, [&options](const TimelineEvent& event) { return !options.filter.matches(event); });
    orderTimeline(events);
    if (options.htmlFile.empty()) {
        output.out << timelineText(events);
        return CliExit::Ok;
    }
    std::ofstream page(options.htmlFile);
    page << timelineHtml(events);
    if (!page.flush()) {
        output.err << fmt::format("{} cannot be written\n", options.htmlFile);
        return CliExit::Usage;
    }
    output.out << fmt::format("{} events written to {}\n", events.size(), options.htmlFile);
    return CliExit::Ok;
}

} // namespace curranttrail
