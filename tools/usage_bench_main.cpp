#include "tests/membership/fake_network.h"
#include "usage/ledger.h"
#include "usage/recorder.h"

#include <fmt/format.h>
#include <tclap/CmdLine.h>

#include <algorithm>
#include <chrono>
#include <ctime>
#include <fstream>
#include <iostream>
#include <string>
#include <vector>

using namespace curranttrail;
using namespace std::chrono_literals;

namespace {

// Collects rows and writes them as "measure,size,median,worst,unit".
class Table {
public:
    // The worst value is the largest, or the smallest where more is better.
    void add(const std::string& measure, std::size_t size, std::vector<double> values, const std::string& unit, bool higherIsBetter = false)
    {
        std::sort(values.begin(), values.end());
        const double worst = higherIsBetter ? values.front() : values.back();
        m_rows.push_back(fmt::format("{},{},{:.3f},{:.3f},{}", measure, size, values[values.size() / 2], worst, unit));
        std::cerr << m_rows.back() << '\n';
    }

    bool write(const std::string& path) const
    {
        std::ofstream file(path);
        file << "measure,size,median,worst,unit\n";
        for (const std::string& row : m_rows)
            file << row << '\n';
        return file.good();
    }

private:
    std::vector<std::string> m_rows;
};

double processorSeconds()
{
    return static_cast<double>(std::clock()) / CLOCKS_PER_SEC;
}

constexpr std::size_t kRounds = 7;
constexpr std::size_t kRecords = 2'048;

// Seals records of distinct classes and passes them through the recorder and the ledger.
void measureUsage(Table& table, std::uint64_t seed)
{
    std::vector<double> sealed;
    std::vector<double> applied;
    std::vector<double> replayed;
    std::vector<double> journalBytes;
    for (std::size_t round = 0; round < kRounds; ++round) {
        const usage::PrivateKey key = usage::PrivateKey::fromSeed(usage::sha256(fmt::format("instance {}", seed)));
        usage::Recorder recorder({ "entry", round + 1, key, { "nile" } });
        usage::LedgerOptions options { "control", "nile", key };
        options.instanceKeys.emplace("entry", key.publicKey());
        usage::Ledger ledger(options);
        TimePoint now { 1s };
        for (std::size_t n = 0; n < kRecords; ++n)
            recorder.handle(usage::UsageObserved { { "nile", "stone", fmt::format("class-{}", n) }, { 20, 40'000, 9'000 }, 1'700'000'000'000 }, now);
        double begin = processorSeconds();
        now += 1s;
        std::vector<usage::RecorderEffect> effects = recorder.handle(usage::RecorderTick { 1'700'000'001'000 }, now);
        sealed.push_back(static_cast<double>(kRecords) / (processorSeconds() - begin));
        std::vector<usage::JournalEntry> journal;
        begin = processorSeconds();
        while (recorder.unacknowledgedRecords() > 0) {
            std::vector<usage::LedgerEffect> answers;
            for (const usage::RecorderEffect& effect : effects) {
                if (const usage::SendBatch* send = std::get_if<usage::SendBatch>(&effect))
                    answers = ledger.handle(usage::BatchReceived { send->batch }, now);
            }
            effects.clear();
            for (std::size_t n = 0; n < answers.size(); ++n) {
                if (const usage::PersistEntries* persist = std::get_if<usage::PersistEntries>(&answers[n])) {
                    journal.insert(journal.end(), persist->entries.begin(), persist->entries.end());
                    const std::vector<usage::LedgerEffect> more = ledger.handle(usage::EntriesPersisted { persist->write }, now);
                    answers.insert(answers.end(), more.begin(), more.end());
                } else if (const usage::Acknowledge* acknowledge = std::get_if<usage::Acknowledge>(&answers[n])) {
                    effects = recorder.handle(usage::Acknowledged { "nile", acknowledge->acknowledgement }, now);
                }
            }
            if (effects.empty()) {
                now += 1s;
                effects = recorder.handle(usage::RecorderTick { 1'700'000'001'000 }, now);
            }
        }
        applied.push_back(static_cast<double>(kRecords) / (processorSeconds() - begin));
        std::size_t bytes = 0;
        for (const usage::JournalEntry& entry : journal)
            bytes += usage::encode(entry).size();
        journalBytes.push_back(static_cast<double>(bytes) / static_cast<double>(kRecords));
        begin = processorSeconds();
        usage::Ledger second(options);
        for (const usage::JournalEntry& entry : journal)
            second.replay(entry);
        replayed.push_back(static_cast<double>(kRecords) / (processorSeconds() - begin));
    }
    table.add("usage_seal_and_sign", kRecords, sealed, "records/s", true);
    table.add("usage_verify_and_apply", kRecords, applied, "records/s", true);
    table.add("usage_replay", kRecords, replayed, "records/s", true);
    table.add("usage_journal_bytes", kRecords, journalBytes, "bytes/record");
}

// Measures bytes and processor time per node in virtual time, after the gossip about the simultaneous start has ended.
// The processor time includes encoding, authentication, decoding and the fake network.
void measureMembership(Table& table, std::uint64_t seed)
{
    for (const std::size_t size : { std::size_t { 3 }, std::size_t { 10 }, std::size_t { 30 }, std::size_t { 100 }, std::size_t { 300 } }) {
        membership::fakes::FakeNetwork network(seed);
        network.addMany(size);
        network.startAll();
        network.run(90s);
        network.resetCounters();
        const double begin = processorSeconds();
        network.run(60s);
        const double seconds = processorSeconds() - begin;
        std::vector<double> bytes;
        for (const membership::fakes::FakeNetwork::Node& node : network.nodes())
            bytes.push_back(static_cast<double>(node.bytesSent) / 60);
        table.add("membership_bytes_sent", size, bytes, "bytes/s");
        table.add("membership_processor_share", size, { seconds / 60 / static_cast<double>(size) * 100 }, "percent");
    }
}

} // namespace

int main(int argc, char** argv)
{
    try {
        TCLAP::CmdLine command("Measures the account of use and membership.");
        TCLAP::ValueArg<std::string> output("", "output", "CSV file to write", true, "", "file", command);
        TCLAP::ValueArg<std::uint64_t> seed("", "seed", "seed of the run", false, 1, "number", command);
        command.parse(argc, argv);
        Table table;
        measureUsage(table, seed.getValue());
        measureMembership(table, seed.getValue());
        return table.write(output.getValue()) ? 0 : 1;
    } catch (const TCLAP::ArgException& problem) {
        std::cerr << problem.error() << '\n';
        return 2;
    }
}
