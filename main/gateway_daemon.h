#pragma once

#include "main/gateway_settings.h"
#include "transport/event_sink.h"

#include <memory>

namespace curranttrail {

// An entry instance that forwards HTTP requests to backend servers. All requests are handled on the thread that calls run().
class GatewayDaemon {
public:
    // Listens on all addresses. Throws std::runtime_error if that fails.
    GatewayDaemon(const GatewaySettings& settings, transport::EventSink& sink);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon&) = delete;
    GatewayDaemon& operator=(const GatewayDaemon&) = delete;

    // Serves requests until stop() is called and the requests in flight have ended.
    void run();
    // Reports not ready, finishes the requests in flight and then makes run() return. May be called from any thread.
    void stop();
    // Takes over the seeds of the control group, which can be changed while the process runs. Settings that have changed besides are named
    // in the log. May be called from any thread.
    void reload(const GatewaySettings& changed);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
