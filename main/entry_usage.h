#pragma once

#include "main/entry_control.h"
#include "main/entry_settings.h"
#include "main/reducer_thread.h"
#include "query/messages.h"
#include "transport/event_sink.h"
#include "usage/recorder.h"

#include <atomic>
#include <string>

namespace curranttrail {

// Runs the usage recorder of an entry instance on the reducer thread and ships its records to the owners' ledgers.
class EntryUsage {
public:
    // Throws std::runtime_error if the key file cannot be read.
    EntryUsage(const EntrySettings& settings, std::uint64_t incarnation, transport::EventSink& sink, ReducerThread& reducers, EntryControl& control);

    // Both must be called on the reducer thread.
    void record(const query::RecordUsage& effect, TimePoint now);
    void stop(TimePoint now);
    // True when every ledger has acknowledged the closing record.
    bool stopped() const { return m_stopped; }

private:
    static usage::RecorderOptions optionsOf(const EntrySettings& settings, std::uint64_t incarnation);
    void handle(const usage::RecorderEvent& event, TimePoint now);
    void ship(const usage::SendBatch& send);

    transport::EventSink& m_sink;
    ReducerThread& m_reducers;
    EntryControl& m_control;
    usage::Recorder m_recorder;
    std::atomic<bool> m_stopped { false };
};

} // namespace curranttrail
