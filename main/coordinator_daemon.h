#pragma once

#include "main/coordinator_settings.h"
#include "transport/event_sink.h"

#include <chrono>
#include <memory>

namespace curranttrail {

// A control instance that discovers its group through seeds. It runs one replica of the configuration document, serves the
// operators' API for it, and publishes the document and the server list to the entry instances.
class CoordinatorDaemon {
public:
    // Opens the data folder and listens on all addresses. Throws std::runtime_error if that fails.
    CoordinatorDaemon(const CoordinatorSettings& settings, transport::EventSink& sink);
    ~CoordinatorDaemon();
    CoordinatorDaemon(const CoordinatorDaemon&) = delete;
    CoordinatorDaemon& operator=(const CoordinatorDaemon&) = delete;

    void start();
    // Takes over what can be changed while the process runs: the seeds, and the address and call rate of the server list. Settings that
    // have changed besides are named in the log. May be called from any thread.
    void reload(const CoordinatorSettings& changed);
    // Leaves the group if that does not need this instance, answers the open requests and ends all threads within the limit. With a limit
    // of zero it ends at once.
    void stop(std::chrono::milliseconds limit);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
