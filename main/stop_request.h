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

// Logs SIGTERM and SIGINT and waits for the first one. A second one changes nothing; a graceful stop has its own limit.
class StopRequest {
public:
    // The functions run on the threads: one for a request to reload, one for the first request to stop.
    StopRequest(transport::IoThreads& threads, transport::EventSink& sink, std::function<void()> reload = {}, std::function<void()> asked = {})
        : m_signals(
            threads, [this, &sink, asked = std::move(asked)](int signal) {
                sink.log(transport::events::kSignalReceived, { { "signal", std::to_string(signal) } });
                if (m_asked.exchange(true))
                    return;
                m_stop.set_value();
                if (asked)
                    asked();
            },
            std::move(reload))
    {
    }

    void wait() { m_stop.get_future().wait(); }

private:
    std::promise<void> m_stop;
    std::atomic<bool> m_asked { false };
    transport::SignalHandler m_signals;
};

} // namespace curranttrail
