#pragma once

#include <atomic>
#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <fstream>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <string>
#include <sys/types.h>
#include <thread>
#include <utility>
#include <vector>

// Starts the project's gateways and coordinators with the commands of the deploy file, on loopback addresses, beside stand-ins for
// clients, servers, the operator and the platform's list of servers.
namespace review {

using Clock = std::chrono::steady_clock;
using Millis = std::chrono::milliseconds;
using Headers = std::vector<std::pair<std::string, std::string>>;

enum ExitCode {
    kRuleHeld = 0,
    kRuleBroken = 1,
    kCouldNotRun = 2,
};

// Thrown if a scenario cannot be set up.
struct SetupError {
    std::string reason;
};

// Writes lines with the milliseconds since the start to record.txt.
class Record {
public:
    explicit Record(const std::string& path);
    void add(const std::string& text);
    std::int64_t elapsed() const;

private:
    std::mutex m_mutex;
    std::ofstream m_file;
    Clock::time_point m_start = Clock::now();
};

std::string format(const char* pattern, ...) __attribute__((format(printf, 1, 2)));
// Returns the value of a header, or an empty string.
std::string headerOf(const Headers& headers, const std::string& name);
bool hasHeader(const Headers& headers, const std::string& name);

struct Address {
    std::string ip;
    std::uint16_t port = 0;
    std::string text() const { return ip + ":" + std::to_string(port); }
};

// A TCP connection with blocking calls that take a time limit.
class Connection {
public:
    explicit Connection(int socket = -1)
        : m_socket(socket)
    {
    }
    ~Connection() { close(); }
    Connection(const Connection&) = delete;
    Connection& operator=(const Connection&) = delete;

    bool connect(const Address& address, Millis limit);
    bool send(const std::string& bytes);
    // Reads until the buffer holds at least the given number of bytes. Returns false at the end of the stream or after the limit.
    bool fill(std::size_t size, Millis limit);
    bool isOpen() const { return m_socket >= 0; }
    // Returns true if the other end has closed the connection.
    bool isClosedByPeer();
    void close();

    std::string buffer;
    bool ended = false;

private:
    int m_socket = -1;
};

struct Message {
    // Status or request line.
    std::string line;
    Headers headers;
    std::string body;
    int status() const { return line.size() >= 12 ? std::atoi(line.c_str() + 9) : 0; }
};

// Reads one HTTP message whose body has a length or is absent. Empty if the connection ended or the limit was reached.
std::optional<Message> readMessage(Connection& connection, Millis limit);

// A process of the project, started in the repository root with only the environment that the platform gives.
class Process {
public:
    Process(std::string name, std::string command, std::string settingsFile, std::string logFile);
    ~Process();
    void start();
    void signal(int number);
    bool isRunning();
    bool waitForExit(Millis limit);
    const std::string& name() const { return m_name; }

private:
    std::string m_name;
    std::string m_command;
    std::string m_settingsFile;
    std::string m_logFile;
    pid_t m_id = -1;
};

// One request as a server saw it.
struct Arrival {
    std::string server;
    std::string requestId;
    std::string line;
    std::int64_t at = 0;
    bool ran = false;
};

// A server of the platform: runs as many requests at the same time as it has slots, queues some, rejects the others, answers 421 to
// requests for another server and drops a request whose connection closes.
class Server {
public:
    struct Options {
        std::string service;
        std::string id;
        Address address;
        unsigned slots = 2;
        unsigned queue = 8;
        Millis work { 5 };
        std::size_t bodyBytes = 200;
    };

    Server(Options options, Record& record);
    ~Server();
    const Options& options() const { return m_options; }
    void setWork(Millis work) { m_work = work.count(); }
    // A server that is leaving closes each connection after its answer.
    void setLeaving(bool isLeaving) { m_isLeaving = isLeaving; }
    std::vector<Arrival> arrivals() const;

private:
    void accept();
    void serve(const std::shared_ptr<Connection>& connection);
    bool handle(Connection& connection, const Message& request);
    bool takeSlot(Connection& connection);

