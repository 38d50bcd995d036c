#pragma once

#include "core/units.h"
#include "main/settings.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"

#include <deque>
#include <memory>
#include <mutex>
#include <string>

namespace curranttrail::stand_ins {

// Builds the body of GET /v1/instances from the [[server]] tables of the file.
std::string readInstances(const SettingsFile& file);

// Stand-in for the platform. Serves the list of instances with a configurable lag.
class PlatformStandIn {
public:
    PlatformStandIn(transport::IoThreads& threads, const transport::Endpoint& bind, Micros lag);

    // Sets the body of GET /v1/instances. It is served once the lag has passed; the first one is served immediately.
    void set(std::string instancesJson);
    void setLag(Micros lag);
    std::uint16_t port() const { return m_server->port(); }

private:
    struct State {
        TimePoint since;
        std::string body;
    };

    std::string current();

    std::mutex m_mutex;
    Micros m_lag;
    std::deque<State> m_states;
    std::unique_ptr<transport::HttpServer> m_server;
};

} // namespace curranttrail::stand_ins
