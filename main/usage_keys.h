#pragma once

#include "main/control_settings.h"
#include "usage/keys.h"
#include "usage/ledger.h"

#include <string>

namespace curranttrail {

// Key files of the usage ledger, in PEM. All functions throw std::runtime_error, which names the file and the reason.
usage::PrivateKey readPrivateKey(const std::string& path);
usage::PublicKey readPublicKey(const std::string& path);

// Writes a new key pair to PATH.key, readable by its user only, and PATH.pub. Existing files are not overwritten.
void writeKeyPair(const std::string& path);

usage::LedgerOptions usageLedgerOptions(const ControlSettings& settings);

} // namespace curranttrail
