#pragma once

#include "main/gateway_settings.h"
#include "transport/event_sink.h"

#include <memory>

namespace curranttrail {

// One entry instance for raw HTTP requests. All traffic runs on the thread that calls run().
class GatewayDaemon {
public:
    // Listens on all addresses. Throws std::runtime_error if that fails.
    GatewayDaemon(const GatewaySettings& settings, transport::EventSink& sink);
    ~GatewayDaemon();
    GatewayDaemon(const GatewayDaemon&) = delete;
    GatewayDaemon& operator=(const GatewayDaemon&) = delete;

    // Serves until stop() and the end of the requests in flight.
    void run();
    // Stops being ready, finishes what is in flight and then ends run(). May be called from any thread.
    void stop();
    // Uses other seeds from now on. May be called from any thread.
    void setSeeds(std::vector<transport::Endpoint> seeds);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
