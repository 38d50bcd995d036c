#pragma once

#include "core/units.h"

#include <functional>
#include <memory>

namespace boost::asio {
class io_context;
}

namespace curranttrail::transport {

// Thread pool that runs the handlers of one I/O context, which this object owns.
class IoThreads {
public:
    explicit IoThreads(unsigned threads);
    ~IoThreads();
    IoThreads(const IoThreads&) = delete;
    IoThreads& operator=(const IoThreads&) = delete;

    boost::asio::io_context& context();

    // Schedules the function on one of the threads, immediately or after the delay. It does not run if the threads stop earlier.
    void post(std::function<void()> function);
    void after(Micros delay, std::function<void()> function);

    // Stops the context, dropping pending handlers, and joins the threads. Must not be called from one of them.
    void stop();

private:
    struct Impl;
    std::unique_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
