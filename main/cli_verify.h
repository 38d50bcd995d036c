#pragma once

#include "main/cli_commands.h"

#include <string>

namespace curranttrail {

struct VerifyOptions {
    OwnerName owner;
    // Folders with copies of ledgers; if empty, the ledgers are fetched from the control instances.
    std::string folder;
    std::string otherFolder;
};

// Returns CliExit::Ok if the ledger is sound and both bills are equal, and CliExit::Refused if not.
CliExit verifyUsage(const CliSettings& settings, const VerifyOptions& options, CliOutput output);

CliExit makeKeys(const std::string& path, CliOutput output);

} // namespace curranttrail
