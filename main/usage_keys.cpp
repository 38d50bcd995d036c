#include "main/usage_keys.h"

#include <fmt/format.h>

#include <fcntl.h>
#include <unistd.h>

#include <cerrno>
#include <cstring>
#include <fstream>
#include <iterator>
#include <stdexcept>

namespace curranttrail {

namespace {

    std::string readFile(const std::string& path)
    {
        std::ifstream file(path, std::ios::binary);
        if (!file)
            throw std::runtime_error(fmt::format("{} cannot be read", path));
        return { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
    }

    void writeNewFile(const std::string& path, const std::string& content, mode_t mode)
    {
        const int file = ::open(path.c_str(), O_WRONLY | O_CREAT | O_EXCL | O_CLOEXEC, mode);
        if (file < 0)
            throw std::runtime_error(fmt::format("{} cannot be created: {}", path, std::strerror(errno)));
        const bool written = ::write(file, content.data(), content.size()) == static_cast<ssize_t>(content.size()) && ::fsync(file) == 0;
        ::close(file);
        if (!written)
            throw std::runtime_error(fmt::format("{} cannot be written", path));
    }

} // namespace

usage::PrivateKey readPrivateKey(const std::string& path)
{
    std::optional<usage::PrivateKey> key = usage::PrivateKey::fromPem(readFile(path));
    if (!key)
        throw std::runtime_error(fmt::format("{} is not an Ed25519 private key in PEM", path));
    return *key;
}

usage::PublicKey readPublicKey(const std::string& path)
{
    std::optional<usage::PublicKey> key = usage::PublicKey::fromPem(readFile(path));
    if (!key)
        throw std::runtime_error(fmt::format("{} is not an Ed25519 public key in PEM", path));
    return *key;
}

void writeKeyPair(const std::string& path)
{
    const usage::PrivateKey key = usage::PrivateKey::generate();
    writeNewFile(path + ".key", key.toPem(), 0600);
    writeNewFile(path + ".pub", key.publicKey().toPem(), 0644);
}

usage::LedgerOptions usageLedgerOptions(const ControlSettings& settings)
{
    usage::LedgerOptions options { settings.name, settings.owner, readPrivateKey(settings.usage.keyFile), {}, {} };
    for (const UsageInstance& instance : settings.usage.instances)
        options.instanceKeys.emplace(instance.name, readPublicKey(instance.keyFile));
    for (const UsagePeer& ledger : settings.usage.ledgers)
        options.peers.emplace(ledger.name, usage::LedgerPeer { ledger.owner, readPublicKey(ledger.keyFile) });
    return options;
}

} // namespace curranttrail
