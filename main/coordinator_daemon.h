#pragma once

#include "main/coordinator_settings.h"
#include "transport/event_sink.h"

#include <chrono>
#include <memory>

namespace curranttrail {

// A control instance that finds its group through seeds: one replica of the configuration document, the operator's calls for
// it, and the feed of document and server list to the entry instances.
class CoordinatorDaemon {
public:
    // Opens the data folder and listens on all addresses. Throws std::runtime_error if that fails.
    CoordinatorDaemon(const CoordinatorSettings& settings, transport::EventSink& sink);
    ~CoordinatorDaemon();
    CoordinatorDaemon(const CoordinatorDaemon&) = delete;
    CoordinatorDaemon& operator=(const CoordinatorDaemon&) = delete;

    void start();
    // Uses other seeds from now on.
    void setSeeds(std::vector<transport::Endpoint> seeds);
    void stop(std::chrono::milliseconds limit);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
