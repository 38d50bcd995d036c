#pragma once

#include <sys/types.h>

#include <atomic>
#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <string_view>
#include <thread>
#include <utility>
#include <vector>

// Stand-ins for the platform, the servers and the clients, and the project's own programs as child processes. All addresses are
// loopback addresses.
namespace review {

using Millis = std::chrono::milliseconds;

// False if the scenario runs without its disruption.
bool hasTrouble();
void sleepFor(Millis duration);

// Lines with the time since the start, kept in the record of a case. Thread-safe.
class Record {
public:
    explicit Record(std::string path);
    void add(const std::string& line);
    // Writes the lines to the file.
    void write() const;

private:
    const std::string m_path;
    const std::chrono::steady_clock::time_point m_startedAt = std::chrono::steady_clock::now();
    mutable std::mutex m_mutex;
    std::vector<std::string> m_lines;
};

struct Endpoint {
    std::string host;
    std::uint16_t port = 0;
    std::string text() const { return host + ":" + std::to_string(port); }
};

// One connection, blocking, with a timeout for each read.
class Socket {
public:
    explicit Socket(int descriptor);
    ~Socket();
    Socket(const Socket&) = delete;
    Socket& operator=(const Socket&) = delete;
    // Returns null if the connection is not open within the limit.
    static std::unique_ptr<Socket> connect(const Endpoint& endpoint, Millis limit = Millis { 1'000 });

    bool send(std::string_view bytes);
    // Reads more bytes into the buffer. Returns false at the end of the stream, after an error or after the limit.
    bool receive(Millis limit);
    std::string& buffer() { return m_buffer; }
    bool isReset() const { return m_isReset; }
    bool isTimedOut() const { return m_isTimedOut; }
    // Port of the other end.
    std::uint16_t peerPort() const;
    void reset();
    void close();

private:
    int m_descriptor;
    std::string m_buffer;
    bool m_isReset = false;
    bool m_isTimedOut = false;
};

// A request or a response of HTTP/1.1. Names of fields are in lower case.
struct Message {
    std::string firstLine;
    std::multimap<std::string, std::string> fields;
    std::string body;
    // False if the connection ended, or the limit passed, before the message was complete.
    bool isComplete = false;

    std::string method() const;
    std::string path() const;
    unsigned status() const;
    std::string field(const std::string& name) const;
};

Message readMessage(Socket& socket, Millis limit, bool isResponse);
// Sends one request on a new connection and returns the response; the status is 0 if none came.
Message exchange(const Endpoint& endpoint, const std::string& request, Millis limit);

// Listens and runs a function for each connection on a thread of its own.
class Listener {
public:
    Listener(Endpoint endpoint, std::function<void(Socket&)> handle);
    ~Listener();
    // Connections are refused while it is closed. Those that are open stay.
    void open();
    void close();
    const Endpoint& endpoint() const { return m_endpoint; }

private:
    void run(int descriptor) const;

    const Endpoint m_endpoint;
    const std::function<void(Socket&)> m_handle;
    int m_descriptor = -1;
    std::thread m_thread;
};

class ServerStandIn;

struct ServedRequest {
    ServerStandIn& server;
    Socket& socket;
    const Message& message;
    std::string id;
};

// A server of the platform: rejects what is not for it, counts what it runs, and answers.
class ServerStandIn {
public:
    using Answer = std::function<void(ServedRequest& request)>;

    ServerStandIn(std::string instance, std::string service, std::string zone, Endpoint endpoint, Answer answer);
    // Sends the usual answer to a request that ran.
    static void answerNormally(ServedRequest& request);
    static std::string bodyOf(const std::string& service, const std::string& id);
    std::string stamp(const std::string& id) const { return instance + "|" + service + "|" + id; }

    std::string instance;
    std::string service;
    std::string zone;
    std::atomic<bool> isDraining { false };
    // If set, connections for which it returns true are reset instead of served, as behind a cut.
    std::function<bool(const Socket&)> isCutOff;
    // Runs by request id.
    std::map<std::string, unsigned> runs() const;
    Listener& listener() { return *m_listener; }

private:
    void serve(Socket& socket);

    const Answer m_answer;
    mutable std::mutex m_mutex;
    std::map<std::string, unsigned> m_runs;
    std::unique_ptr<Listener> m_listener;
};

// The platform's list of servers.
class PlatformStandIn {
public:
    PlatformStandIn(Endpoint endpoint, const std::vector<std::unique_ptr<ServerStandIn>>& servers);

private:
    std::string page() const;

    const std::vector<std::unique_ptr<ServerStandIn>>& m_servers;
    Listener m_listener;
};

// A program of the project that runs as a process of its own, as the deploy file says.
class Process {
public:
    Process(std::string name, std::string program, std::string settingsFile, std::string logFile);
    ~Process();
    Process(const Process&) = delete;
    Process& operator=(const Process&) = delete;

    void start();
    void signal(int number);
    // Ends the process at once and waits for its end.
    void kill();
    bool isRunning();
    // Description of an end that no signal of the scenario caused.
    const std::string& unexpectedEnd() const { return m_unexpectedEnd; }
    pid_t id() const { return m_id; }
    // Returns whether the process holds the end of a loopback connection that has this local port.
    bool holdsPort(std::uint16_t port) const;
    const std::string& name() const { return m_name; }

private:
    const std::string m_name;
    const std::string m_program;
    const std::string m_settingsFile;
    const std::string m_logFile;
    pid_t m_id = -1;
    bool m_isEndExpected = false;
    std::string m_unexpectedEnd;
};

struct WorldOptions {
    // Those that start first.
    std::size_t coordinators = 3;
    std::size_t gateways = 1;
    // Machines that are added later.
    std::size_t spareCoordinators = 0;
};

// A small deployment: machines 127.0.0.11 and so on for coordinators, 127.0.2.1 and so on for gateways, and servers at 127.0.1.1 and
// so on. The ports are the same on all machines.
class World {
public:
    World(std::string folder, WorldOptions options);
    ~World();

    ServerStandIn& addServer(const std::string& service, const ServerStandIn::Answer& answer = ServerStandIn::answerNormally);
    void startPlatform();
    // Writes the settings of a process as the platform fills them in at each start.
    void writeCoordinator(std::size_t n, bool bootstrap) const;
    void writeGateway(std::size_t n) const;
    void startAll();
    // Names the coordinators whose addresses are written into settings from now on; the first three at the start.
    void setSeeds(std::vector<std::size_t> seeds) { m_seeds = std::move(seeds); }

    Endpoint control(std::size_t n) const;
    Endpoint callers(std::size_t n) const;
    Endpoint ready(std::size_t n) const;
    std::string dataFolder(std::size_t coordinator) const;
    // Sends an order to a coordinator, follows two redirects, and returns the last response.
    Message order(std::size_t coordinator, const std::string& method, const std::string& path, const std::string& body, Millis limit = Millis { 1'000 });
    // Repeats the order at one coordinator after the other until it is acknowledged or the limit passes.
    bool configure(const std::string& body, Millis limit);
    bool waitUntilServed(std::size_t gateway, const std::string& path, Millis limit);
    std::string requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMs, const std::string& body = {}) const;

    Record record;
    std::vector<std::unique_ptr<Process>> coordinators;
    std::vector<std::unique_ptr<Process>> gateways;
    std::vector<std::unique_ptr<ServerStandIn>> servers;

private:
    std::string seeds() const;

    const std::string m_folder;
    const WorldOptions m_options;
    std::vector<std::size_t> m_seeds { 0, 1, 2 };
    std::uint16_t m_basePort = 0;
    std::unique_ptr<PlatformStandIn> m_platform;
};

// Runs a scenario in a temporary folder and ends the process with its result: 0 if the rule held, 1 if it was broken, 2 if the scenario
// could not run. The function returns 0, 1 or 2, or throws.
int runScenario(int argc, char** argv, WorldOptions options, const std::function<int(World&)>& scenario);

} // namespace review
