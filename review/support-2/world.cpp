#include "world.h"

#include <arpa/inet.h>
#include <dirent.h>
#include <fcntl.h>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

#include <algorithm>
#include <cctype>
#include <cerrno>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>
#include <stdexcept>

namespace review {

using Clock = std::chrono::steady_clock;

namespace {
    constexpr Millis kServerReadTimeout { 60'000 };
    constexpr Millis kScenarioTimeout { 110'000 };
    constexpr std::size_t kMaximumCoordinators = 120;
    constexpr std::size_t kMaximumGateways = 4;
    constexpr std::size_t kMaximumServers = 12;
    constexpr std::uint16_t kPortsPerMachine = 6;
    constexpr const char* kLinkKey = "curranttrail link key of this deployment";

    sockaddr_in addressOf(const Endpoint& endpoint)
    {
        sockaddr_in address {};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        if (::inet_pton(AF_INET, endpoint.host.c_str(), &address.sin_addr) != 1)
            throw std::runtime_error("not an address: " + endpoint.text());
        return address;
    }

    bool isFree(const Endpoint& endpoint)
    {
        const sockaddr_in address = addressOf(endpoint);
        const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const bool free = ::bind(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) == 0;
        ::close(descriptor);
        return free;
    }

    std::uint16_t findBasePort()
    {
        std::random_device random;
        std::vector<std::string> hosts { "127.0.0.1" };
        for (std::size_t n = 0; n < kMaximumCoordinators; ++n)
            hosts.push_back("127.0.0." + std::to_string(11 + n));
        for (std::size_t n = 0; n < kMaximumGateways; ++n)
            hosts.push_back("127.0.2." + std::to_string(1 + n));
        for (std::size_t n = 0; n < kMaximumServers; ++n)
            hosts.push_back("127.0.1." + std::to_string(1 + n));
        for (int tries = 0; tries < 200; ++tries) {
            const auto base = static_cast<std::uint16_t>(12'000 + random() % 1'500 * kPortsPerMachine);
            const bool areFree = std::all_of(hosts.begin(), hosts.end(), [base](const std::string& host) {
                for (std::uint16_t n = 0; n < kPortsPerMachine; ++n) {
                    if (!isFree({ host, static_cast<std::uint16_t>(base + n) }))
                        return false;
                }
                return true;
            });
            if (areFree)
                return base;
        }
        throw std::runtime_error("no free ports on the loopback addresses");
    }

    std::string lowerCase(std::string text)
    {
        std::transform(text.begin(), text.end(), text.begin(), [](unsigned char c) { return std::tolower(c); });
        return text;
    }

    std::string trimmed(const std::string& text)
    {
        const std::size_t begin = text.find_first_not_of(" \t");
        return begin == std::string::npos ? std::string {} : text.substr(begin, text.find_last_not_of(" \t") - begin + 1);
    }

    bool receiveUntil(Socket& socket, Clock::time_point deadline)
    {
        const Millis left = std::chrono::duration_cast<Millis>(deadline - Clock::now());
        return left.count() > 0 && socket.receive(left);
    }

    bool readChunks(Socket& socket, Message& message, Clock::time_point deadline)
    {
        std::string& buffer = socket.buffer();
        for (;;) {
            std::size_t lineEnd = 0;
            while ((lineEnd = buffer.find("\r\n")) == std::string::npos) {
                if (!receiveUntil(socket, deadline))
                    return false;
            }
            const std::size_t size = std::strtoul(buffer.c_str(), nullptr, 16);
            while (buffer.size() < lineEnd + 2 + size + 2) {
                if (!receiveUntil(socket, deadline))
                    return false;
            }
            message.body += buffer.substr(lineEnd + 2, size);
            buffer.erase(0, lineEnd + 2 + size + 2);
            if (size == 0)
                return true;
        }
    }

    std::string responseText(unsigned status, const std::string& fields, const std::string& body)
    {
        return "HTTP/1.1 " + std::to_string(status) + " -\r\n" + fields + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    }
} // namespace

bool hasTrouble()
{
    const char* value = std::getenv("TROUBLE");
    return !value || std::string_view { value } != "0";
}

void sleepFor(Millis duration) { std::this_thread::sleep_for(duration); }

Record::Record(std::string path)
    : m_path(std::move(path))
{
}

void Record::add(const std::string& line)
{
    char time[32];
    const double seconds = std::chrono::duration<double>(Clock::now() - m_startedAt).count();
    std::snprintf(time, sizeof time, "%8.3f ", seconds);
    const std::lock_guard lock(m_mutex);
    m_lines.push_back(time + line);
}

void Record::write() const
{
    const std::lock_guard lock(m_mutex);
    std::ofstream file(m_path);
    for (const std::string& line : m_lines)
        file << line << '\n';
}

Socket::Socket(int descriptor)
    : m_descriptor(descriptor)
{
    const int on = 1;
    ::setsockopt(m_descriptor, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
}

Socket::~Socket() { close(); }

std::unique_ptr<Socket> Socket::connect(const Endpoint& endpoint, Millis limit)
{
    const sockaddr_in address = addressOf(endpoint);
    const int descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    if (::connect(descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 && errno != EINPROGRESS) {
        ::close(descriptor);
        return nullptr;
    }
    pollfd entry { descriptor, POLLOUT, 0 };
    int error = 0;
    socklen_t size = sizeof error;
    if (::poll(&entry, 1, static_cast<int>(limit.count())) != 1 || ::getsockopt(descriptor, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
        ::close(descriptor);
        return nullptr;
    }
    ::fcntl(descriptor, F_SETFL, ::fcntl(descriptor, F_GETFL) & ~O_NONBLOCK);
    return std::make_unique<Socket>(descriptor);
}

bool Socket::send(std::string_view bytes)
{
    while (!bytes.empty()) {
        const ssize_t n = ::send(m_descriptor, bytes.data(), bytes.size(), MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        bytes.remove_prefix(static_cast<std::size_t>(n));
    }
    return true;
}

bool Socket::receive(Millis limit)
{
    pollfd entry { m_descriptor, POLLIN, 0 };
    const int count = m_descriptor < 0 ? 0 : ::poll(&entry, 1, static_cast<int>(limit.count()));
    m_isTimedOut = count <= 0;
    if (m_isTimedOut)
        return false;
    char bytes[16'384];
    const ssize_t n = ::recv(m_descriptor, bytes, sizeof bytes, 0);
    m_isReset = n < 0;
    if (n <= 0)
        return false;
    m_buffer.append(bytes, static_cast<std::size_t>(n));
    return true;
}

std::uint16_t Socket::peerPort() const
{
    sockaddr_in address {};
    socklen_t size = sizeof address;
    ::getpeername(m_descriptor, reinterpret_cast<sockaddr*>(&address), &size);
    return ntohs(address.sin_port);
}

void Socket::reset()
{
    const linger option { 1, 0 };
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_LINGER, &option, sizeof option);
    close();
}

void Socket::close()
{
    if (m_descriptor >= 0)
        ::close(std::exchange(m_descriptor, -1));
}

std::string Message::method() const { return firstLine.substr(0, firstLine.find(' ')); }

std::string Message::path() const
{
    const std::size_t begin = firstLine.find(' ') + 1;
    return firstLine.substr(begin, firstLine.find(' ', begin) - begin);
}

unsigned Message::status() const
{
    return firstLine.size() < 12 ? 0 : static_cast<unsigned>(std::strtoul(firstLine.c_str() + 9, nullptr, 10));
}

std::string Message::field(const std::string& name) const
{
    const auto it = fields.find(name);
    return it == fields.end() ? std::string {} : it->second;
}

Message readMessage(Socket& socket, Millis limit, bool isResponse)
{
    const Clock::time_point deadline = Clock::now() + limit;
    Message message;
    std::string& buffer = socket.buffer();
    std::size_t headEnd = 0;
    while ((headEnd = buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!receiveUntil(socket, deadline))
            return message;
    }
    std::istringstream head(buffer.substr(0, headEnd));
    buffer.erase(0, headEnd + 4);
    std::string line;
    while (std::getline(head, line)) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (message.firstLine.empty())
            message.firstLine = line;
        else if (colon != std::string::npos)
            message.fields.emplace(lowerCase(line.substr(0, colon)), trimmed(line.substr(colon + 1)));
    }
    if (lowerCase(message.field("transfer-encoding")).find("chunked") != std::string::npos) {
        message.isComplete = readChunks(socket, message, deadline);
        return message;
    }
    const std::string length = message.field("content-length");
    if (length.empty() && isResponse && message.status() != 204 && message.status() != 304) {
        while (receiveUntil(socket, deadline)) { }
        message.body = std::exchange(buffer, {});
        message.isComplete = !socket.isReset() && !socket.isTimedOut();
        return message;
    }
    const std::size_t size = std::strtoul(length.c_str(), nullptr, 10);
    while (buffer.size() < size) {
        if (!receiveUntil(socket, deadline)) {
            message.body = std::exchange(buffer, {});
            return message;
        }
    }
    message.body = buffer.substr(0, size);
    buffer.erase(0, size);
    message.isComplete = true;
    return message;
}

Message exchange(const Endpoint& endpoint, const std::string& request, Millis limit)
{
    const std::unique_ptr<Socket> socket = Socket::connect(endpoint);
    if (!socket || !socket->send(request))
        return {};
    return readMessage(*socket, limit, true);
}

Listener::Listener(Endpoint endpoint, std::function<void(Socket&)> handle)
    : m_endpoint(std::move(endpoint))
    , m_handle(std::move(handle))
{
    open();
}

Listener::~Listener() { close(); }

void Listener::open()
{
    if (m_descriptor >= 0)
        return;
    const sockaddr_in address = addressOf(m_endpoint);
    m_descriptor = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    const int on = 1;
    ::setsockopt(m_descriptor, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
    if (::bind(m_descriptor, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0 || ::listen(m_descriptor, 128) != 0)
        throw std::runtime_error("cannot listen on " + m_endpoint.text());
    m_thread = std::thread([this, descriptor = m_descriptor] { run(descriptor); });
}

void Listener::close()
{
    if (m_descriptor < 0)
        return;
    ::shutdown(m_descriptor, SHUT_RDWR);
    m_thread.join();
    ::close(std::exchange(m_descriptor, -1));
}

void Listener::run(int descriptor) const
{
    for (;;) {
        const int accepted = ::accept4(descriptor, nullptr, nullptr, SOCK_CLOEXEC);
        if (accepted < 0)
            return;
        std::thread([handle = m_handle, accepted] {
            Socket socket(accepted);
            handle(socket);
        }).detach();
    }
}

ServerStandIn::ServerStandIn(std::string serverInstance, std::string serverService, std::string serverZone, Endpoint endpoint, Answer answer)
    : instance(std::move(serverInstance))
    , service(std::move(serverService))
    , zone(std::move(serverZone))
    , m_answer(std::move(answer))
{
    m_listener = std::make_unique<Listener>(std::move(endpoint), [this](Socket& socket) { serve(socket); });
}

std::string ServerStandIn::bodyOf(const std::string& service, const std::string& id)
{
    std::string body;
    for (int n = 0; n < 200; ++n)
        body += service + "/" + id + "/" + std::to_string(n) + ";";
    return body;
}

void ServerStandIn::answerNormally(ServedRequest& request)
{
    const ServerStandIn& server = request.server;
    request.socket.send(responseText(200, "X-Curranttrail-Request-Id: " + request.id + "\r\nX-Curranttrail-Server-Stamp: " + server.stamp(request.id) + "\r\n", bodyOf(server.service, request.id)));
}

std::map<std::string, unsigned> ServerStandIn::runs() const
{
    const std::lock_guard lock(m_mutex);
    return m_runs;
}

void ServerStandIn::serve(Socket& socket)
{
    for (;;) {
        const Message message = readMessage(socket, kServerReadTimeout, false);
        if (!message.isComplete)
            return;
        if (isCutOff && isCutOff(socket)) {
            socket.reset();
            return;
        }
        const std::string id = message.field("x-curranttrail-request-id");
        if (message.path() == "/health") {
            socket.send(responseText(isDraining ? 503 : 200, "X-Curranttrail-Instance-Id: " + instance + "\r\n", {}));
            continue;
        }
        if (const std::string expected = message.field("x-curranttrail-expect-instance"); !expected.empty() && expected != instance) {
            socket.send(responseText(421, "X-Curranttrail-Not-Executed: 1\r\nX-Curranttrail-Request-Id: " + id + "\r\n", {}));
            continue;
        }
        if (id.empty()) {
            socket.send(responseText(400, "X-Curranttrail-Not-Executed: 1\r\n", {}));
            continue;
        }
        {
            const std::lock_guard lock(m_mutex);
            ++m_runs[id];
        }
        ServedRequest request { *this, socket, message, id };
        m_answer(request);
    }
}

PlatformStandIn::PlatformStandIn(Endpoint endpoint, const std::vector<std::unique_ptr<ServerStandIn>>& servers)
    : m_servers(servers)
    , m_listener(std::move(endpoint), [this](Socket& socket) {
        for (;;) {
            const Message message = readMessage(socket, kServerReadTimeout, false);
            if (!message.isComplete || !socket.send(responseText(200, "Content-Type: application/json\r\n", page())))
                return;
        }
    })
{
}

std::string PlatformStandIn::page() const
{
    std::string entries;
    for (const std::unique_ptr<ServerStandIn>& server : m_servers) {
        entries += std::string { entries.empty() ? "" : "," } + R"({"id":")" + server->instance + R"(","service":")" + server->service + R"(","address":")" + server->listener().endpoint().text() + R"(","zone":")" + server->zone
            + R"(","version":"v1","slots":2,"state":")" + (server->isDraining ? "draining" : "ready") + R"(","coldLeftMs":0})";
    }
    return R"({"instances":[)" + entries + R"(],"nextToken":null})";
}

Process::Process(std::string name, std::string program, std::string settingsFile, std::string logFile)
    : m_name(std::move(name))
    , m_program(std::move(program))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

Process::~Process()
{
    if (m_id < 0)
        return;
    ::kill(m_id, SIGCONT);
    kill();
}

void Process::start()
{
    const std::string variable = "CURRANTTRAIL_CONFIG=" + m_settingsFile;
    const std::string path = std::string { "PATH=" } + (std::getenv("PATH") ? std::getenv("PATH") : "/usr/bin:/bin");
    m_isEndExpected = false;
    m_id = ::fork();
    if (m_id < 0)
        throw std::runtime_error("cannot fork");
    if (m_id > 0)
        return;
    // No process outlives the scenario.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND | O_CLOEXEC, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const char* arguments[] = { m_program.c_str(), nullptr };
    const char* environment[] = { variable.c_str(), path.c_str(), nullptr };
    ::execve(m_program.c_str(), const_cast<char* const*>(arguments), const_cast<char* const*>(environment));
    ::_exit(127);
}

void Process::signal(int number)
{
    m_isEndExpected = m_isEndExpected || number == SIGTERM;
    if (m_id > 0)
        ::kill(m_id, number);
}

void Process::kill()
{
    if (!isRunning())
        return;
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
    m_id = -1;
}

bool Process::isRunning()
{
    int status = 0;
    if (m_id > 0 && ::waitpid(m_id, &status, WNOHANG) == m_id) {
        m_id = -1;
        if (m_isEndExpected && WIFEXITED(status) && WEXITSTATUS(status) == 0)
            return false;
        m_unexpectedEnd = m_name + (WIFSIGNALED(status) ? " ended by signal " + std::to_string(WTERMSIG(status)) : " ended with status " + std::to_string(WEXITSTATUS(status)));
    }
    return m_id > 0;
}

bool Process::holdsPort(std::uint16_t port) const
{
    std::set<std::string> inodes;
    std::ifstream table("/proc/net/tcp");
    std::string line;
    while (std::getline(table, line)) {
        std::istringstream columns(line);
        std::string number, local, remote, state, queues, timer, retransmits, user, timeout, inode;
        columns >> number >> local >> remote >> state >> queues >> timer >> retransmits >> user >> timeout >> inode;
        const std::size_t colon = local.find(':');
        if (colon != std::string::npos && std::strtoul(local.c_str() + colon + 1, nullptr, 16) == port)
            inodes.insert("socket:[" + inode + "]");
    }
    std::error_code ec;
    for (const auto& entry : std::filesystem::directory_iterator("/proc/" + std::to_string(m_id) + "/fd", ec)) {
        if (inodes.contains(std::filesystem::read_symlink(entry.path(), ec).string()))
            return true;
    }
    return false;
}

World::World(std::string folder, WorldOptions options)
    : record(std::getenv("RECORD") ? std::getenv("RECORD") : folder + "/record.txt")
    , m_folder(std::move(folder))
    , m_options(options)
    , m_basePort(findBasePort())
{
    for (std::size_t n = 0; n < options.coordinators + options.spareCoordinators; ++n) {
        const std::string path = m_folder + "/coordinator-" + std::to_string(n);
        coordinators.push_back(std::make_unique<Process>("coordinator " + std::to_string(n), "target/curranttrail-coordinator", path + ".toml", path + ".log"));
        std::filesystem::create_directories(dataFolder(n));
    }
    for (std::size_t n = 0; n < options.gateways; ++n) {
        const std::string path = m_folder + "/gateway-" + std::to_string(n);
        gateways.push_back(std::make_unique<Process>("gateway " + std::to_string(n), "target/curranttrail-gateway", path + ".toml", path + ".log"));
    }
}

World::~World() = default;

ServerStandIn& World::addServer(const std::string& service, const ServerStandIn::Answer& answer)
{
    const std::size_t n = servers.size();
    servers.push_back(std::make_unique<ServerStandIn>("i-" + std::to_string(n), service, n % 2 == 0 ? "zone-a" : "zone-b", Endpoint { "127.0.1." + std::to_string(1 + n), m_basePort }, answer));
    return *servers.back();
}

void World::startPlatform() { m_platform = std::make_unique<PlatformStandIn>(Endpoint { "127.0.0.1", m_basePort }, servers); }

Endpoint World::control(std::size_t n) const { return { "127.0.0." + std::to_string(11 + n), static_cast<std::uint16_t>(m_basePort + 1) }; }
Endpoint World::callers(std::size_t n) const { return { "127.0.2." + std::to_string(1 + n), static_cast<std::uint16_t>(m_basePort + 1) }; }
Endpoint World::ready(std::size_t n) const { return { "127.0.2." + std::to_string(1 + n), static_cast<std::uint16_t>(m_basePort + 2) }; }
std::string World::dataFolder(std::size_t coordinator) const { return m_folder + "/data-" + std::to_string(coordinator); }

std::string World::seeds() const
{
    std::string text;
    for (const std::size_t seed : m_seeds)
        text += std::string { text.empty() ? "" : "," } + "\"" + control(seed).text() + "\"";
    return text;
}

// The result of deploy/coordinator.toml.in.
void World::writeCoordinator(std::size_t n, bool bootstrap) const
{
    const std::string host = control(n).host;
    std::ofstream(m_folder + "/coordinator-" + std::to_string(n) + ".toml")
        << "name = \"core-" << n << "\"\ndata_centre = \"zone-"
        << "abc"[n % 3] << "\"\ndata_folder = \"" << dataFolder(n) << "\"\nhttp = \"" << control(n).text()
        << "\"\nmetrics = \"" << host << ":" << m_basePort + 4 << "\"\n\n[group]\naddress = \"" << host << ":" << m_basePort + 3 << "\"\nseeds = [" << seeds() << "]\ngroup_port = " << m_basePort + 3
        << "\nlink_key = \"" << kLinkKey << "\"\nbootstrap = " << (bootstrap ? "true" : "false") << "\nlost_disks = 1\n\n[server_list]\naddress = \"127.0.0.1:" << m_basePort << "\"\ncalls_per_second = 46.0\n";
}

// The result of deploy/gateway.toml.in.
void World::writeGateway(std::size_t n) const
{
    const std::string host = callers(n).host;
    std::ofstream(m_folder + "/gateway-" + std::to_string(n) + ".toml")
        << "name = \"front-" << n << "\"\ndata_centre = \"zone-a\"\ncallers = \"" << callers(n).text() << "\"\nready = \"" << ready(n).text() << "\"\nmetrics = \"" << host << ":" << m_basePort + 4
        << "\"\nrelay = \"" << host << ":" << m_basePort + 3 << "\"\ngrace = \"6s\"\n\n[group]\nseeds = [" << seeds() << "]\ngroup_port = " << m_basePort + 3 << "\nlink_key = \"" << kLinkKey
        << "\"\n\n[repeats]\nratio = 0.2\nallowance = 52\nwindow = \"10s\"\n";
}

void World::startAll()
{
    for (std::size_t n = 0; n < m_options.coordinators; ++n) {
        writeCoordinator(n, true);
        coordinators[n]->start();
    }
    for (std::size_t n = 0; n < gateways.size(); ++n) {
        writeGateway(n);
        gateways[n]->start();
    }
    record.add("all processes started");
}

Message World::order(std::size_t coordinator, const std::string& method, const std::string& path, const std::string& body, Millis limit)
{
    Endpoint endpoint = control(coordinator);
    std::string target = path;
    Message response;
    for (int redirects = 0; redirects <= 2; ++redirects) {
        response = exchange(endpoint, method + " " + target + " HTTP/1.1\r\nHost: " + endpoint.text() + "\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body, limit);
        const std::string location = response.field("location");
        if (response.status() != 307 || !location.starts_with("http://"))
            break;
        const std::size_t slash = location.find('/', 7);
        const std::string address = location.substr(7, slash - 7);
        const std::size_t colon = address.find(':');
        endpoint = { address.substr(0, colon), static_cast<std::uint16_t>(std::strtoul(address.c_str() + colon + 1, nullptr, 10)) };
        target = location.substr(slash);
    }
    return response;
}

bool World::configure(const std::string& body, Millis limit)
{
    const Clock::time_point deadline = Clock::now() + limit;
    unsigned lastStatus = 1;
    for (std::size_t n = 0; Clock::now() < deadline; ++n) {
        const Message response = order(n % m_options.coordinators, "PUT", "/curranttrail/config", body);
        if (response.status() != lastStatus) {
            lastStatus = response.status();
            record.add("PUT configuration at coordinator " + std::to_string(n % m_options.coordinators) + ": " + (lastStatus == 0 ? "no response" : std::to_string(lastStatus)) + " " + response.body.substr(0, 160));
        }
        if (response.status() == 200)
            return true;
        sleepFor(Millis { 200 });
    }
    return false;
}

bool World::waitUntilServed(std::size_t gateway, const std::string& path, Millis limit)
{
    const Clock::time_point deadline = Clock::now() + limit;
    for (int n = 0; Clock::now() < deadline; ++n) {
        if (exchange(callers(gateway), requestText("GET", path, "first-" + std::to_string(gateway) + "-" + std::to_string(n), 1'000), Millis { 1'500 }).status() == 200)
            return true;
        sleepFor(Millis { 100 });
    }
    return false;
}

std::string World::requestText(const std::string& method, const std::string& path, const std::string& id, int deadlineMs, const std::string& body) const
{
    const std::string length = body.empty() ? std::string {} : "Content-Length: " + std::to_string(body.size()) + "\r\n";
    return method + " " + path + " HTTP/1.1\r\nHost: site.example\r\nX-Curranttrail-Request-Id: " + id + "\r\nX-Curranttrail-Deadline-Ms: " + std::to_string(deadlineMs) + "\r\n" + length + "\r\n" + body;
}

int runScenario(int argc, char** argv, WorldOptions options, const std::function<int(World&)>& scenario)
{
    if (argc != 2) {
        std::fprintf(stderr, "usage: %s FOLDER\n", argv[0]);
        return 2;
    }
    ::signal(SIGPIPE, SIG_IGN);
    int result = 2;
    try {
        World world(argv[1], options);
        world.record.add(hasTrouble() ? "with the disruption" : "without the disruption");
        std::thread([&world] {
            sleepFor(kScenarioTimeout);
            world.record.add("cannot run: the time limit was reached");
            world.record.write();
            std::_Exit(2);
        }).detach();
        try {
            result = scenario(world);
        } catch (const std::exception& error) {
            world.record.add(std::string { "cannot run: " } + error.what());
        }
        for (auto* group : { &world.coordinators, &world.gateways }) {
            for (const std::unique_ptr<Process>& process : *group) {
                process->isRunning();
                if (!process->unexpectedEnd().empty())
                    world.record.add(process->unexpectedEnd());
                process->signal(SIGCONT);
                process->kill();
            }
        }
        world.record.add("result " + std::to_string(result));
        world.record.write();
        std::fflush(nullptr);
        // Threads of the stand-ins may still wait for bytes.
        std::_Exit(result);
    } catch (const std::exception& error) {
        std::fprintf(stderr, "%s\n", error.what());
    }
    return 2;
}

} // namespace review
