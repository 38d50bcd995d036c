#pragma once

#include "main/usage_journal.h"
#include "transport/event_sink.h"
#include "usage/ledger.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

namespace curranttrail {

// Runs the usage ledger of one control instance, with its journal, on a thread of its own.
class UsageLedger {
public:
    using Sender = std::function<void(const InstanceName& ledger, std::string message)>;
    // Receives the encoded acknowledgement, or an empty body if there is none.
    using AcknowledgementCallback = std::function<void(std::string acknowledgement)>;
    using View = std::function<void(const usage::Ledger& ledger, UsageJournal& journal)>;

    // Reads the journal. Throws std::runtime_error if it cannot be read.
    UsageLedger(usage::LedgerOptions options, std::unique_ptr<storage::FileSystem> files, transport::EventSink& sink, Sender send);
    ~UsageLedger();
    UsageLedger(const UsageLedger&) = delete;
    UsageLedger& operator=(const UsageLedger&) = delete;

    void start();
    void stop();

    // Adds an encoded batch of an instance's records. It is acknowledged once its records are synced.
    void ship(const std::string& batch, const AcknowledgementCallback& sendAcknowledgement);
    // Handles a message from another ledger.
    void receive(const InstanceName& from, const std::string& message);
    // Runs the function on the ledger's thread.
    void view(View function);

private:
    struct Shipment {
        usage::Batch batch;
        AcknowledgementCallback sendAcknowledgement;
    };

    using Item = std::variant<usage::LedgerEvent, Shipment, View>;

    // Returns false if the queue is full.
    bool post(Item item);
    void run();
    std::deque<Item> waitForItems();
    void process(Item& item);
    void handle(const usage::LedgerEvent& event);
    void execute(usage::LedgerEffect& effect);
    void persist();
    void sendAcknowledgement(const usage::ChainId& chain, std::string acknowledgement);

    transport::EventSink& m_sink;
    Sender m_send;
    usage::Ledger m_ledger;
    UsageJournal m_journal;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Item> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
    // Used only on the ledger's thread. The entries of all events that are handled together are synced once.
    std::vector<usage::JournalEntry> m_unwritten;
    std::uint64_t m_lastWrite = 0;
    // Callbacks of the newest unacknowledged batch of each chain, by the chain's name.
    std::map<std::string, AcknowledgementCallback> m_acknowledgementCallbacks;
};

} // namespace curranttrail
