#pragma once

#include "core/random.h"
#include "usage/ledger.h"
#include "usage/recorder.h"
#include "usage/verify.h"

#include <boost/random/uniform_01.hpp>
#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <functional>
#include <map>
#include <memory>
#include <optional>
#include <queue>
#include <string>
#include <tuple>
#include <vector>

namespace curranttrail::usage::fakes {

using namespace std::chrono_literals;

// Runs real recorders and ledgers in virtual time over a seeded simulation of links and journals. All messages and journal
// entries pass through the real encodings.
class UsageSimulation {
public:
    struct Instance {
        std::string name;
        std::uint64_t incarnation = 0;
        std::unique_ptr<Recorder> recorder;
        bool running = false;
        bool stopped = false;
        TimePoint wakeAt;
    };

    struct LedgerNode {
        std::string name;
        OwnerName owner;
        std::unique_ptr<Ledger> ledger;
        // Encoded entries of the synced journal.
        std::vector<std::string> journal;
        // Decoded entries of the synced journal.
        std::vector<JournalEntry> entries;
        bool running = false;
        TimePoint wakeAt;
        // Number of further entries that are appended before the ledger crashes in the middle of a write.
        std::optional<std::size_t> crashAfterEntries;
    };

    UsageSimulation(std::uint64_t seed, std::size_t instances, std::size_t bound = 16'384)
        : maximumUnacknowledgedRecords(bound)
        , m_random(seed)
    {
        for (std::size_t n = 0; n < instances; ++n)
            m_instances.push_back({ fmt::format("entry-{}", n) });
        m_ledgers.push_back({ "nile-control", "nile" });
        m_ledgers.push_back({ "stone-control", "stone" });
        for (LedgerNode& node : m_ledgers)
            startLedger(node);
        for (Instance& instance : m_instances)
            start(instance);
    }

    static PrivateKey keyOf(const std::string& name)
    {
        return PrivateKey::fromSeed(sha256(name));
    }

    VerificationKeys keys() const
    {
        VerificationKeys keys;
        for (const Instance& instance : m_instances)
            keys.instances.emplace(instance.name, keyOf(instance.name).publicKey());
        for (const LedgerNode& node : m_ledgers)
            keys.ledgers.emplace(node.name, keyOf(node.name).publicKey());
        return keys;
    }

    void start(Instance& instance)
    {
        RecorderOptions options { instance.name, ++instance.incarnation, keyOf(instance.name), { "nile", "stone" } };
        options.maximumUnacknowledgedRecords = maximumUnacknowledgedRecords;
        instance.recorder = std::make_unique<Recorder>(options);
        instance.running = true;
        instance.stopped = false;
        instance.wakeAt = m_now;
    }

    void startLedger(LedgerNode& node)
    {
        LedgerOptions options { node.name, node.owner, keyOf(node.name) };
        for (const Instance& instance : m_instances)
            options.instanceKeys.emplace(instance.name, keyOf(instance.name).publicKey());
        for (const LedgerNode& other : m_ledgers) {
            if (other.name != node.name)
                options.peers.emplace(other.name, LedgerPeer { other.owner, keyOf(other.name).publicKey() });
        }
        node.ledger = std::make_unique<Ledger>(options);
        for (const std::string& entry : node.journal)
            node.ledger->replay(decodeJournalEntry(entry).value());
        node.running = true;
        node.wakeAt = m_now;
        node.crashAfterEntries.reset();
    }

    // Adds the random usage of one query to an instance and to the expected bill.
    void addUsage(std::size_t index)
    {
        Instance& instance = m_instances.at(index);
        const auto draw = [this](std::uint64_t highest) { return boost::random::uniform_int_distribution<std::uint64_t> { 1, highest }(m_random); };
        UsageObserved observed;
        observed.key = { draw(2) == 1 ? "nile" : "stone", draw(2) == 1 ? "nile" : "stone", draw(2) == 1 ? "design" : "history" };
        observed.units = { draw(50), draw(100'000), draw(20'000) };
        observed.at = wallClock();
        expectedBill[observed.key] += observed.units;
        perform(instance, instance.recorder->handle(observed, m_now));
    }

    void requestStop(std::size_t index)
    {
        Instance& instance = m_instances.at(index);
        perform(instance, instance.recorder->handle(StopRequested { wallClock() }, m_now));
    }

    // Advances the virtual time in steps. Calls beforeStep before each of them, to add usage or faults.
    void run(
        Micros duration, const std::function<void()>& beforeStep = [] {})
    {
        const TimePoint end = m_now + duration;
        while (m_now < end) {
            beforeStep();
            m_now += step;
            deliverDue();
            for (Instance& instance : m_instances) {
                if (instance.running && m_now >= instance.wakeAt)
                    perform(instance, instance.recorder->handle(RecorderTick { wallClock() }, m_now));
            }
            for (LedgerNode& node : m_ledgers) {
                if (node.running && m_now >= node.wakeAt)
                    perform(node, node.ledger->handle(LedgerTick {}, m_now));
            }
        }
    }

    const std::vector<JournalEntry>& entriesOf(std::size_t index) const { return m_ledgers.at(index).entries; }

    UnixMillis wallClock() const { return 1'700'000'000'000 + m_now.time_since_epoch().count() / 1'000; }
    Instance& instance(std::size_t index) { return m_instances.at(index); }
    LedgerNode& ledger(std::size_t index) { return m_ledgers.at(index); }
    TimePoint now() const { return m_now; }

    double lossProbability = 0;
    double duplicationProbability = 0;
    Micros maximumDelay { std::chrono::milliseconds { 5 } };
    // Interval at which queues and timers are processed. Runs of hours use a longer one.
    Micros step { std::chrono::milliseconds { 10 } };
    std::size_t maximumUnacknowledgedRecords;
    // Returns true if messages from the first to the second name are lost.
    std::function<bool(const std::string&, const std::string&)> isLinkCut = [](const std::string&, const std::string&) { return false; };
    Bill expectedBill;

private:
    struct Delivery {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> run;
        bool operator<(const Delivery& other) const { return std::tie(at, order) > std::tie(other.at, other.order); }
    };

    void deliverDue()
    {
        while (!m_queue.empty() && m_queue.top().at <= m_now) {
            const Delivery delivery = m_queue.top();
            m_queue.pop();
            delivery.run();
        }
    }

    void transmit(const std::string& from, const std::string& to, const std::function<void()>& deliver)
    {
        const auto chance = [this](double share) { return boost::random::uniform_01<double> {}(m_random) < share; };
        for (int copies = chance(duplicationProbability) ? 2 : 1; copies > 0; --copies) {
            if (isLinkCut(from, to) || chance(lossProbability))
                continue;
            const Micros delay { boost::random::uniform_int_distribution<Micros::rep> { 100, maximumDelay.count() }(m_random) };
            m_queue.push({ m_now + delay, ++m_order, deliver });
        }
    }

    void perform(Instance& instance, const std::vector<RecorderEffect>& effects)
    {
        instance.wakeAt = instance.recorder->nextWakeup();
        for (const RecorderEffect& effect : effects) {
            if (std::holds_alternative<RecorderStopped>(effect))
                instance.stopped = true;
            const SendBatch* send = std::get_if<SendBatch>(&effect);
            if (!send)
                continue;
            LedgerNode& node = m_ledgers.at(send->ledger == "nile" ? 0 : 1);
            transmit(instance.name, node.name, [this, &node, bytes = encode(send->batch)] {
                if (node.running)
                    perform(node, node.ledger->handle(BatchReceived { decodeBatch(bytes).value() }, m_now));
            });
        }
    }

    void perform(LedgerNode& node, const std::vector<LedgerEffect>& effects)
    {
        node.wakeAt = node.ledger->nextWakeup();
        for (const LedgerEffect& effect : effects) {
            if (!node.running)
                return;
            if (const PersistEntries* persist = std::get_if<PersistEntries>(&effect))
                append(node, *persist);
            else if (const Acknowledge* acknowledge = std::get_if<Acknowledge>(&effect))
                sendAcknowledgement(node, acknowledge->acknowledgement);
            else if (const SendToLedger* send = std::get_if<SendToLedger>(&effect))
                sendToLedger(node, *send);
            else if (const ReadRecords* read = std::get_if<ReadRecords>(&effect))
                readRecords(node, *read);
        }
    }

    void append(LedgerNode& node, const PersistEntries& persist)
    {
        for (const JournalEntry& entry : persist.entries) {
            if (node.crashAfterEntries && (*node.crashAfterEntries)-- == 0) {
                node.running = false;
                return;
            }
            node.journal.push_back(encode(entry));
            node.entries.push_back(decodeJournalEntry(node.journal.back()).value());
        }
        m_queue.push({ m_now + 2ms, ++m_order, [this, &node, ledger = node.ledger.get(), write = persist.write] {
                          if (node.running && node.ledger.get() == ledger)
                              perform(node, node.ledger->handle(EntriesPersisted { write }, m_now));
                      } });
    }

    void sendAcknowledgement(const LedgerNode& node, const Acknowledgement& acknowledgement)
    {
        for (Instance& instance : m_instances) {
            if (instance.name != acknowledgement.chain.instance)
                continue;
            transmit(node.name, instance.name, [this, &instance, owner = node.owner, bytes = encode(acknowledgement)] {
                if (instance.running)
                    perform(instance, instance.recorder->handle(Acknowledged { owner, decodeAcknowledgement(bytes).value() }, m_now));
            });
        }
    }

    void sendToLedger(const LedgerNode& node, const SendToLedger& send)
    {
        LedgerNode& other = m_ledgers.at(send.to == m_ledgers.at(0).name ? 0 : 1);
        transmit(node.name, other.name, [this, &other, from = node.name, bytes = encode(send.message)] {
            if (other.running)
                perform(other, other.ledger->handle(LedgerMessageReceived { from, decodeLedgerMessage(bytes).value() }, m_now));
        });
    }

    void readRecords(LedgerNode& node, const ReadRecords& read)
    {
        RecordsRead result { read.token, {} };
        for (const JournalEntry& entry : node.entries) {
            const SignedRecord* record = std::get_if<SignedRecord>(&entry);
            if (record && record->record.chain == read.chain && record->record.number >= read.first && record->record.number <= read.last)
                result.records.push_back(*record);
        }
        perform(node, node.ledger->handle(result, m_now));
    }

    Random m_random;
    TimePoint m_now { Micros { 1'000'000 } };
    std::uint64_t m_order = 0;
    std::vector<Instance> m_instances;
    std::vector<LedgerNode> m_ledgers;
    std::priority_queue<Delivery> m_queue;
};

} // namespace curranttrail::usage::fakes
