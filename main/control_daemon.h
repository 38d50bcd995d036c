#pragma once

#include "main/control_settings.h"
#include "transport/event_sink.h"

#include <chrono>
#include <cstdint>
#include <memory>

namespace curranttrail {

// A control instance: replica, journal, frame links and administration API.
class ControlDaemon {
public:
    // Opens the data folder and listens on all addresses. Throws std::runtime_error if that fails.
    ControlDaemon(const ControlSettings& settings, transport::EventSink& sink);
    ~ControlDaemon();
    ControlDaemon(const ControlDaemon&) = delete;
    ControlDaemon& operator=(const ControlDaemon&) = delete;

    std::uint16_t httpPort() const;
    std::uint16_t groupPort() const;
    std::uint16_t framesPort() const;

    // Starts to take part in the group.
    void start(const std::vector<GroupPeer>& peers);
    // Waits for the requests in flight, at most until the limit, then closes all links and the journal.
    void stop(std::chrono::milliseconds limit);

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
