#pragma once

#include "core/ids.h"
#include "main/settings.h"
#include "transport/http_message.h"

#include <chrono>
#include <string>
#include <vector>

namespace curranttrail {

// An instance that the command line can reach over HTTP.
struct CliInstance {
    InstanceName name;
    OwnerName owner;
    transport::Endpoint address;
};

struct CliKey {
    InstanceName name;
    std::string file;
};

struct CliSettings {
    // Owner of the operator's account, used if a command names none.
    OwnerName owner;
    std::string token;
    std::vector<CliInstance> control;
    std::vector<CliInstance> entries;
    // Public keys to verify usage ledgers: of the instances that record usage and of the control instances.
    std::vector<CliKey> instanceKeys;
    std::vector<CliKey> ledgerKeys;
    // Timeouts of one request and of a command with all its retries.
    std::chrono::milliseconds requestTimeout { 5'000 };
    std::chrono::milliseconds commandTimeout { 30'000 };
};

// Reads the settings of the command line and the token file. Errors are collected in the file.
CliSettings readCliSettings(const SettingsFile& file);

} // namespace curranttrail
