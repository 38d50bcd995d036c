#pragma once

#include "main/control_runtime.h"
#include "main/feed_publisher.h"
#include "transport/event_loop.h"
#include "transport/event_sink.h"
#include "transport/http_router.h"

#include <cstdint>
#include <string>

namespace curranttrail {

// The operators' API for the evacuation of data centres. The group's leader answers; other replicas redirect to it.
//
//   POST EVACUATE/DATA-CENTRE      orders that its servers get no requests
//   DELETE EVACUATE/DATA-CENTRE    withdraws that
//   GET EVACUATE                   the evacuated data centres, with the number of servers listed in each
//
// An order that is in force already is acknowledged again, as its first acknowledgement may have been lost.
class EvacuationApi {
public:
    // The port is the one of this API, which is the same on all control instances. The publisher is used on the loop's thread.
    EvacuationApi(ControlRuntime& runtime, transport::EventLoop& loop, FeedPublisher& publisher, transport::EventSink& sink, std::uint16_t port);

    void addRoutes(transport::HttpRouter& router);

private:
    void order(const transport::HttpRequest& request, const transport::Responder& responder, bool isEvacuated);
    void list(const transport::Responder& responder);

    ControlRuntime& m_runtime;
    transport::EventLoop& m_loop;
    FeedPublisher& m_publisher;
    transport::EventSink& m_sink;
    const std::uint16_t m_port;
};

} // namespace curranttrail
