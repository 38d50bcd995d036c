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

// Authenticated frames over TCP between our own processes.
//
// Both sides prove knowledge of the cluster key over two nonces, then derive one key for each direction.
// Each frame carries an HMAC-SHA256 over an implicit sequence number and its whole content, so that a frame that is
// changed, repeated, reordered or taken from another connection closes the connection.

// Reads the cluster key: the file's content without white space at its ends, at least 32 bytes.
// Throws std::runtime_error that names the file and the reason.
std::string readClusterKey(const std::string& path);

struct LinkOptions {
    // This process's instance name. The other side learns it in the handshake.
    InstanceName name;
    std::string clusterKey;
    // Larger bodies are refused before any memory is reserved for them.
    std::size_t maximumBody = 1 << 20;
    // A client repeats a connection request that is not answered within this time.
    std::chrono::milliseconds connectLimit { 2000 };
    // The time within which the handshake must be complete.
    std::chrono::milliseconds handshakeLimit { 2000 };
    // The time within which a frame must be complete once its first byte has come, or has been written.
    std::chrono::milliseconds frameLimit { 5000 };
    // A client that has sent nothing, or to which nothing has come, for this long sends a ping.
    std::chrono::milliseconds keepAlive { 1000 };
    // A connection from which nothing has come for this long is closed; a client then opens a new one.
    std::chrono::milliseconds silenceLimit { 3000 };
    std::chrono::milliseconds leastBackoff { 50 };
    std::chrono::milliseconds mostBackoff { 1000 };
    // A server closes further connections beyond this number at once.
    std::size_t maximumConnections = 1024;
    // A server reads no further requests of a connection with this many unanswered ones.
    std::size_t maximumUnanswered = 1024;
    // Returns the causal stamp for an outgoing frame; see EventSink. May be empty. Called on the loop's thread.
    std::function<std::uint64_t()> stamp;
    // Takes the causal stamp of a frame that came in. May be empty. Called on the loop's thread.
    std::function<void(std::uint64_t)> observe;
    // Takes the events of the links (7000s). May be empty. Called on the loop's thread.
    std::function<void(const LogEvent&)> log;
};

// One thread with an event loop. Servers and clients that use a loop must be destroyed before it.
class FrameLoop {
public:
    FrameLoop();
    ~FrameLoop();
    FrameLoop(const FrameLoop&) = delete;
    FrameLoop& operator=(const FrameLoop&) = delete;

    // Runs the function on the loop's thread, soon.
    void post(std::function<void()> function);
    // Runs the function on the loop's thread after the delay. Not run if the loop ends before.
    void after(Micros delay, std::function<void()> function);
    // Runs the function on the loop's thread and returns when it has run. May be called on the loop's thread.
    void runAndWait(const std::function<void()>& function);
    bool onThread() const;

    struct Implementation;
    Implementation& implementation() { return *m_implementation; }

private:
    std::unique_ptr<Implementation> m_implementation;
};

// A message that came in on a server.
struct IncomingFrame {
    // The other side's name from its handshake. Whoever holds the cluster key can state any name.
    InstanceName from;
    std::uint16_t type = 0;
    std::string body;
};

// Answers a request. May be called from any thread, at most once; does nothing if the connection is gone.
using FrameResponder = std::function<void(std::string body)>;

// Called on the loop's thread for each message. The responder is empty for a message that expects no answer.
using FrameHandler = std::function<void(IncomingFrame frame, FrameResponder respond)>;

class FrameServer {
public:
    // Listens at once. Port 0 takes a free port. Throws std::runtime_error if the address cannot be used.
    FrameServer(FrameLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port, FrameHandler handler);
    // Closes the listener and all connections. No handler runs afterwards.
    ~FrameServer();
    FrameServer(const FrameServer&) = delete;
    FrameServer& operator=(const FrameServer&) = delete;

    std::uint16_t port() const;
    std::size_t connections() const;

    struct Implementation;

private:
    FrameLoop& m_loop;
    std::shared_ptr<Implementation> m_implementation;
};

enum class RequestStatus {
    Answered,
    // No byte of the request was written.
    NotSent,
    // The request was written, at least in part, and no answer came in time.
    Unknown,
};

struct RequestResult {
    RequestStatus status = RequestStatus::NotSent;
    std::string body;
};

using RequestCallback = std::function<void(RequestResult result)>;

// A connection to one server that is opened again whenever it is lost. All functions may be called from any thread.
class FrameClient {
public:
    FrameClient(FrameLoop& loop, LinkOptions options, const std::string& address, std::uint16_t port);
    // Completes all pending requests as not sent or unknown. No callback runs afterwards.
    ~FrameClient();
    FrameClient(const FrameClient&) = delete;
    FrameClient& operator=(const FrameClient&) = delete;

    // Sends a request. The callback runs exactly once, on the loop's thread. A request that finds no connection waits
    // for the next attempt to connect and is completed as not sent if that attempt fails.
    void request(std::uint16_t type, std::string body, Micros timeout, RequestCallback callback);
    // Sends a message that expects no answer. It is dropped if there is no connection.
    void send(std::uint16_t type, std::string body);
    bool connected() const;

    struct Implementation;

private:
    FrameLoop& m_loop;
    std::shared_ptr<Implementation> m_implementation;
};

} // namespace curranttrail::transport
