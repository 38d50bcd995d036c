#pragma once

#include "main/control_runtime.h"
#include "transport/event_sink.h"
#include "transport/http_router.h"

namespace curranttrail {

// The operators' API for the configuration document. The group's leader answers; other replicas redirect to it.
class DocumentApi {
public:
    // The port is the one of this API, which is the same on all control instances.
    DocumentApi(ControlRuntime& runtime, transport::EventSink& sink, std::uint16_t port);

    void addRoutes(transport::HttpRouter& router);

private:
    void put(const transport::HttpRequest& request, const transport::Responder& responder);
    void get(const transport::Responder& responder);

    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    const std::uint16_t m_port;
};

} // namespace curranttrail
