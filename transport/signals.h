#pragma once

#include <functional>
#include <memory>

namespace curranttrail::transport {

class IoThreads;

// Calls a function, on an I/O thread, at each SIGTERM or SIGINT while it exists, and another one at each SIGHUP.
// Without the second function SIGHUP keeps its default effect.
class StopSignals {
public:
    StopSignals(IoThreads& threads, std::function<void(int signal)> callback, std::function<void()> reload = {});
    ~StopSignals();
    StopSignals(const StopSignals&) = delete;
    StopSignals& operator=(const StopSignals&) = delete;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
