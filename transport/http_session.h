#pragma once

#include "transport/http_server.h"

#include <boost/asio/ip/tcp.hpp>

#include <atomic>
#include <memory>
#include <mutex>
#include <set>

namespace curranttrail::transport::detail {

class Session;

// Open sessions of a server. Outlives the server until the last session has closed.
struct SessionSet {
    using Weak = std::weak_ptr<Session>;
    std::mutex mutex;
    // The pointers are weak because sessions are kept alive by their pending operations.
    std::set<Weak, std::owner_less<Weak>> sessions;
    std::atomic<std::size_t> count { 0 };
    std::atomic<bool> retiring { false };
    bool stopping = false;
    std::function<void()> done;

    // Removes a closed session. Calls `done` after the last one if the server is stopping.
    void remove(const std::shared_ptr<Session>& session);
};

// Creates the session that serves one connection. The socket's executor must be a strand.
std::shared_ptr<Session> makeSession(boost::asio::ip::tcp::socket socket, const HttpServerOptions& options, HttpHandler handler, std::shared_ptr<SessionSet> set);

void startSession(Session& session);

// Closes the connection immediately if it is idle, else after the response.
void finishSession(Session& session);

// Closes the connection immediately.
void abortSession(Session& session);

} // namespace curranttrail::transport::detail
