#pragma once

#include "control/messages.h"
#include "storage/control_storage.h"
#include "transport/event_sink.h"

#include <atomic>
#include <condition_variable>
#include <deque>
#include <functional>
#include <mutex>
#include <thread>

namespace curranttrail {

// Writes the journal on a thread of its own, with group commit: writes that are queued during a sync are combined into the next
// one, so that the number of syncs does not grow with the number of commands.
class JournalWriter {
public:
    // The report is called on the writer's thread with WriteSynced and StorageChanged.
    JournalWriter(storage::ControlStorage& storage, transport::EventSink& sink, std::function<void(control::Event)> report);
    // Completes the queued writes unless the disk fails.
    ~JournalWriter();
    JournalWriter(const JournalWriter&) = delete;
    JournalWriter& operator=(const JournalWriter&) = delete;

    void write(control::WriteJournal write);

private:
    void run();
    void writeUntilSynced(const control::WriteJournal& write);

    storage::ControlStorage& m_storage;
    transport::EventSink& m_sink;
    std::function<void(control::Event)> m_report;
    std::mutex m_mutex;
    std::condition_variable m_changed;
    std::deque<control::WriteJournal> m_queue;
    bool m_stopping = false;
    std::thread m_thread;
};

// Removes the writes at the front of the queue that can be combined into one write with the same effect, and returns that write.
control::WriteJournal takeCombined(std::deque<control::WriteJournal>& queue);

} // namespace curranttrail
