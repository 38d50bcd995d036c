#pragma once

#include "core/event_log.h"
#include "core/ids.h"
#include "core/units.h"

#include <chrono>
#include <cstddef>
#include <cstdint>
#include <functional>
#include <memory>
#include <string>

namespace curranttrail::transport {

// Authenticated message frames over TCP between the processes of a cluster.
//
// Both peers prove knowledge of the cluster key using two nonces, then derive one key per direction.
// Each frame carries an HMAC-SHA256 over an implicit sequence number and its whole content. A frame that was modified,
// replayed, reordered or copied from another connection closes the connection.

// Reads the cluster key: the content of the file without leading and trailing white space, at least 32 bytes.
// Throws std::runtime_error with the file name and the reason.
std::string readClusterKey(const std::string& path);

struct LinkOptions {
    // Instance name of this process, sent to the peer in the handshake.
    InstanceName name;
    std::string clusterKey;
    // Larger bodies are rejected before memory is allocated for them.
    std::size_t maximumBodyBytes = 1 << 20;
    // A client abandons an attempt to connect after this time and retries.
    std::chrono::milliseconds connectTimeout { 2000 };
    // Maximum duration of the handshake.
    std::chrono::milliseconds handshakeTimeout { 2000 };
    // Maximum time to read or write a frame, measured from its first byte.
    std::chrono::milliseconds frameTimeout { 5000 };
    // A client sends a ping after this time without sending or without receiving a frame.
    std::chrono::milliseconds keepAliveInterval { 1000 };
    // A connection on which no frame has been received for this time is closed. A client then reconnects.
    std::chrono::milliseconds receiveTimeout { 3000 };
    std::chrono::milliseconds minimumBackoff { 50 };
    std::chrono::milliseconds maximumBackoff { 1000 };
    // A server immediately closes connections beyond this number.
    std::size_t maximumConnections = 1024;
    // A server stops reading from a connection with this many unanswered requests.
    std::size_t maximumUnansweredRequests = 1024;
    // Returns the stamp of an outgoing frame; see HybridLogicalClock. May be empty. Called on the loop's thread.
    std::function<std::uint64_t()> stamp;
    // Receives the stamp of an incoming frame. May be empty. Called on the loop's thread.
    std::function<void(std::uint64_t)> observe;
    // Receives the log events of the connections, see frame_events.h. May be empty. Called on the loop's thread.
    std::function<void(const LogEvent&)> log;
};

// An event loop with its own thread. Servers and clients that use it must be destroyed first.
class EventLoop {
public:
    EventLoop();
    ~EventLoop();
    EventLoop(const EventLoop&) = delete;
    EventLoop& operator=(const EventLoop&) = delete;

    // Schedules the function on the loop's thread.
    void post(std::function<void()> function);
    // Schedules the function on the loop's thread after the delay. It does not run if the loop is destroyed earlier.
    void after(Micros delay, std::function<void()> function);
    // Runs the function on the loop's thread and waits for it to return. May be called on the loop's thread as well.
    void runAndWait(const std::function<void()>& function);
    bool onThread() const;

    struct Implementation;
    Implementation& implementation() { return *m_implementation; }

private:
    std::unique_ptr<Implementation> m_implementation;
};

// A message received by a server.
struct IncomingFrame {
    // Peer name stated in the handshake. Any holder of the cluster key can state any name.
    InstanceName from;
    std::uint16_t type = 0;
    std::string body;
};

// Replies to a request. May be called from any thread, at most once. Does nothing if the connection has been closed.
using FrameResponder = std::function<void(std::string body)>;

// Called on the loop's thread for each message. The responder is empty for a one-way message.
using FrameHandler = std::function<void(IncomingFrame frame, FrameResponder respond)>;

class FrameServer {
public:
    // Starts listening. Port 0 selects a free port. Throws std::runtime_error if the address cannot be used.
    FrameServer(EventLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port, FrameHandler handler);
    // Closes the listener and all connections. No handler is called afterwards.
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    std::uint16_t port() const;
    std::size_t connections() const;

    struct Implementation;

private:
    EventLoop& m_loop;
    std::shared_ptr<Implementation> m_implementation;
};

enum class RequestStatus {
    Answered,
    // No byte of the request was written.
    NotSent,
    // The request may have been written in part or in full, and no reply was received.
    Unknown,
};

struct RequestResult {
    RequestStatus status = RequestStatus::NotSent;
    std::string body;
};

using RequestCallback = std::function<void(RequestResult result)>;

// A connection to one server that reconnects automatically. All functions are thread-safe.
class FrameClient {
public:
    FrameClient(EventLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port);
    // Completes all pending requests as NotSent or Unknown. No callback is called afterwards.
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    // Sends a request. The callback is called exactly once, on the loop's thread. Without a connection, the request waits
    // for the next connection attempt and completes as NotSent if that attempt fails.
    void request(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback);
    // Sends a one-way message. It is dropped if there is no connection.
    void send(std::uint16_t type, std::string body);
    bool connected() const;

    struct Implementation;

private:
    EventLoop& m_loop;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace curranttrail::transport
