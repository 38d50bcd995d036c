#pragma once

#include <functional>
#include <memory>

namespace curranttrail::transport {

class IoThreads;

// Calls `callback` on each SIGTERM or SIGINT and `reload` on each SIGHUP, on an I/O thread, until it is destroyed.
// Without `reload`, SIGHUP keeps its default action.
class SignalHandler {
public:
    SignalHandler(IoThreads& threads, std::function<void(int signal)> callback, std::function<void()> reload = {});
    ~SignalHandler();
    SignalHandler(const SignalHandler&) = delete;
    SignalHandler& operator=(const SignalHandler&) = delete;

private:
    struct Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
