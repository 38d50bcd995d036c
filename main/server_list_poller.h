#pragma once

#include "core/units.h"
#include "routing/server_record.h"
#include "transport/event_sink.h"
#include "transport/http_client.h"
#include "transport/http_message.h"
#include "transport/io_threads.h"

#include <functional>
#include <memory>
#include <string>

namespace curranttrail {

// Fetches the platform's complete list of backend servers, page by page, within a limit on the call rate.
class ServerListPoller {
public:
    using Callback = std::function<void(routing::ServerList servers, TimePoint fetchStartedAt)>;

    // The callback receives each complete list, on an I/O thread.
    ServerListPoller(transport::IoThreads& threads, transport::Endpoint address, double callsPerSecond, transport::EventSink& sink, Callback callback);

    // Changes the address and the call rate, from the next fetch on. May be called from any thread.
    void setSource(transport::Endpoint address, double callsPerSecond);
    // Starts a fetch unless one is in progress. A failed fetch is discarded as a whole; the list delivered last stays valid.
    void poll();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace curranttrail
