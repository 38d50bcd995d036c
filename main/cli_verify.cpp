#include "main/cli_verify.h"

#include "main/usage_journal.h"
#include "main/usage_keys.h"
#include "usage/verify.h"

#include <fmt/format.h>

#include <filesystem>
#include <fstream>
#include <iterator>
#include <ostream>
#include <stdexcept>
#include <thread>

namespace curranttrail {

namespace {

    using Entries = std::vector<usage::JournalEntry>;

    // Returns the content of a segment, or nothing after the last one.
    using SegmentSource = std::function<std::optional<std::string>(std::uint64_t number)>;

    Entries readEntries(const SegmentSource& source, const std::string& name, CliOutput output)
    {
        Entries entries;
        std::uint64_t number = 1;
        for (std::optional<std::string> bytes = source(number); bytes; bytes = source(++number)) {
            const std::size_t read = readUsageEntries(*bytes, [&entries](const usage::JournalEntry& entry) { entries.push_back(entry); });
            if (read != bytes->size())
                output.err << fmt::format("note: segment {} of {} is unreadable from byte {} on; only the entries before it are verified\n", number, name, read);
        }
        return entries;
    }

    Entries readFolder(const std::string& folder, CliOutput output)
    {
        return readEntries(
            [&folder](std::uint64_t number) -> std::optional<std::string> {
                std::ifstream file(fmt::format("{}/usage-{}", folder, number), std::ios::binary);
                if (!file)
                    return std::nullopt;
                return std::string { std::istreambuf_iterator<char>(file), std::istreambuf_iterator<char>() };
            },
            folder, output);
    }

    std::optional<Entries> fetchLedger(const CliSettings& settings, const OwnerName& owner, CliOutput output)
    {
        for (const CliInstance& instance : settings.control) {
            if (instance.owner != owner)
                continue;
            bool answered = false;
            Entries entries = readEntries(
                [&](std::uint64_t number) -> std::optional<std::string> {
                    transport::HttpRequest request;
                    request.path = fmt::format("/v1/usage/segments/{}", number);
                    request.fields.emplace_back("Authorization", "Bearer " + settings.token);
                    HttpReply reply = requestOnce(instance.address, request, settings.requestTimeout);
                    answered = answered || (reply.outcome == HttpOutcome::Answered && reply.status == 200);
                    if (reply.outcome != HttpOutcome::Answered || reply.status != 200)
                        return std::nullopt;
                    return std::move(reply.body);
                },
                instance.name, output);
            if (answered)
                return entries;
        }
        return std::nullopt;
    }

    usage::VerificationKeys readKeys(const CliSettings& settings)
    {
        usage::VerificationKeys keys;
        for (const CliKey& key : settings.instanceKeys)
            keys.instances.emplace(key.name, readPublicKey(key.file));
        for (const CliKey& key : settings.ledgerKeys)
            keys.ledgers.emplace(key.name, readPublicKey(key.file));
        return keys;
    }

    std::optional<OwnerName> otherOwner(const CliSettings& settings, const OwnerName& owner)
    {
        for (const CliInstance& instance : settings.control) {
            if (instance.owner != owner)
                return instance.owner;
        }
        return std::nullopt;
    }

    // The ledger to verify and the other owner's ledger. The other one is absent if it is not configured.
    struct Ledgers {
        std::optional<Entries> own;
        std::optional<Entries> other;
    };

    Ledgers readLedgers(const CliSettings& settings, const VerifyOptions& options, CliOutput output)
    {
        Ledgers ledgers;
        ledgers.own = options.folder.empty() ? fetchLedger(settings, options.owner, output) : readFolder(options.folder, output);
        const std::optional<OwnerName> other = otherOwner(settings, options.owner);
        if (!options.otherFolder.empty())
            ledgers.other = readFolder(options.otherFolder, output);
        else if (options.folder.empty() && other)
            ledgers.other = fetchLedger(settings, *other, output);
        return ledgers;
    }

    std::string unitsText(const usage::BillableUnits& units)
    {
        return fmt::format("{} subqueries, {} us, {} bytes", units.subqueries, units.serverMicros, units.bytes);
    }

    std::string keyText(const usage::UsageKey& key)
    {
        return fmt::format("{} used {} for {}", key.causedBy, key.servedBy, key.className);
    }

    void print(const usage::Verification& verification, CliOutput output)
    {
        for (const auto& [key, units] : verification.bill)
            output.out << fmt::format("{}: {}\n", keyText(key), unitsText(units));
        for (const usage::Gap& gap : verification.gaps)
            output.out << fmt::format("gap, {}: {} to {}, known use {}\n", nameOf(usage::kGapKindNames, gap.kind), usage::nameOf(gap.chain, gap.first),
                gap.last ? std::to_string(*gap.last) : "unknown", unitsText(gap.units));
        for (const usage::Finding& finding : verification.findings)
            output.out << usage::describe(finding) << '\n';
        for (const usage::MissingTail& missingTails : verification.missingTails)
            output.out << fmt::format("only the other ledger holds {} to {}\n", usage::nameOf(missingTails.chain, missingTails.first), missingTails.last);
        for (const usage::BillDifference& difference : verification.differences)
            output.out << fmt::format("{} differs: {} in this ledger, {} in the other ledger\n", keyText(difference.key), unitsText(difference.here), unitsText(difference.there));
    }

} // namespace

CliExit verifyUsage(const CliSettings& settings, const VerifyOptions& options, CliOutput output)
{
    usage::VerificationKeys keys;
    try {
        keys = readKeys(settings);
    } catch (const std::runtime_error& error) {
        output.err << error.what() << '\n';
        return CliExit::Usage;
    }
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + settings.commandTimeout;
    while (true) {
        const Ledgers ledgers = readLedgers(settings, options, output);
        if (!ledgers.own || (!ledgers.other && options.folder.empty())) {
            output.err << "a ledger cannot be read\n";
            return CliExit::Unreachable;
        }
        const usage::Verification verification = usage::verifyLedger(*ledgers.own, keys, ledgers.other ? &*ledgers.other : nullptr);
        // Live ledgers differ by the records in transit between them, so only a difference that persists counts.
        const bool mayCatchUp = options.folder.empty() && verification.findings.empty() && !verification.isSound();
        if (mayCatchUp && std::chrono::steady_clock::now() < deadline) {
            std::this_thread::sleep_for(std::chrono::milliseconds { 500 });
            continue;
        }
        print(verification, output);
        output.out << fmt::format("{} entries verified: {}\n", ledgers.own->size(), verification.isSound() ? "sound" : "not sound");
        return verification.isSound() ? CliExit::Ok : CliExit::Refused;
    }
}

CliExit makeKeys(const std::string& path, CliOutput output)
{
    try {
        writeKeyPair(path);
    } catch (const std::runtime_error& error) {
        output.err << error.what() << '\n';
        return CliExit::Usage;
    }
    output.out << fmt::format("{0}.key {0}.pub\n", path);
    return CliExit::Ok;
}

} // namespace curranttrail
