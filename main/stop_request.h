#pragma once

#include "transport/io_threads.h"
#include "transport/signals.h"

#include <atomic>
#include <functional>
#include <future>

namespace curranttrail {

// Waits for the first SIGTERM or SIGINT. A second one changes nothing; a graceful stop has its own limit.
class StopRequest {
public:
    explicit StopRequest(transport::IoThreads& threads, std::function<void()> reload = {})
        : m_signals(
            threads, [this](int signal) {
                if (!m_asked.exchange(true))
                    m_stop.set_value(signal);
            },
            std::move(reload))
    {
    }

    void wait() { m_stop.get_future().wait(); }

private:
    std::promise<int> m_stop;
    std::atomic<bool> m_asked { false };
    transport::StopSignals m_signals;
};

} // namespace curranttrail
