#pragma once

#include "main/control_runtime.h"
#include "main/feed_publisher.h"
#include "transport/event_loop.h"
#include "transport/event_sink.h"
#include "transport/http_router.h"

namespace curranttrail {

// The operators' API for requests under which servers ended. The group's leader answers; other replicas redirect to it.
//
//   GET /v1/crashes                   the requests that are suspect, blocked or cleared, with the servers that ended
//   DELETE /v1/crashes/FINGERPRINT    lets a request run again
class CrashApi {
public:
    // The port is the one of this API, which is the same on all control instances. The publisher is used on the loop's thread.
    CrashApi(ControlRuntime& runtime, transport::EventLoop& loop, FeedPublisher& publisher, transport::EventSink& sink, std::uint16_t port);

    void addRoutes(transport::HttpRouter& router);

private:
    void onLeader(const std::string& path, const transport::Responder& responder, std::function<transport::HttpResponse()> answer);
    transport::HttpResponse list() const;
    transport::HttpResponse release(const std::string& fingerprint, const std::string& client);

    ControlRuntime& m_runtime;
    transport::EventLoop& m_loop;
    FeedPublisher& m_publisher;
    transport::EventSink& m_sink;
    const std::uint16_t m_port;
};

} // namespace curranttrail
