#include "main/entry_settings.h"

#include <algorithm>
#include <set>

namespace curranttrail {

namespace {

    constexpr Micros kMinimumDuration { 1'000 };
    constexpr Micros kMaximumDuration { 3'600'000'000 };

    std::string readName(const SettingsTable& table, const std::string& key)
    {
        std::string name = table.text(key);
        const bool valid = name.size() <= 64
            && std::all_of(name.begin(), name.end(), [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-'; });
        if (!valid)
            table.reject(key, "expected 1 to 64 characters of [a-z0-9_-]");
        return name;
    }

    std::string readDigest(const SettingsTable& table)
    {
        std::string digest = table.text("token_sha256");
        const bool valid = digest.size() == 64 && digest.find_first_not_of("0123456789abcdef") == std::string::npos;
        if (!digest.empty() && !valid)
            table.reject("token_sha256", "expected 64 lower-case hexadecimal digits, as sha256sum prints them");
        return digest;
    }

    std::chrono::milliseconds readMilliseconds(const SettingsTable& table, const std::string& key, std::chrono::milliseconds fallback)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(table.duration(key, fallback, kMinimumDuration, kMaximumDuration));
    }

    void readLimits(const SettingsTable& limits, EntrySettings& settings)
    {
        transport::HttpServerOptions& http = settings.http;
        settings.maximumQueries = static_cast<std::uint32_t>(limits.integer("queries", settings.maximumQueries, 1, 1'000'000));
        http.connections = static_cast<std::size_t>(limits.integer("connections", static_cast<std::int64_t>(http.connections), 1, 100'000));
        http.maximumBodyBytes = static_cast<std::size_t>(limits.integer("body_bytes", 262'144, 1'024, 67'108'864));
        http.headerTimeout = readMilliseconds(limits, "header_time", http.headerTimeout);
        http.bodyTimeout = readMilliseconds(limits, "body_time", http.bodyTimeout);
        http.idleTimeout = readMilliseconds(limits, "idle_time", http.idleTimeout);
    }

    void readPolls(const SettingsTable& polls, EntrySettings& settings)
    {
        settings.instancesInterval = polls.duration("instances_interval", settings.instancesInterval, kMinimumDuration, kMaximumDuration);
        settings.reportInterval = polls.duration("report_interval", settings.reportInterval, kMinimumDuration, kMaximumDuration);
        settings.pollTimeout = polls.duration("timeout", settings.pollTimeout, kMinimumDuration, kMaximumDuration);
    }

    void readControl(const SettingsTable& root, EntrySettings& settings)
    {
        std::set<InstanceName> names;
        for (const SettingsTable& table : root.tables("control")) {
            settings.control.push_back({ readName(table, "name"), readName(table, "owner"), table.endpoint("address") });
            if (!names.insert(settings.control.back().name).second)
                table.reject("name", "expected a name that no other control instance has");
        }
    }

} // namespace

EntrySettings readEntrySettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    EntrySettings settings;
    settings.name = readName(root, "name");
    settings.owner = readName(root, "owner");
    settings.dataCentre = readName(root, "data_centre");
    settings.http.bind = root.endpoint("http");
    settings.frames = root.endpoint("frames");
    settings.clusterKeyFile = root.text("cluster_key_file");
    settings.usageKeyFile = root.has("usage_key_file") ? root.text("usage_key_file") : std::string {};
    settings.platform = root.endpoint("platform");
    settings.seeds = root.endpoints("seeds");
    settings.threads = static_cast<unsigned>(root.integer("threads", settings.threads, 1, 64));
    settings.drainPause = root.duration("drain_pause", settings.drainPause, Micros { 0 }, kMaximumDuration);
    settings.stopTimeout = root.duration("stop_limit", settings.stopTimeout, Micros { 100'000 }, kMaximumDuration);
    if (root.has("log"))
        settings.logThreshold = valueOf(kSeverityNames, root.choice("log", { "debug", "info", "warning", "error" })).value_or(settings.logThreshold);
    readLimits(root.table("limits"), settings);
    readPolls(root.table("polls"), settings);
    readControl(root, settings);
    for (const SettingsTable& table : root.tables("callers"))
        settings.callers.push_back({ table.text("name"), readName(table, "owner"), readDigest(table) });
    for (const SettingsTable& table : root.tables("distances"))
        settings.distances[readName(table, "data_centre")] = table.duration("round_trip", Micros { 1 }, Micros { 10'000'000 });
    return settings;
}

} // namespace curranttrail
