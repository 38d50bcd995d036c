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

// Reads [[server]] tables into the body of GET /v1/instances.
std::string readInstances(const SettingsFile& file);

// The platform's list of instances, which lags behind what was set.
class PlatformStandIn {
public:
    PlatformStandIn(transport::IoThreads& threads, const transport::Endpoint& bind, Micros lag);

    // Sets the body of GET /v1/instances; served once it is older than the lag. The first one is served at once.
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
