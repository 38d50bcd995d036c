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

// HTTP/1.1 client for connections to backend servers, each with at most one request in flight. All functions and handlers
// run on the event loop's thread. The calling code assigns the connection ids.
class RawHttpClient {
public:
    struct Handlers {
        std::function<void(ConnectionId connection)> opened;
        // The connection could not be opened, or was closed while no request was in flight.
        std::function<void(ConnectionId connection, std::string reason)> disconnected;
        // The connection could not be opened because the instance that was to relay it failed or refused.
        std::function<void(ConnectionId connection, std::string reason)> relayFailed;
        // Returns whether a complete reply belongs to the request in flight. A reply that does not is dropped, and the client
        // goes on waiting for the right one.
        std::function<bool(ConnectionId connection, const RawReply& reply)> belongsToRequest;
        // A complete reply was received. The connection has been closed if `closing` is true.
        std::function<void(ConnectionId connection, RawReply reply, bool closing)> replied;
        // The connection ended or failed before the reply was complete.
        std::function<void(ConnectionId connection, std::string reason)> requestFailed;
    };

    RawHttpClient(boost::asio::io_context& context, Handlers handlers);
    ~RawHttpClient();
    RawHttpClient(const RawHttpClient&) = delete;
    RawHttpClient& operator=(const RawHttpClient&) = delete;

    void open(ConnectionId connection, const std::string& address);
    // Opens a connection through another instance. The key is the one that all instances share.
    void openThroughRelay(ConnectionId connection, const std::string& address, const std::string& relay, std::string_view key);
    // Sends a request on an open connection without a request in flight. `expectsBody` is false for HEAD requests.
    void send(ConnectionId connection, std::string text, bool expectsBody);
    // Closes the connection without calling a handler.
    void close(ConnectionId connection);

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
