#pragma once

#include "query/messages.h"
#include "transport/http_message.h"

#include <functional>
#include <memory>
#include <string>

namespace curranttrail::transport {

class EventSink;
class IoThreads;
class Metrics;

struct BackendClientOptions {
    // Prefix of attempt identifiers, unique to this process. It also differs from that of earlier processes of the same instance.
    std::string attemptPrefix;
    std::size_t maximumReplyBytes = 4'194'304;
    std::chrono::milliseconds connectTimeout { 1'000 };
    std::chrono::milliseconds cancelTimeout { 1'000 };
};

// Executes the reducer's connection and subquery effects over HTTP/1.1 and reports the outcomes as events.
//
// The "not run" verdict returned to the caller depends on the reported progress: NotSent is reported only if the socket
// accepted no byte of the request; Shed and SnapshotGone only if the server's reply states that nothing was run;
// BytesSent or Unknown otherwise. A reply that identifies another attempt than the one in flight is still reported, then
// the connection is closed, because later replies on it can no longer be matched to requests.
class BackendClient {
public:
    // Called on any I/O thread. Events of one connection are delivered in order.
    using EventCallback = std::function<void(query::Event)>;

    BackendClient(IoThreads& threads, BackendClientOptions options, EventSink& sink, Metrics& metrics, EventCallback callback);
    ~BackendClient();
    BackendClient(const BackendClient&) = delete;
    BackendClient& operator=(const BackendClient&) = delete;

    // Reports ConnectionOpened or ConnectionLost.
    void open(const query::OpenConnection& effect, const Endpoint& server);
    // Closes the connection and discards any request in flight on it. Reports no event.
    void close(const query::CloseConnection& effect);
    // Reports SubqueryReplied or SubqueryEnded.
    void send(const query::SendSubquery& effect);
    // Sends a cancellation to the server on a separate connection. The end of the attempt is reported by its own connection.
    void cancel(const query::CancelSubquery& effect, const Endpoint& server);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
