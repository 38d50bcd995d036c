#pragma once

#include "main/entry_settings.h"
#include "transport/event_sink.h"

#include <chrono>
#include <cstdint>
#include <memory>
#include <optional>
#include <string>

namespace curranttrail {

// An entry instance: accepts callers' queries, fans them out to backend servers and answers them.
class EntryDaemon {
public:
    // Binds all sockets. Throws std::runtime_error if an address, a key or a file cannot be used.
    EntryDaemon(const EntrySettings& settings, transport::EventSink& sink);
    ~EntryDaemon();
    EntryDaemon(const EntryDaemon&) = delete;
    EntryDaemon& operator=(const EntryDaemon&) = delete;

    void start();
    // Stops gracefully: reports not ready, waits for the load balancer to react, then finishes the queries in flight, their
    // settlements and usage records. Returns false if any of these was unfinished at the timeout.
    bool stop();

    std::uint16_t httpPort() const;
    std::uint16_t framesPort() const;
    // Returns why the instance is not ready, or nothing if it is ready.
    std::optional<std::string> notReadyReason() const;

private:
    struct Implementation;
    std::unique_ptr<Implementation> m_implementation;
};

} // namespace curranttrail
