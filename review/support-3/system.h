#pragma once

// Starts a small deployment of the project's own programs on loopback addresses: four coordinators, a platform that serves the
// server list, and gateways. Header only, POSIX only, so that a case needs no library.

#include <arpa/inet.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fstream>
#include <functional>
#include <iterator>
#include <map>
#include <mutex>
#include <sstream>
#include <string>
#include <thread>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

// Exit codes of a case.
constexpr int kHeld = 0;
constexpr int kBroken = 1;
constexpr int kCouldNotRun = 2;

inline std::ofstream g_record;
inline std::mutex g_recordMutex;
inline const Clock::time_point g_start = Clock::now();

inline long elapsed()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now() - g_start).count();
}

[[gnu::format(printf, 1, 2)]] inline void record(const char* format, ...)
{
    char text[2048];
    va_list arguments;
    va_start(arguments, format);
    std::vsnprintf(text, sizeof text, format, arguments);
    va_end(arguments);
    const std::lock_guard<std::mutex> lock(g_recordMutex);
    g_record << elapsed() << " ms: " << text << std::endl;
    std::printf("%ld ms: %s\n", elapsed(), text);
    std::fflush(stdout);
}

inline void pause(long milliseconds)
{
    std::this_thread::sleep_for(Milliseconds { milliseconds });
}

inline sockaddr_in endpoint(const std::string& address, int port)
{
    sockaddr_in result {};
    result.sin_family = AF_INET;
    result.sin_port = htons(static_cast<std::uint16_t>(port));
    inet_pton(AF_INET, address.c_str(), &result.sin_addr);
    return result;
}

inline int listenOn(const std::string& address, int port)
{
    const int listener = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    setsockopt(listener, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    const sockaddr_in local = endpoint(address, port);
    if (bind(listener, reinterpret_cast<const sockaddr*>(&local), sizeof local) != 0 || listen(listener, 128) != 0) {
        close(listener);
        return -1;
    }
    return listener;
}

inline int portOf(int listener)
{
    sockaddr_in local {};
    socklen_t size = sizeof local;
    getsockname(listener, reinterpret_cast<sockaddr*>(&local), &size);
    return ntohs(local.sin_port);
}

// Returns the first of count ports in a row that are free on all addresses, or 0.
inline int freePorts(const std::vector<std::string>& addresses, int count)
{
    for (int attempt = 0; attempt < 200; ++attempt) {
        const int first = 20'000 + static_cast<int>((static_cast<unsigned>(getpid()) * 37u + static_cast<unsigned>(attempt) * 101u) % 11'000u);
        bool free = true;
        for (const std::string& address : addresses) {
            for (int i = 0; free && i < count; ++i) {
                const int listener = listenOn(address, first + i);
                free = listener >= 0;
                if (free)
                    close(listener);
            }
        }
        if (free)
            return first;
    }
    return 0;
}

inline int connectTo(const std::string& address, int port)
{
    const int connection = socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const sockaddr_in peer = endpoint(address, port);
    if (connect(connection, reinterpret_cast<const sockaddr*>(&peer), sizeof peer) != 0) {
        close(connection);
        return -1;
    }
    const int on = 1;
    setsockopt(connection, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    return connection;
}

inline bool sendAll(int connection, const std::string& text)
{
    std::size_t sent = 0;
    while (sent < text.size()) {
        const ssize_t size = send(connection, text.data() + sent, text.size() - sent, MSG_NOSIGNAL);
        if (size <= 0)
            return false;
        sent += static_cast<std::size_t>(size);
    }
    return true;
}

inline std::string lower(std::string text)
{
    std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return static_cast<char>(std::tolower(c)); });
    return text;
}

struct Message {
    bool isComplete = false;
    // First line of the message.
    std::string start;
    std::map<std::string, std::string> fields;
    std::string body;
    int status = 0;
    // How the connection ended before the message was complete, or empty.
    std::string end;

    std::string field(const std::string& name) const
    {
        const auto it = fields.find(lower(name));
        return it == fields.end() ? std::string {} : it->second;
    }
};

