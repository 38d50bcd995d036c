#include "main/control_settings.h"

#include <algorithm>
#include <set>

namespace curranttrail {

namespace {

    bool isName(const std::string& text)
    {
        return !text.empty() && text.size() <= 64
            && std::all_of(text.begin(), text.end(), [](char c) { return (c >= 'a' && c <= 'z') || (c >= '0' && c <= '9') || c == '_' || c == '-'; });
    }

    std::string readName(const SettingsTable& table, const std::string& key)
    {
        std::string name = table.text(key);
        if (!name.empty() && !isName(name))
            table.reject(key, "expected 1 to 64 characters of [a-z0-9_-]");
        return name;
    }

    std::string readDigest(const SettingsTable& table)
    {
        std::string digest = table.text("token_sha256");
        const bool valid = digest.size() == 64
            && std::all_of(digest.begin(), digest.end(), [](char c) { return (c >= '0' && c <= '9') || (c >= 'a' && c <= 'f'); });
        if (!digest.empty() && !valid)
            table.reject("token_sha256", "expected 64 lower-case hexadecimal digits, as sha256sum prints them");
        return digest;
    }

    void readGroup(const SettingsTable& group, ControlSettings& settings)
    {
        settings.group = group.endpoint("address");
        settings.groupKeyFile = group.text("key_file");
        std::set<InstanceName> names { settings.name };
        for (const SettingsTable& table : group.tables("peers")) {
            const GroupPeer peer { readName(table, "name"), table.endpoint("address") };
            if (!names.insert(peer.name).second)
                table.reject("name", "expected a name that no other replica of the group has");
            settings.peers.push_back(peer);
        }
    }

    void readUsage(const SettingsTable& usage, UsageSettings& settings)
    {
        settings.keyFile = usage.text("key_file");
        for (const SettingsTable& table : usage.tables("instances"))
            settings.instances.push_back({ readName(table, "name"), table.text("key_file") });
        for (const SettingsTable& table : usage.tables("ledgers"))
            settings.ledgers.push_back({ readName(table, "name"), readName(table, "owner"), table.text("key_file") });
    }

} // namespace

ControlSettings readControlSettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    ControlSettings settings;
    settings.name = readName(root, "name");
    settings.owner = readName(root, "owner");
    settings.dataCentre = readName(root, "data_centre");
    settings.dataFolder = root.text("data_folder");
    settings.http = root.endpoint("http");
    settings.frames = root.endpoint("frames");
    settings.clusterKeyFile = root.text("cluster_key_file");
    settings.bootstrap = root.boolean("bootstrap", false);
    settings.stopTimeout = root.duration("stop_limit", settings.stopTimeout, Micros { 100'000 }, Micros { 600'000'000 });
    if (root.has("log"))
        settings.logThreshold = valueOf(kSeverityNames, root.choice("log", { "debug", "info", "warning", "error" })).value_or(settings.logThreshold);
    readGroup(root.table("group"), settings);
    for (const SettingsTable& table : root.tables("partners"))
        settings.partners.push_back({ readName(table, "name"), readName(table, "owner"), table.endpoint("address") });
    for (const SettingsTable& table : root.tables("operators"))
        settings.operators.push_back({ table.text("name"), readName(table, "owner"), readDigest(table) });
    if (root.has("usage"))
        readUsage(root.table("usage"), settings.usage);
    return settings;
}

} // namespace curranttrail
