#pragma once

#include "core/ids.h"
#include "transport/raw_http.h"

#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace curranttrail::transport {

// Connections to backend servers on one event loop, one request at a time on each. Every function and handler runs on the
// loop's thread. The caller numbers the connections.
class RawHttpClient {
public:
    struct Handlers {
        std::function<void(ConnectionId connection)> opened;
        // The connection could not be opened, or was closed while no request was on it.
        std::function<void(ConnectionId connection, std::string reason)> lost;
        // A complete reply. The connection is closed if `closing` is true.
        std::function<void(ConnectionId connection, RawReply reply, bool closing)> replied;
        // The connection ended or was broken before the reply was complete.
        std::function<void(ConnectionId connection, std::string reason)> broken;
    };

    RawHttpClient(boost::asio::io_context& context, Handlers handlers);
    ~RawHttpClient();
    RawHttpClient(const RawHttpClient&) = delete;
    RawHttpClient& operator=(const RawHttpClient&) = delete;

    void open(ConnectionId connection, const std::string& address);
    // Sends a request on an open connection without one. A reply to HEAD has no body.
    void send(ConnectionId connection, std::string text, bool expectsBody);
    // Closes without a call of a handler.
    void close(ConnectionId connection);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