// Reads a header; bytes that follow it stay in the buffer.
inline bool readHeader(int connection, std::string& buffer, Message& message)
{
    std::size_t end;
    while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
        char bytes[4096];
        const ssize_t size = recv(connection, bytes, sizeof bytes, 0);
        if (size <= 0) {
            message.end = size == 0 ? "end of stream" : std::strerror(errno);
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(size));
    }
    std::istringstream lines(buffer.substr(0, end + 2));
    buffer.erase(0, end + 4);
    std::string line;
    while (std::getline(lines, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        if (message.start.empty()) {
            message.start = line;
            continue;
        }
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.fields[lower(line.substr(0, colon))] = value;
    }
    return true;
}

// Reads until the buffer holds size bytes.
inline bool fill(int connection, std::string& buffer, std::size_t size, Message& message)
{
    while (buffer.size() < size) {
        char bytes[16'384];
        const ssize_t count = recv(connection, bytes, sizeof bytes, 0);
        if (count <= 0) {
            message.end = count == 0 ? "end of stream" : std::strerror(errno);
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(count));
    }
    return true;
}

// Reads a body by its length, by its chunks, or for a response without either until the end of the connection.
inline bool readBody(int connection, std::string& buffer, Message& message, bool isResponse)
{
    if (lower(message.field("transfer-encoding")) == "chunked") {
        while (true) {
            std::size_t end;
            while ((end = buffer.find("\r\n")) == std::string::npos) {
                if (!fill(connection, buffer, buffer.size() + 1, message))
                    return false;
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            buffer.erase(0, end + 2);
            if (!fill(connection, buffer, size + 2, message))
                return false;
            message.body += buffer.substr(0, size);
            buffer.erase(0, size + 2);
            if (size == 0)
                return message.isComplete = true;
        }
    }
    if (message.fields.count("content-length")) {
        const std::size_t size = std::strtoul(message.field("content-length").c_str(), nullptr, 10);
        const bool isWhole = fill(connection, buffer, size, message);
        message.body = buffer.substr(0, size);
        buffer.erase(0, message.body.size());
        return message.isComplete = isWhole;
    }
    if (!isResponse)
        return message.isComplete = true;
    while (fill(connection, buffer, buffer.size() + 1, message)) { }
    message.body = std::exchange(buffer, {});
    return message.isComplete = message.end == "end of stream";
}

// Sends one request on a new connection and reads the response.
inline Message call(const std::string& address, int port, const std::string& text, int limitSeconds = 10)
{
    Message message;
    const int connection = connectTo(address, port);
    if (connection < 0) {
        message.end = "cannot connect";
        return message;
    }
    const timeval limit { limitSeconds, 0 };
    setsockopt(connection, SOL_SOCKET, SO_RCVTIMEO, &limit, sizeof limit);
    std::string buffer;
    if (!sendAll(connection, text))
        message.end = "cannot send";
    else if (readHeader(connection, buffer, message)) {
        message.status = message.start.size() > 12 ? std::atoi(message.start.c_str() + 9) : 0;
        readBody(connection, buffer, message, true);
    }
    close(connection);
    return message;
}

// Serves each connection in its own thread of this process.
inline void serve(int listener, std::function<void(int)> handler)
{
    std::thread([listener, handler] {
        while (true) {
            const int connection = accept4(listener, nullptr, nullptr, SOCK_CLOEXEC);
            if (connection < 0)
                return;
            std::thread([connection, handler] {
                handler(connection);
                close(connection);
            }).detach();
        }
    }).detach();
}

inline std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    return { std::istreambuf_iterator<char>(file), {} };
}

inline void writeFile(const std::string& path, const std::string& text)
{
    std::ofstream(path + ".new") << text;
    std::rename((path + ".new").c_str(), path.c_str());
}

// A child process that ends with the case.
class Process {
public:
    void start(const std::string& program, const std::string& settings, const std::string& log)
    {
        id = fork();
        if (id != 0)
            return;
        prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        dup2(output, STDOUT_FILENO);
        dup2(output, STDERR_FILENO);
        setenv("CURRANTTRAIL_CONFIG", settings.c_str(), 1);
        execl(program.c_str(), program.c_str(), nullptr);
        _exit(127);
    }

    void kill(int number)
    {
        if (id <= 0)
            return;
        ::kill(id, number);
        if (number != SIGKILL)
            return;
        waitpid(id, nullptr, 0);
        id = -1;
    }

    // Returns true if the process has ended; how tells the way.
    bool hasEnded(std::string& how)
    {
        int status = 0;
        if (id <= 0 || waitpid(id, &status, WNOHANG) != id)
            return false;
        how = WIFSIGNALED(status) ? "signal " + std::to_string(WTERMSIG(status)) : "status " + std::to_string(WEXITSTATUS(status));
        id = -1;
        return true;
    }

    pid_t id = -1;
};

struct ListedServer {
    std::string id;
    std::string service;
    std::string address;
    std::string zone;
    int slots = 8;
    std::string state = "ready";
};

// Four coordinators, three of them seeds, the platform's list, and gateways. The bounds are those of nbw-search.
class System {
public:
    static constexpr int kCoordinators = 4;
    static constexpr std::size_t kSeeds = 3;

    explicit System(int gateways)
    {
        char folderName[] = "/tmp/curranttrail-review-XXXXXX";
        m_folder = mkdtemp(folderName);
        for (int i = 0; i < kCoordinators; ++i)
            m_coordinatorAddresses.push_back("127.0.1." + std::to_string(11 + i));
        for (int i = 0; i < gateways; ++i)
            m_gatewayAddresses.push_back("127.0.1." + std::to_string(21 + i));
        std::vector<std::string> all = m_coordinatorAddresses;
        all.insert(all.end(), m_gatewayAddresses.begin(), m_gatewayAddresses.end());
        m_port = freePorts(all, 6);
        m_coordinators.resize(kCoordinators);
        m_gateways.resize(static_cast<std::size_t>(gateways));
    }

    ~System()
    {
        for (Process& process : m_gateways)
            process.kill(SIGKILL);
        for (Process& process : m_coordinators)
            process.kill(SIGKILL);
        const std::string command = "rm -rf '" + m_folder + "'";
        if (!std::getenv("KEEP") && std::system(command.c_str()) != 0)
            std::printf("cannot remove the temporary folder\n");
    }

    const std::string& folder() const { return m_folder; }
    int frontPort() const { return m_port + 3; }
    int readyPort() const { return m_port + 4; }
    int controlPort() const { return m_port + 2; }
    const std::string& gatewayAddress(int gateway) const { return m_gatewayAddresses[static_cast<std::size_t>(gateway)]; }
    const std::string& coordinatorAddress(int i) const { return m_coordinatorAddresses[static_cast<std::size_t>(i)]; }
    Process& gateway(int i) { return m_gateways[static_cast<std::size_t>(i)]; }
    Process& coordinator(int i) { return m_coordinators[static_cast<std::size_t>(i)]; }

    void setServers(std::vector<ListedServer> servers)
    {
        const std::lock_guard<std::mutex> lock(m_serversMutex);
        m_servers = std::move(servers);
    }

    bool startPlatform()
    {
        const int listener = listenOn("127.0.1.2", 0);
        if (listener < 0)
            return false;
        m_platformPort = portOf(listener);
        serve(listener, [this](int connection) { servePlatform(connection); });
        return true;
    }

    void startCoordinator(int i, bool bootstrap)
    {
        const std::string name = "core-" + std::to_string(i + 1);
        startNode(m_coordinators[static_cast<std::size_t>(i)], "coordinator", name, coordinatorAddress(i), i, bootstrap);
    }

    void startGateway(int i)
    {
        startNode(m_gateways[static_cast<std::size_t>(i)], "gateway", "front-" + std::to_string(i + 1), gatewayAddress(i), i, false);
    }

    // Sends a configuration until it is acknowledged.
    bool configure(const std::string& document, long limit = 20'000)
    {
        const long end = elapsed() + limit;
        for (int i = 0; elapsed() < end; ++i) {
            const Message answer = control("PUT", i % kCoordinators, document);
            if (answer.status == 200)
                return true;
            pause(200);
        }
        return false;
    }

    Message control(const std::string& method, int i, const std::string& document = {})
    {
        std::string address = coordinatorAddress(i);
        int port = controlPort();
        Message answer;
        for (int hop = 0; hop < 3; ++hop) {
            std::string text = method + " /curranttrail/config HTTP/1.1\r\nHost: " + address + "\r\nConnection: close\r\n";
            if (method == "PUT")
                text += "Content-Type: application/json\r\nContent-Length: " + std::to_string(document.size()) + "\r\n";
            answer = call(address, port, text + "\r\n" + document, 2);
            const std::string location = answer.field("location");
            if (answer.status != 307 || location.size() < 8)
                break;
            const std::string host = location.substr(7, location.find('/', 7) - 7);
            address = host.substr(0, host.find(':'));
            port = std::atoi(host.c_str() + host.find(':') + 1);
        }
        return answer;
    }

    bool waitUntilReady(int gateway, long limit = 20'000)
    {
        const long end = elapsed() + limit;
        while (elapsed() < end) {
            if (call(gatewayAddress(gateway), readyPort(), "GET /curranttrail/ready HTTP/1.1\r\nHost: ready\r\nConnection: close\r\n\r\n", 2).status == 200)
                return true;
            pause(100);
        }
        return false;
    }

private:
    void startNode(Process& process, const std::string& role, const std::string& name, const std::string& address, int number, bool bootstrap)
    {
        std::string text = readFile("deploy/" + role + ".toml.in");
        const auto put = [&](const std::string& tag, const std::string& value) {
            for (std::size_t at; (at = text.find(tag)) != std::string::npos;)
                text.replace(at, tag.size(), value);
        };
        std::string seeds;
        for (std::size_t i = 0; i < kSeeds; ++i)
            seeds += (seeds.empty() ? "\"" : ",\"") + m_coordinatorAddresses[i] + ":" + std::to_string(controlPort()) + "\"";
        const std::string dataFolder = m_folder + "/data-" + name;
        const std::string command = "mkdir -p '" + dataFolder + "'";
        if (std::system(command.c_str()) != 0)
            std::printf("cannot make a folder\n");
        put("{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", seeds);
        put("{{#bounds.strictRevoke}}\n\n[accounts]\nrevocation_limit = \"{{bounds.revokeMs}}ms\"\n{{/bounds.strictRevoke}}\n", "");
        put("{{nodeName}}", name);
        put("{{zone}}", "zone-" + std::to_string(number % 4 + 1));
        put("{{dataDir}}", dataFolder);
        put("{{listen.control}}", address + ":" + std::to_string(controlPort()));
        put("{{listen.front}}", address + ":" + std::to_string(frontPort()));
        put("{{listen.ready}}", address + ":" + std::to_string(readyPort()));
        put("{{ip}}", address);
        put("{{internalPortRange.0}}", std::to_string(m_port));
        put("{{internalPortRange.1}}", std::to_string(m_port + 1));
        put("{{bootstrap}}", bootstrap ? "true" : "false");
        put("{{faultTolerance.machines}}", "1");
        put("{{cloud.address}}", "127.0.1.2:" + std::to_string(m_platformPort));
        put("{{cloud.ratePerS}}", "20");
        put("{{bounds.graceS}}", "6");
        put("{{bounds.retryBudgetRatio}}", "0.2");
        put("{{bounds.retryBudgetSlack}}", "52");
        put("{{bounds.budgetWindowS}}", "10");
        const std::string settings = m_folder + "/" + name + ".toml";
        writeFile(settings, text);
        process.start("target/curranttrail-" + role, settings, m_folder + "/" + name + ".log");
    }

    void servePlatform(int connection)
    {
        std::string buffer;
        while (true) {
            Message request;
            if (!readHeader(connection, buffer, request) || !readBody(connection, buffer, request, false))
                return;
            std::string list;
            {
                const std::lock_guard<std::mutex> lock(m_serversMutex);
                const std::size_t zoneAt = request.start.find("zone=");
                const std::string zone = zoneAt == std::string::npos ? "" : request.start.substr(zoneAt + 5, request.start.find_first_of("& ", zoneAt) - zoneAt - 5);
                for (const ListedServer& it : m_servers) {
                    if (!zone.empty() && zone != it.zone)
                        continue;
                    list += std::string(list.empty() ? "" : ",") + "{\"service\":\"" + it.service + "\",\"address\":\"" + it.address + "\",\"zone\":\"" + it.zone
                        + "\",\"version\":\"v1\",\"slots\":" + std::to_string(it.slots) + ",\"state\":\"" + it.state + "\",\"coldLeftMs\":0,\"id\":\"" + it.id + "\"}";
                }
            }
            const std::string body = "{\"instances\":[" + list + "],\"nextToken\":null}";
            if (!sendAll(connection, "HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body))
                return;
        }
    }

    std::string m_folder;
    int m_port = 0;
    int m_platformPort = 0;
    std::vector<std::string> m_coordinatorAddresses;
    std::vector<std::string> m_gatewayAddresses;
    std::vector<Process> m_coordinators;
    std::vector<Process> m_gateways;
    std::mutex m_serversMutex;
    std::vector<ListedServer> m_servers;
};

} // namespace review
