#include "main/journal_writer.h"

#include "main/control_events.h"

namespace curranttrail {

namespace {

    constexpr std::chrono::milliseconds kRetryDelay { 200 };
    // Bounds the size of one record of the journal.
    constexpr std::size_t kMaximumEntriesPerWrite = 4'096;

    bool canJoin(const control::WriteJournal& first, const control::WriteJournal& next)
    {
        if (first.snapshot || next.snapshot || first.entries.size() + next.entries.size() > kMaximumEntriesPerWrite)
            return false;
        if (first.entries.empty() || next.entries.empty())
            return true;
        return next.entries.front().index <= first.entries.back().index + 1;
    }

    void join(control::WriteJournal& first, control::WriteJournal next)
    {
        first.write = next.write;
        if (next.hardState)
            first.hardState = next.hardState;
        if (next.entries.empty())
            return;
        while (!first.entries.empty() && first.entries.back().index >= next.entries.front().index)
            first.entries.pop_back();
        for (control::LogEntry& entry : next.entries)
            first.entries.push_back(std::move(entry));
    }

} // namespace

control::WriteJournal takeCombined(std::deque<control::WriteJournal>& queue)
{
    control::WriteJournal combined = std::move(queue.front());
    queue.pop_front();
    while (!queue.empty() && canJoin(combined, queue.front())) {
        join(combined, std::move(queue.front()));
        queue.pop_front();
    }
    return combined;
}

JournalWriter::JournalWriter(storage::ControlStorage& storage, transport::EventSink& sink, std::function<void(control::Event)> report)
    : m_storage(storage)
    , m_sink(sink)
    , m_report(std::move(report))
    , m_thread([this] { run(); })
{
}

JournalWriter::~JournalWriter()
{
    {
        const std::lock_guard lock(m_mutex);
        m_stopping = true;
    }
    m_changed.notify_all();
    m_thread.join();
}

void JournalWriter::write(control::WriteJournal write)
{
    {
        const std::lock_guard lock(m_mutex);
        m_queue.push_back(std::move(write));
    }
    m_changed.notify_all();
}

void JournalWriter::run()
{
    while (true) {
        std::unique_lock lock(m_mutex);
        m_changed.wait(lock, [this] { return m_stopping || !m_queue.empty(); });
        if (m_queue.empty())
            return;
        const control::WriteJournal write = takeCombined(m_queue);
        lock.unlock();
        writeUntilSynced(write);
    }
}

void JournalWriter::writeUntilSynced(const control::WriteJournal& write)
{
    bool failed = false;
    while (const std::optional<storage::StorageError> error = m_storage.write(write)) {
        if (!failed) {
            m_sink.log(events::kJournalStalled, { { "problem", error->text() } });
            m_report(control::StorageChanged { true });
            failed = true;
        }
        std::unique_lock lock(m_mutex);
        if (m_changed.wait_for(lock, kRetryDelay, [this] { return m_stopping; }))
            return;
    }
    for (const LogEvent& event : m_storage.takeEvents())
        m_sink.log(event);
    if (failed) {
        m_sink.log(events::kJournalResumed);
        m_report(control::StorageChanged { false });
    }
    m_report(control::WriteSynced { write.write });
}

} // namespace curranttrail
