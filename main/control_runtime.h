#pragma once

#include "control/control_reducer.h"
#include "control/messages.h"
#include "main/journal_writer.h"
#include "storage/control_storage.h"
#include "transport/event_sink.h"

#include <condition_variable>
#include <deque>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <variant>

namespace curranttrail {

// Runs the reducer of one control replica on one thread, with its journal on another.
class ControlRuntime {
public:
    using PeerSender = std::function<void(const InstanceName& to, const control::PeerMessage& message)>;
    using ResultCallback = std::function<void(const control::CommandResult& result)>;
    using View = std::function<void(const control::ControlReducer& reducer, TimePoint now)>;

    // Opens the data folder. A damaged folder is moved aside and the replica starts empty.
    // Throws std::runtime_error if another process holds the folder or it cannot be read.
    ControlRuntime(control::ControlOptions options, const std::string& dataFolder, transport::EventSink& sink, PeerSender sendToPeer);
    ~ControlRuntime();
    ControlRuntime(const ControlRuntime&) = delete;
    ControlRuntime& operator=(const ControlRuntime&) = delete;

    void start();
    // Stops the thread. Proposed commands without a result get OutcomeUnknown, queued ones NotLeader.
    void stop();

    void receive(const InstanceName& from, control::PeerMessage message);
    // The callback runs once, on the control thread.
    void submit(control::Command command, ResultCallback callback);
    // Runs the function on the control thread with the reducer and the current time.
    void view(View function);
    // Called on the control thread when a higher document version is committed. Set before start().
    void onDocument(std::function<void(std::uint64_t version)> callback) { m_onDocument = std::move(callback); }
    // Called on the control thread when other data centres than before are evacuated. Set before start().
    void onEvacuations(std::function<void()> callback) { m_onEvacuations = std::move(callback); }
    // Called on the control thread when another replica leads or when this one's lease begins or ends. Set before start().
    void onLeader(std::function<void(const control::LeaderChanged& change)> callback) { m_onLeader = std::move(callback); }

private:
    struct Submission {
        control::Command command;
        ResultCallback callback;
    };

    using Item = std::variant<control::Event, Submission, View>;

    control::RecoveredState openFolder();
    void post(Item item);
    void run();
    std::deque<Item> waitForItems();
    void process(Item& item);
    void handle(const control::Event& event);
    void execute(control::Effect& effect);

    transport::EventSink& m_sink;
    PeerSender m_sendToPeer;
    storage::ControlStorage m_storage;
    control::ControlReducer m_reducer;
    control::RecoveredState m_recovered;
    std::unique_ptr<JournalWriter> m_journal;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<Item> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
    // Only used on the control thread.
    std::uint64_t m_lastToken = 0;
    std::map<std::uint64_t, ResultCallback> m_callbacks;
    std::function<void(std::uint64_t)> m_onDocument;
    std::function<void()> m_onEvacuations;
    std::function<void(const control::LeaderChanged&)> m_onLeader;
};

} // namespace curranttrail
