#pragma once

#include "transport/http_message.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <string>

namespace boost::asio {
class io_context;
}

namespace curranttrail::transport {

// Opens connections to servers for other entry instances and passes bytes on in both directions. Runs on one event loop's thread.
class RelayServer {
public:
    // Returns whether a connection to the address may be opened now.
    using Permission = std::function<bool(const std::string& address)>;

    // Starts listening. The key is the one that all instances share. Throws std::runtime_error if the address cannot be used.
    RelayServer(boost::asio::io_context& context, const Endpoint& bind, std::string key, Permission permission);
    ~RelayServer();
    RelayServer(const RelayServer&) = delete;
    RelayServer& operator=(const RelayServer&) = delete;

    // The function returns whether the server at an address may get a request now. A connection that is used for another one is closed.
    void setRequestPermission(Permission permission);
    // Tells the other instances which connections lead to servers that may get no requests, so that they close them once no answer is
    // due. Closes those on which no request has been sent.
    void closeForbidden();
    std::uint16_t port() const;
    // Takes no more connections. Those that are open stay.
    void stopAccepting();
    // Number of connections that are relayed at present.
    std::size_t connections() const;

private:
    class Impl;
    std::shared_ptr<Impl> m_impl;
};

} // namespace curranttrail::transport