    Options m_options;
    Record& m_record;
    std::atomic<std::int64_t> m_work;
    std::atomic<bool> m_isLeaving { false };
    std::atomic<bool> m_stopping { false };
    int m_socket = -1;
    mutable std::mutex m_mutex;
    std::condition_variable m_changed;
    unsigned m_running = 0;
    unsigned m_waiting = 0;
    std::vector<Arrival> m_arrivals;
    std::atomic<unsigned> m_connections { 0 };
    std::thread m_acceptor;
};

// An entry of the platform's list of servers.
struct ListEntry {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    std::string state = "ready";
    unsigned slots = 2;
};

// The platform's list of servers.
class ServerList {
public:
    ServerList(const Address& address, Record& record);
    ~ServerList();
    void set(const ListEntry& entry);
    // Adds an entry of another writer, as raw bytes.
    void setForeignEntry(const std::string& bytes);
    // Returns the number of calls that were answered.
    unsigned calls() const { return m_calls; }

private:
    void accept();
    std::string body() const;

    Record& m_record;
    mutable std::mutex m_mutex;
    std::map<std::string, ListEntry> m_entries;
    std::string m_foreignEntry;
    std::atomic<unsigned> m_calls { 0 };
    std::atomic<unsigned> m_connections { 0 };
    std::atomic<bool> m_stopping { false };
    int m_socket = -1;
    std::thread m_acceptor;
};

// Values of the settings that the platform fills in.
struct SystemOptions {
    std::size_t coordinators = 3;
    std::size_t gateways = 2;
    unsigned graceS = 6;
    double retryBudgetRatio = 0.2;
    unsigned retryBudgetSlack = 58;
    unsigned budgetWindowS = 10;
    unsigned toleratedMachines = 1;
};

// A small deployment. Coordinators listen on 127.0.0.11 and the following addresses, gateways on 127.0.0.31 and the following.
class System {
public:
    System(const std::string& root, SystemOptions options, Record& record);
    ~System();

    Address listAddress() const { return { "127.0.0.1", m_basePort }; }
    Address otherListAddress() const { return { "127.0.0.2", m_basePort }; }
    // Sets the address of the list in the settings that are written from now on.
    void setListAddress(const Address& address) { m_listAddress = address; }
    Address serverAddress(std::size_t n) const { return { format("127.0.1.%zu", n + 1), m_basePort }; }
    Address controlAddress(std::size_t n) const { return { coordinatorIp(n), static_cast<std::uint16_t>(m_basePort + 1) }; }
    Address frontAddress(std::size_t n) const { return { gatewayIp(n), static_cast<std::uint16_t>(m_basePort + 2) }; }
    Address readyAddress(std::size_t n) const { return { gatewayIp(n), static_cast<std::uint16_t>(m_basePort + 3) }; }

    Process& coordinator(std::size_t n) { return *m_coordinators.at(n); }
    Process& gateway(std::size_t n) { return *m_gateways.at(n); }
    std::string dataFolder(std::size_t n) const { return m_folder + "/data-" + std::to_string(n); }
    // Writes the settings of a coordinator. The seeds are numbers of coordinators.
    void writeCoordinator(std::size_t n, bool bootstrap, const std::vector<std::size_t>& seeds);
    void startAll();
    // Sends the configuration to any coordinator until it is acknowledged. Returns false if that takes longer than the limit.
    bool putConfiguration(const std::string& document, Millis limit);
    // Reads the configuration from any coordinator. Empty if none returns it within the limit.
    std::optional<std::string> readConfiguration(Millis limit);
    bool waitUntilReady(std::size_t gateway, Millis limit);
    bool isReady(std::size_t gateway);
    void endAll();

private:
    static std::string coordinatorIp(std::size_t n) { return format("127.0.0.%zu", 11 + n); }
    static std::string gatewayIp(std::size_t n) { return format("127.0.0.%zu", 31 + n); }
    void writeGateway(std::size_t n, const std::vector<std::size_t>& seeds);
    std::string fill(const std::string& templateFile, const std::map<std::string, std::string>& values, const std::vector<std::size_t>& seeds) const;
    std::optional<Message> call(std::size_t coordinator, const std::string& method, const std::string& body);

    std::string m_root;
    SystemOptions m_options;
    Record& m_record;
    std::string m_folder;
    std::uint16_t m_basePort = 0;
    Address m_listAddress;
    std::vector<std::unique_ptr<Process>> m_coordinators;
    std::vector<std::unique_ptr<Process>> m_gateways;
};

void sleepFor(Millis time);
// A scenario returns true if the rule held. Without the disruption it does the same otherwise.
using Scenario = std::function<bool(const std::string& root, bool isTroubled, Record& record)>;
// Runs a scenario with the arguments "ROOT RECORD TROUBLE" and returns the exit code of the program. TROUBLE is 0 or 1.
int run(int argc, char** argv, const Scenario& scenario);

} // namespace review
