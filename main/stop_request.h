#pragma once

#include "transport/event_sink.h"
#include "transport/events.h"
#include "transport/io_threads.h"
#include "transport/signals.h"

#include <atomic>
#include <functional>
#include <future>
#include <string>
#include <utility>

namespace curranttrail {

// Logs SIGTERM and SIGINT and waits for the first one. Later signals are only logged, because a graceful stop has
// its own timeout.
class StopRequest {
public:
    // The callbacks run on the threads: onReload at each SIGHUP, onStop at the first SIGTERM or SIGINT.
    StopRequest(transport::IoThreads& threads, transport::EventSink& sink, std::function<void()> onReload = {}, std::function<void()> onStop = {})
        : m_signals(
            threads, [this, &sink, onStop = std::move(onStop)](int signal) {
                sink.log(transport::events::kSignalReceived, { { "signal", std::to_string(signal) } });
                if (m_stopRequested.exchange(true))
                    return;
                m_stop.set_value();
                if (onStop)
                    onStop();
            },
            std::move(onReload))
    {
    }

    void wait() { m_stop.get_future().wait(); }

private:
    std::promise<void> m_stop;
    std::atomic<bool> m_stopRequested { false };
    transport::SignalHandler m_signals;
};

} // namespace curranttrail
