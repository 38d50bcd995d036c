#include "scenario.h"

#include <algorithm>
#include <arpa/inet.h>
#include <cerrno>
#include <csignal>
#include <cstdarg>
#include <cstdio>
#include <cstdlib>
#include <cstring>
#include <fcntl.h>
#include <filesystem>
#include <iostream>
#include <netinet/in.h>
#include <netinet/tcp.h>
#include <poll.h>
#include <random>
#include <sstream>
#include <strings.h>
#include <sys/prctl.h>
#include <sys/socket.h>
#include <sys/wait.h>
#include <unistd.h>

namespace review {

namespace {

    constexpr std::uint16_t kFirstPort = 20'000;
    constexpr unsigned kPortGroups = 1'000;
    // The list, control, callers, readiness, group and metrics.
    constexpr unsigned kPortsPerGroup = 6;
    // Addresses of replacements are checked as well.
    constexpr std::size_t kSpareCoordinators = 3;
    constexpr std::size_t kMaximumServers = 12;
    constexpr Millis kIdleTimeout { 15'000 };

    sockaddr_in endpointOf(const Address& address)
    {
        sockaddr_in endpoint {};
        endpoint.sin_family = AF_INET;
        endpoint.sin_port = htons(address.port);
        ::inet_pton(AF_INET, address.ip.c_str(), &endpoint.sin_addr);
        return endpoint;
    }

    int listenAt(const Address& address)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const int on = 1;
        ::setsockopt(socket, SOL_SOCKET, SO_REUSEADDR, &on, sizeof on);
        const sockaddr_in endpoint = endpointOf(address);
        if (::bind(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0 || ::listen(socket, 256) != 0)
            throw SetupError { "cannot listen on " + address.text() };
        return socket;
    }

    bool isFree(const Address& address)
    {
        const int socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        const sockaddr_in endpoint = endpointOf(address);
        const bool isBound = ::bind(socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) == 0;
        ::close(socket);
        return isBound;
    }

    int remaining(Clock::time_point until)
    {
        return static_cast<int>(std::max<std::int64_t>(0, std::chrono::duration_cast<Millis>(until - Clock::now()).count()));
    }

    // Accepts connections until the flag is set, and serves each in a thread of its own.
    template <typename Serve>
    void acceptAll(int socket, const std::atomic<bool>& stopping, std::atomic<unsigned>& connections, Serve serve)
    {
        while (!stopping) {
            pollfd entry { socket, POLLIN, 0 };
            if (::poll(&entry, 1, 50) <= 0)
                continue;
            const int accepted = ::accept4(socket, nullptr, nullptr, SOCK_CLOEXEC);
            if (accepted < 0)
                continue;
            const int on = 1;
            ::setsockopt(accepted, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
            ++connections;
            std::thread([connection = std::make_shared<Connection>(accepted), &connections, serve] {
                serve(connection);
                connection->close();
                --connections;
            }).detach();
        }
    }

    void replaceAll(std::string& text, const std::string& from, const std::string& to)
    {
        for (std::size_t n = text.find(from); n != std::string::npos; n = text.find(from, n + to.size()))
            text.replace(n, from.size(), to);
    }

} // namespace

Record::Record(const std::string& path)
    : m_file(path, std::ios::trunc)
{
}

std::int64_t Record::elapsed() const { return std::chrono::duration_cast<Millis>(Clock::now() - m_start).count(); }

void Record::add(const std::string& text)
{
    const std::lock_guard lock(m_mutex);
    m_file << format("%7lld ms  ", static_cast<long long>(elapsed())) << text << std::endl;
}

std::string format(const char* pattern, ...)
{
    char text[4096];
    va_list arguments;
    va_start(arguments, pattern);
    std::vsnprintf(text, sizeof text, pattern, arguments);
    va_end(arguments);
    return text;
}

bool hasHeader(const Headers& headers, const std::string& name)
{
    return std::any_of(headers.begin(), headers.end(), [&](const auto& header) { return ::strcasecmp(header.first.c_str(), name.c_str()) == 0; });
}

std::string headerOf(const Headers& headers, const std::string& name)
{
    for (const auto& [key, value] : headers) {
        if (::strcasecmp(key.c_str(), name.c_str()) == 0)
            return value;
    }
    return {};
}

bool Connection::connect(const Address& address, Millis limit)
{
    close();
    buffer.clear();
    ended = false;
    m_socket = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC | SOCK_NONBLOCK, 0);
    const int on = 1;
    ::setsockopt(m_socket, IPPROTO_TCP, TCP_NODELAY, &on, sizeof on);
    const sockaddr_in endpoint = endpointOf(address);
    if (::connect(m_socket, reinterpret_cast<const sockaddr*>(&endpoint), sizeof endpoint) != 0) {
        pollfd entry { m_socket, POLLOUT, 0 };
        int error = errno;
        socklen_t size = sizeof error;
        if (error != EINPROGRESS || ::poll(&entry, 1, static_cast<int>(limit.count())) <= 0 || ::getsockopt(m_socket, SOL_SOCKET, SO_ERROR, &error, &size) != 0 || error != 0) {
            close();
            return false;
        }
    }
    ::fcntl(m_socket, F_SETFL, ::fcntl(m_socket, F_GETFL) & ~O_NONBLOCK);
    return true;
}

bool Connection::send(const std::string& bytes)
{
    std::size_t sent = 0;
    while (sent < bytes.size()) {
        const ssize_t n = ::send(m_socket, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
        if (n <= 0)
            return false;
        sent += static_cast<std::size_t>(n);
    }
    return true;
}

bool Connection::fill(std::size_t size, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    while (buffer.size() < size) {
        pollfd entry { m_socket, POLLIN, 0 };
        if (m_socket < 0 || ::poll(&entry, 1, remaining(until)) <= 0)
            return false;
        char bytes[16'384];
        const ssize_t n = ::recv(m_socket, bytes, sizeof bytes, 0);
        if (n <= 0) {
            ended = true;
            return false;
        }
        buffer.append(bytes, static_cast<std::size_t>(n));
    }
    return true;
}

bool Connection::isClosedByPeer()
{
    pollfd entry { m_socket, POLLIN | POLLRDHUP, 0 };
    return m_socket < 0 || (::poll(&entry, 1, 0) > 0 && (entry.revents & (POLLRDHUP | POLLHUP | POLLERR)));
}

void Connection::close()
{
    if (m_socket >= 0)
        ::close(m_socket);
    m_socket = -1;
}

std::optional<Message> readMessage(Connection& connection, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    std::size_t end = std::string::npos;
    while ((end = connection.buffer.find("\r\n\r\n")) == std::string::npos) {
        if (!connection.fill(connection.buffer.size() + 1, Millis { remaining(until) }))
            return std::nullopt;
    }
    Message message;
    std::istringstream head(connection.buffer.substr(0, end + 2));
    std::getline(head, message.line);
    if (!message.line.empty() && message.line.back() == '\r')
        message.line.pop_back();
    for (std::string line; std::getline(head, line);) {
        if (!line.empty() && line.back() == '\r')
            line.pop_back();
        const std::size_t colon = line.find(':');
        if (colon == std::string::npos)
            continue;
        std::string value = line.substr(colon + 1);
        value.erase(0, value.find_first_not_of(' '));
        message.headers.emplace_back(line.substr(0, colon), value);
    }
    const std::string length = headerOf(message.headers, "Content-Length");
    const std::size_t size = length.empty() ? 0 : std::strtoul(length.c_str(), nullptr, 10);
    if (!connection.fill(end + 4 + size, Millis { remaining(until) }))
        return std::nullopt;
    message.body = connection.buffer.substr(end + 4, size);
    connection.buffer.erase(0, end + 4 + size);
    return message;
}

Process::Process(std::string name, std::string command, std::string settingsFile, std::string logFile)
    : m_name(std::move(name))
    , m_command(std::move(command))
    , m_settingsFile(std::move(settingsFile))
    , m_logFile(std::move(logFile))
{
}

Process::~Process()
{
    if (!isRunning())
        return;
    ::kill(m_id, SIGCONT);
    ::kill(m_id, SIGKILL);
    ::waitpid(m_id, nullptr, 0);
}

void Process::start()
{
    if (isRunning())
        return;
    const std::string settings = "CURRANTTRAIL_CONFIG=" + m_settingsFile;
    const char* path = std::getenv("PATH");
    const std::string pathVariable = std::string { "PATH=" } + (path ? path : "/usr/bin:/bin");
    m_id = ::fork();
    if (m_id < 0)
        throw SetupError { "cannot start a process" };
    if (m_id > 0)
        return;
    // Ends with the scenario, also if that is killed.
    ::prctl(PR_SET_PDEATHSIG, SIGKILL);
    const int log = ::open(m_logFile.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
    ::dup2(log, STDOUT_FILENO);
    ::dup2(log, STDERR_FILENO);
    const char* environment[] { settings.c_str(), pathVariable.c_str(), nullptr };
    ::execle(m_command.c_str(), m_command.c_str(), nullptr, environment);
    ::_exit(127);
}

void Process::signal(int number)
{
    if (isRunning())
        ::kill(m_id, number);
}

bool Process::isRunning()
{
    if (m_id >= 0 && ::waitpid(m_id, nullptr, WNOHANG) == m_id)
        m_id = -1;
    return m_id >= 0;
}

bool Process::waitForExit(Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    while (isRunning()) {
        if (Clock::now() > until)
            return false;
        sleepFor(Millis { 5 });
    }
    return true;
}

Server::Server(Options options, Record& record)
    : m_options(std::move(options))
    , m_record(record)
    , m_work(m_options.work.count())
    , m_socket(listenAt(m_options.address))
    , m_acceptor([this] { accept(); })
{
}

Server::~Server()
{
    m_stopping = true;
    m_changed.notify_all();
    m_acceptor.join();
    ::close(m_socket);
    while (m_connections > 0)
        sleepFor(Millis { 5 });
}

std::vector<Arrival> Server::arrivals() const
{
    const std::lock_guard lock(m_mutex);
    return m_arrivals;
}

void Server::accept()
{
    acceptAll(m_socket, m_stopping, m_connections, [this](const std::shared_ptr<Connection>& connection) { serve(connection); });
}

void Server::serve(const std::shared_ptr<Connection>& connection)
{
    Clock::time_point idleSince = Clock::now();
    while (!m_stopping && Clock::now() - idleSince < kIdleTimeout) {
        if (!connection->fill(connection->buffer.size() + 1, Millis { 50 })) {
            if (connection->ended)
                return;
            continue;
        }
        const std::optional<Message> request = readMessage(*connection, Millis { 3'000 });
        if (!request || !handle(*connection, *request))
            return;
        idleSince = Clock::now();
    }
}

// Waits for a slot. Returns false if the connection closes meanwhile.
bool Server::takeSlot(Connection& connection)
{
    std::unique_lock lock(m_mutex);
    ++m_waiting;
    while (m_running >= m_options.slots) {
        m_changed.wait_for(lock, Millis { 5 });
        if (m_stopping || connection.isClosedByPeer()) {
            --m_waiting;
            return false;
        }
    }
    --m_waiting;
    ++m_running;
    return true;
}

bool Server::handle(Connection& connection, const Message& request)
{
    const std::string id = headerOf(request.headers, "X-Curranttrail-Request-Id");
    const std::string expected = headerOf(request.headers, "X-Curranttrail-Expect-Instance");
    const std::string echo = "X-Curranttrail-Request-Id: " + id + "\r\n";
    std::size_t arrival = 0;
    bool isFull = false;
    {
        const std::lock_guard lock(m_mutex);
        arrival = m_arrivals.size();
        m_arrivals.push_back({ m_options.id, id, request.line, m_record.elapsed(), false });
        isFull = m_running >= m_options.slots && m_waiting >= m_options.queue;
    }
    if (!expected.empty() && expected != m_options.id)
        return connection.send("HTTP/1.1 421 Misdirected Request\r\n" + echo + "X-Curranttrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    m_record.add(format("server %s gets request %s (%s), deadline %s ms", m_options.id.c_str(), id.c_str(), request.line.c_str(), headerOf(request.headers, "X-Curranttrail-Deadline-Ms").c_str()));
    if (isFull)
        return connection.send("HTTP/1.1 503 Service Unavailable\r\n" + echo + "X-Curranttrail-Not-Executed: 1\r\nContent-Length: 0\r\n\r\n");
    if (!takeSlot(connection)) {
        m_record.add(format("server %s drops request %s from its queue: the connection closed", m_options.id.c_str(), id.c_str()));
        return false;
    }
    {
        const std::lock_guard lock(m_mutex);
        m_arrivals[arrival].ran = true;
    }
    m_record.add(format("server %s runs request %s", m_options.id.c_str(), id.c_str()));
    const Clock::time_point until = Clock::now() + Millis { m_work.load() };
    bool isClosed = false;
    while (Clock::now() < until && !m_stopping && !(isClosed = connection.isClosedByPeer()))
        std::this_thread::sleep_for(std::min<Clock::duration>(until - Clock::now(), Millis { 5 }));
    std::string load;
    {
        const std::lock_guard lock(m_mutex);
        load = format("%u,%u,%u", m_running, m_waiting, m_options.slots);
        --m_running;
    }
    m_changed.notify_all();
    if (isClosed) {
        m_record.add(format("server %s drops request %s while it runs: the connection closed", m_options.id.c_str(), id.c_str()));
        return false;
    }
    const bool isLeaving = m_isLeaving;
    std::string body;
    while (body.size() < m_options.bodyBytes)
        body += m_options.service + "|" + id + "\n";
    m_record.add(format("server %s answers request %s", m_options.id.c_str(), id.c_str()));
    const bool isSent = connection.send("HTTP/1.1 200 OK\r\n" + echo + "X-Curranttrail-Server-Stamp: " + m_options.id + "." + id + "\r\nX-Curranttrail-Server-Load: " + load
        + "\r\nContent-Length: " + std::to_string(body.size()) + "\r\n" + (isLeaving ? "Connection: close\r\n" : "") + "\r\n" + body);
    return isSent && !isLeaving;
}

ServerList::ServerList(const Address& address, Record& record)
    : m_record(record)
    , m_socket(listenAt(address))
    , m_acceptor([this] { accept(); })
{
}

ServerList::~ServerList()
{
    m_stopping = true;
    m_acceptor.join();
    ::close(m_socket);
    while (m_connections > 0)
        sleepFor(Millis { 5 });
}

void ServerList::set(const ListEntry& entry)
{
    m_record.add(format("the list shows server %s of %s as %s", entry.id.c_str(), entry.service.c_str(), entry.state.c_str()));
    const std::lock_guard lock(m_mutex);
    m_entries[entry.id] = entry;
}

void ServerList::setForeignEntry(const std::string& bytes)
{
    const std::lock_guard lock(m_mutex);
    m_foreignEntry = bytes;
}

std::string ServerList::body() const
{
    const std::lock_guard lock(m_mutex);
    std::string text;
    for (const auto& [id, entry] : m_entries) {
        text += format("%s{\"id\":\"%s\",\"service\":\"%s\",\"address\":\"%s\",\"zone\":\"%s\",\"version\":\"v1\",\"slots\":%u,\"state\":\"%s\",\"coldLeftMs\":0}", text.empty() ? "" : ",", id.c_str(), entry.service.c_str(),
            entry.address.c_str(), entry.zone.c_str(), entry.slots, entry.state.c_str());
    }
    if (!m_foreignEntry.empty())
        text += (text.empty() ? "" : ",") + m_foreignEntry;
    return "{\"instances\":[" + text + "],\"nextToken\":null}";
}

void ServerList::accept()
{
    acceptAll(m_socket, m_stopping, m_connections, [this](const std::shared_ptr<Connection>& connection) {
        while (!m_stopping) {
            if (!connection->fill(connection->buffer.size() + 1, Millis { 50 })) {
                if (connection->ended)
                    return;
                continue;
            }
            if (!readMessage(*connection, Millis { 1'000 }))
                return;
            const std::string text = body();
            if (!connection->send("HTTP/1.1 200 OK\r\nContent-Type: application/json\r\nContent-Length: " + std::to_string(text.size()) + "\r\n\r\n" + text))
                return;
            ++m_calls;
        }
    });
}

System::System(const std::string& root, SystemOptions options, Record& record)
    : m_root(root)
    , m_options(options)
    , m_record(record)
{
    char folder[] = "/tmp/curranttrail-review-XXXXXX";
    if (!::mkdtemp(folder))
        throw SetupError { "cannot create a temporary folder" };
    m_folder = folder;
    for (const char* program : { "target/curranttrail-coordinator", "target/curranttrail-gateway" }) {
        if (::access((root + "/" + program).c_str(), X_OK) != 0)
            throw SetupError { std::string { program } + " is not built" };
    }
    std::vector<std::string> ips { "127.0.0.1", "127.0.0.2" };
    for (std::size_t n = 0; n < m_options.coordinators + kSpareCoordinators; ++n)
        ips.push_back(coordinatorIp(n));
    for (std::size_t n = 0; n < m_options.gateways; ++n)
        ips.push_back(gatewayIp(n));
    for (std::size_t n = 0; n < kMaximumServers; ++n)
        ips.push_back(format("127.0.1.%zu", n + 1));
    std::random_device device;
    for (int tries = 0; tries < 200 && m_basePort == 0; ++tries) {
        const std::uint16_t base = static_cast<std::uint16_t>(kFirstPort + device() % kPortGroups * kPortsPerGroup);
        const bool areFree = std::all_of(ips.begin(), ips.end(), [&](const std::string& ip) {
            for (unsigned n = 0; n < kPortsPerGroup; ++n) {
                if (!isFree({ ip, static_cast<std::uint16_t>(base + n) }))
                    return false;
            }
            return true;
        });
        m_basePort = areFree ? base : 0;
    }
    if (m_basePort == 0)
        throw SetupError { "no free ports" };
    m_listAddress = listAddress();
    std::vector<std::size_t> seeds;
    for (std::size_t n = 0; n < std::min<std::size_t>(m_options.coordinators, 3); ++n)
        seeds.push_back(n);
    for (std::size_t n = 0; n < m_options.coordinators; ++n)
        writeCoordinator(n, true, seeds);
    for (std::size_t n = 0; n < m_options.gateways; ++n)
        writeGateway(n, seeds);
}

System::~System()
{
    endAll();
    std::filesystem::remove_all(m_folder);
}

void System::endAll()
{
    m_gateways.clear();
    m_coordinators.clear();
}

// Fills in a template of the deploy file as the platform does, as far as the project's templates need it.
std::string System::fill(const std::string& templateFile, const std::map<std::string, std::string>& values, const std::vector<std::size_t>& seeds) const
{
    std::ifstream in(m_root + "/" + templateFile);
    std::string text { std::istreambuf_iterator<char>(in), {} };
    if (text.empty())
        throw SetupError { "cannot read " + templateFile };
    std::string list;
    for (const std::size_t seed : seeds)
        list += (list.empty() ? "\"" : ",\"") + controlAddress(seed).text() + "\"";
    replaceAll(text, "{{#seeds}}\"{{.}}\"{{,}}{{/seeds}}", list);
    for (const auto& [name, value] : values)
        replaceAll(text, "{{" + name + "}}", value);
    if (text.find("{{") != std::string::npos)
        throw SetupError { templateFile + " has a placeholder that is not known here" };
    return text;
}

void System::writeCoordinator(std::size_t n, bool bootstrap, const std::vector<std::size_t>& seeds)
{
    const std::string name = format("core-z%zu-%zu", n % 3, n);
    const std::string file = format("%s/coordinator-%zu.toml", m_folder.c_str(), n);
    std::ofstream(file) << fill("deploy/coordinator.toml.in",
        { { "nodeName", name }, { "zone", format("z%zu", n % 3) }, { "dataDir", dataFolder(n) }, { "listen.control", controlAddress(n).text() }, { "ip", coordinatorIp(n) },
            { "internalPortRange.0", std::to_string(m_basePort + 4) }, { "internalPortRange.1", std::to_string(m_basePort + 5) }, { "bootstrap", bootstrap ? "true" : "false" },
            { "faultTolerance.machines", std::to_string(m_options.toleratedMachines) }, { "cloud.address", m_listAddress.text() }, { "cloud.ratePerS", "46.0" } },
        seeds);
    if (n < m_coordinators.size())
        return;
    std::filesystem::create_directories(dataFolder(n));
    m_coordinators.push_back(std::make_unique<Process>(name, m_root + "/target/curranttrail-coordinator", file, format("%s/coordinator-%zu.log", m_folder.c_str(), n)));
}

void System::writeGateway(std::size_t n, const std::vector<std::size_t>& seeds)
{
    const std::string name = format("front-z%zu-%zu", n % 3, n);
    const std::string file = format("%s/gateway-%zu.toml", m_folder.c_str(), n);
    std::ofstream(file) << fill("deploy/gateway.toml.in",
        { { "nodeName", name }, { "zone", format("z%zu", n % 3) }, { "listen.front", frontAddress(n).text() }, { "listen.ready", readyAddress(n).text() }, { "ip", gatewayIp(n) },
            { "internalPortRange.0", std::to_string(m_basePort + 4) }, { "internalPortRange.1", std::to_string(m_basePort + 5) }, { "bounds.graceS", std::to_string(m_options.graceS) },
            { "bounds.retryBudgetRatio", format("%g", m_options.retryBudgetRatio) }, { "bounds.retryBudgetSlack", std::to_string(m_options.retryBudgetSlack) },
            { "bounds.budgetWindowS", std::to_string(m_options.budgetWindowS) } },
        seeds);
    m_gateways.push_back(std::make_unique<Process>(name, m_root + "/target/curranttrail-gateway", file, format("%s/gateway-%zu.log", m_folder.c_str(), n)));
}

void System::startAll()
{
    for (const std::unique_ptr<Process>& process : m_coordinators)
        process->start();
    for (const std::unique_ptr<Process>& process : m_gateways)
        process->start();
    m_record.add(format("started %zu coordinators and %zu gateways", m_coordinators.size(), m_gateways.size()));
}

std::optional<Message> System::call(std::size_t coordinator, const std::string& method, const std::string& body)
{
    Address address = controlAddress(coordinator);
    // Callers follow a redirect twice.
    for (int redirects = 0; redirects <= 2; ++redirects) {
        Connection connection;
        if (!connection.connect(address, Millis { 500 }))
            return std::nullopt;
        connection.send(format("%s /curranttrail/config HTTP/1.1\r\nHost: %s\r\nContent-Type: application/json\r\nContent-Length: %zu\r\n\r\n", method.c_str(), address.text().c_str(), body.size()) + body);
        std::optional<Message> response = readMessage(connection, Millis { 1'000 });
        if (!response || response->status() != 307)
            return response;
        const std::string location = headerOf(response->headers, "Location");
        const std::size_t host = location.find("//") + 2;
        const std::size_t colon = location.find(':', host);
        if (location.empty() || colon == std::string::npos)
            return response;
        address = { location.substr(host, colon - host), static_cast<std::uint16_t>(std::atoi(location.c_str() + colon + 1)) };
    }
    return std::nullopt;
}

bool System::putConfiguration(const std::string& document, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    for (std::size_t n = 0; Clock::now() < until; ++n) {
        const std::size_t coordinator = n % m_coordinators.size();
        if (const std::optional<Message> response = call(coordinator, "PUT", document)) {
            if (response->status() == 200)
                return true;
            if (n < 2 * m_coordinators.size())
                m_record.add(format("coordinator %zu answers the new configuration with %d", coordinator, response->status()));
        }
        sleepFor(Millis { 100 });
    }
    return false;
}

std::optional<std::string> System::readConfiguration(Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    for (std::size_t n = 0; Clock::now() < until; ++n) {
        const std::size_t coordinator = n % m_coordinators.size();
        const std::optional<Message> response = call(coordinator, "GET", {});
        if (response && response->status() == 200)
            return response->body;
        if (n < 2 * m_coordinators.size())
            m_record.add(format("coordinator %zu answers a read of the configuration with %s", coordinator, response ? std::to_string(response->status()).c_str() : "nothing"));
        sleepFor(Millis { 100 });
    }
    return std::nullopt;
}

bool System::isReady(std::size_t gateway)
{
    Connection connection;
    if (!connection.connect(readyAddress(gateway), Millis { 500 }))
        return false;
    connection.send("GET /curranttrail/ready HTTP/1.1\r\nHost: ready\r\n\r\n");
    const std::optional<Message> response = readMessage(connection, Millis { 500 });
    return response && response->status() == 200;
}

bool System::waitUntilReady(std::size_t gateway, Millis limit)
{
    const Clock::time_point until = Clock::now() + limit;
    while (!isReady(gateway)) {
        if (Clock::now() > until)
            return false;
        sleepFor(Millis { 50 });
    }
    return true;
}

void sleepFor(Millis time) { std::this_thread::sleep_for(time); }

int run(int argc, char** argv, const Scenario& scenario)
{
    const std::string trouble = argc == 4 ? argv[3] : "";
    if (trouble != "0" && trouble != "1") {
        std::cerr << "usage: " << argv[0] << " ROOT RECORD TROUBLE\nTROUBLE is 1, or 0 for a run without the disruption.\n";
        return kCouldNotRun;
    }
    ::signal(SIGPIPE, SIG_IGN);
    const bool isTroubled = trouble == "1";
    Record record(argv[2]);
    record.add(isTroubled ? "with the disruption" : "without the disruption");
    try {
        const bool held = scenario(argv[1], isTroubled, record);
        record.add(held ? "the rule held" : "the rule was broken");
        std::cout << (held ? "the rule held\n" : "the rule was broken\n");
        return held ? kRuleHeld : kRuleBroken;
    } catch (const SetupError& error) {
        record.add("could not run: " + error.reason);
        std::cerr << "could not run: " << error.reason << '\n';
        return kCouldNotRun;
    }
}

} // namespace review
