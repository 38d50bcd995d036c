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

// Fetches the platform's whole list of backend servers, page by page, within a rate of calls.
class ServerListPoller {
public:
    using Callback = std::function<void(routing::ServerList servers)>;

    // The callback gets each complete list, on an I/O thread.
    ServerListPoller(transport::IoThreads& threads, transport::Endpoint address, double callsPerSecond, transport::EventSink& sink, Callback callback);

    // Starts a pass unless one is running. A pass that fails is dropped as a whole; the list last delivered stays valid.
    void poll();

private:
    struct State;
    std::shared_ptr<State> m_state;
};

} // namespace curranttrail
