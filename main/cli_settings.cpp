#include "main/cli_settings.h"

#include <fstream>

namespace curranttrail {

namespace {

    std::string readToken(const SettingsTable& root)
    {
        const std::string path = root.text("token_file");
        std::ifstream file(path);
        std::string token;
        file >> token;
        if (!path.empty() && token.empty())
            root.reject("token_file", "expected a file that can be read and holds a token");
        return token;
    }

    std::vector<CliInstance> readInstances(const SettingsTable& root, const std::string& key)
    {
        std::vector<CliInstance> instances;
        for (const SettingsTable& table : root.tables(key))
            instances.push_back({ table.text("name"), table.text("owner"), table.endpoint("address") });
        return instances;
    }

    std::vector<CliKey> readKeys(const SettingsTable& usage, const std::string& key)
    {
        std::vector<CliKey> keys;
        for (const SettingsTable& table : usage.tables(key))
            keys.push_back({ table.text("name"), table.text("key_file") });
        return keys;
    }

} // namespace

CliSettings readCliSettings(const SettingsFile& file)
{
    const SettingsTable root = file.root();
    CliSettings settings;
    settings.owner = root.text("owner");
    settings.token = readToken(root);
    settings.control = readInstances(root, "control");
    settings.entries = readInstances(root, "entries");
    const SettingsTable usage = root.table("usage");
    settings.instanceKeys = readKeys(usage, "instances");
    settings.ledgerKeys = readKeys(usage, "ledgers");
    if (settings.control.empty())
        root.reject("control", "expected at least one [[control]] table with name, owner and address");
    const Micros minimum { 100'000 };
    const Micros maximum { 600'000'000 };
    settings.requestTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(root.duration("request_timeout", settings.requestTimeout, minimum, maximum));
    settings.commandTimeout = std::chrono::duration_cast<std::chrono::milliseconds>(root.duration("command_timeout", settings.commandTimeout, minimum, maximum));
    return settings;
}

} // namespace curranttrail
