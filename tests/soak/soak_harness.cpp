#include "tests/soak/soak_harness.h"

#include "core/not_run_status.h"
#include "tests/stand_ins/free_ports.h"
#include "tests/stand_ins/raw_client.h"

#include <boost/json.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <filesystem>
#include <set>

namespace curranttrail::soak {

using stand_ins::bodyOf;
using stand_ins::RawClient;
using stand_ins::StampedServers;
using stand_ins::statusOf;
using std::chrono::milliseconds;

namespace {
    constexpr std::size_t kCoordinators = CoordinatorGroup::kMembers;
    constexpr std::size_t kShards = 4;
    constexpr std::size_t kTopK = 6;
    // Documented recovery time: requests are served and the configuration can be read within this time after the last fault.
    constexpr milliseconds kRecoveryTimeout { 12'000 };
    constexpr int kCallerTimeoutMs = 2'500;

    std::string fieldOf(const std::string& response, const std::string& name)
    {
        const std::size_t begin = response.find("\r\n" + name + ": ");
        if (begin == std::string::npos)
            return {};
        const std::size_t value = begin + name.size() + 4;
        return response.substr(value, response.find("\r\n", value) - value);
    }

    std::uint64_t versionOf(const std::string& body)
    {
        boost::system::error_code ec;
        const boost::json::value value = boost::json::parse(body, ec);
        const boost::json::value* version = ec || !value.is_object() ? nullptr : value.as_object().if_contains("version");
        return version && version->is_number() ? version->to_number<std::uint64_t>() : 0;
    }
}

SoakHarness::SoakHarness(SoakOptions options)
    : m_options(std::move(options))
    , m_random(m_options.seed)
{
    std::vector<std::string> addresses;
    for (std::size_t n = 0; n < 2 * (kShards + 1); ++n)
        addresses.push_back(fmt::format("127.0.1.{}", n + 1));
    for (std::size_t n = 0; n < CoordinatorGroup::kAddresses; ++n)
        addresses.push_back(CoordinatorGroup::hostAt(n));
    for (std::size_t n = 0; n < m_options.gateways; ++n)
        addresses.push_back(fmt::format("127.0.0.{}", 21 + n));
    m_basePort = stand_ins::findFreePorts(addresses);
    std::filesystem::remove_all(m_options.folder);
    std::filesystem::create_directories(m_options.folder);
    stand_ins::LinkStandInSettings links;
    links.stateFile = m_options.folder + "/links";
    for (std::size_t shard = 0; shard <= kShards; ++shard) {
        for (int replica = 0; replica < 2; ++replica) {
            const std::size_t server = m_servers.add(shard == kShards ? "orders" : fmt::format("shard{}", shard));
            // Each proxy listens on an address of its own, where the base port is free.
            const transport::Endpoint proxy { fmt::format("127.0.1.{}", server + 1), m_basePort };
            links.links.push_back({ fmt::format("s{}", server), proxy, { "127.0.0.1", m_servers.portOf(server) } });
            m_servers.setListedAddress(server, proxy.text());
            m_linkModes.emplace_back("pass");
        }
    }
    writeLinks();
    m_links = std::make_unique<stand_ins::LinkStandIn>(links);
    m_coordinators = std::make_unique<CoordinatorGroup>(CoordinatorOptions { m_options.programs, m_options.folder, m_basePort, m_servers.listPort() });
    for (std::size_t n = 0; n < m_options.gateways; ++n) {
        const std::string path = fmt::format("{}/gateway-{}", m_options.folder, n);
        m_gateways.emplace_back(m_options.programs + "/curranttrail-gateway", path + ".toml", path + ".log");
    }
    writeSettings(true);
}

SoakHarness::~SoakHarness() = default;

void SoakHarness::writeSettings(bool bootstrap)
{
    m_coordinators->writeSettings(bootstrap);
    for (std::size_t n = 0; n < m_options.gateways; ++n) {
        replaceFile(fmt::format("{}/gateway-{}.toml", m_options.folder, n),
            fmt::format("name = \"g{0}\"\ndata_centre = \"z{0}\"\ncallers = \"127.0.0.{1}:{2}\"\nready = \"127.0.0.{1}:{3}\"\ngrace = \"{4}ms\"\n[group]\n{5}[repeats]\nallowance = 100\n",
                n, 21 + n, m_basePort + 2, m_basePort + 3, kDrainGrace.count(), m_coordinators->contact()));
    }
}

std::string SoakHarness::makeDocument(std::uint64_t version) const
{
    std::string gather;
    std::string services = "{\"name\":\"orders\",\"maxConns\":60}";
    // Consecutive versions have different sets of shards, so that a mixture of two versions is detected.
    const std::size_t shards = version % 2 == 0 ? kShards : kShards - 1;
    for (std::size_t n = 0; n < kShards; ++n) {
        services += fmt::format(",{{\"name\":\"shard{}\",\"maxConns\":60}}", n);
        if (n < shards)
            gather += fmt::format("{}\"shard{}\"", n ? "," : "", n);
    }
    return fmt::format(R"({{"version":{},"routes":[{{"name":"search","host":"site","pathPrefix":"/search/","kind":"safe","timeoutMs":1000,"sloMs":300,"priority":1,"gather":[{}],"maxAttempts":2,"topK":{},"minCoverage":0.5}},{{"name":"book","host":"site","pathPrefix":"/book/","kind":"unsafe","timeoutMs":1500,"sloMs":300,"priority":2,"service":"orders","maxAttempts":2}},{{"name":"version","host":"site","pathPrefix":"/version-{}/","kind":"safe","timeoutMs":1000,"sloMs":300,"priority":2,"service":"orders","maxAttempts":2}}],"services":[{}]}})",
        version, gather, kTopK, version, services);
}

void SoakHarness::addViolation(std::string text)
{
    const std::lock_guard lock(m_mutex);
    if (m_violations.size() < 20)
        m_violations.push_back(std::move(text));
}

std::string SoakHarness::sendConfigurationRequest(std::size_t coordinator, const std::string& method, const std::string& body) const
{
    try {
        RawClient client(m_coordinators->hostOf(coordinator), static_cast<std::uint16_t>(m_basePort + 1));
        client.send(fmt::format("{} /curranttrail/config HTTP/1.1\r\nHost: c\r\nContent-Length: {}\r\n\r\n{}", method, body.size(), body));
        return client.readMessage(1'000);
    } catch (const std::exception&) {
        // The process is not running. An empty response lets the calling code try another one.
        return {};
    }
}

std::string SoakHarness::sendRequest(std::size_t gateway, const std::string& path, const std::string& id) const
{
    try {
        RawClient client(fmt::format("127.0.0.{}", 21 + gateway), static_cast<std::uint16_t>(m_basePort + 2));
        client.send(fmt::format("GET {} HTTP/1.1\r\nHost: site\r\nX-Curranttrail-Request-Id: {}\r\nX-Curranttrail-Deadline-Ms: 2000\r\n\r\n", path, id));
        return client.readMessage(kCallerTimeoutMs);
    } catch (const std::exception&) {
        return {};
    }
}

// Checks a successful response: its stamps belong to this request, name each shard once and the shards of one version, and its
// body holds the greatest records of the stamped parts.
void SoakHarness::checkMerged(const std::string& response, const std::string& id)
{
    std::string stamps = fieldOf(response, "X-Curranttrail-Part-Stamps");
    const std::string missing = fieldOf(response, "X-Curranttrail-Missing-Parts");
    std::set<std::string> shards;
    std::vector<std::string> records;
    for (std::size_t begin = 0; begin < stamps.size();) {
        const std::size_t end = std::min(stamps.find(", ", begin), stamps.size());
        const std::string shard = StampedServers::collectionOf(std::string_view { stamps }.substr(begin, end - begin), id);
        if (shard.empty() || !shards.insert(shard).second) {
            addViolation(fmt::format("{}: a part belongs to another request or a shard occurs twice: {}", id, stamps));
            return;
        }
        const std::string part = StampedServers::recordsOf(shard, id);
        for (std::size_t n = 0; n + 16 <= part.size(); n += 16)
            records.push_back(part.substr(n, 16));
        begin = end + 2;
    }
    const std::size_t total = shards.size() + (missing.empty() ? 0 : std::stoul(missing));
    if (total != kShards && total != kShards - 1)
        addViolation(fmt::format("{}: no document version has {} shards", id, total));
    if (shards.size() * 2 < total)
        addViolation(fmt::format("{}: {} of {} parts are below the minimum coverage", id, shards.size(), total));
    std::sort(records.begin(), records.end(), std::greater<> {});
    std::string expected;
    for (std::size_t n = 0; n < std::min(records.size(), kTopK); ++n)
        expected += records[n];
    if (bodyOf(response) != expected)
        addViolation(fmt::format("{}: the body differs from the merge of its parts", id));
}

// Sends requests over a connection that is kept alive as long as possible, and checks the responses.
void SoakHarness::runCaller(std::size_t gateway, std::uint64_t seed)
{
    Random random(seed);
    std::unique_ptr<RawClient> client;
    for (std::uint64_t n = 0; !m_stopping; ++n) {
        const bool isBooking = n % 3 == 0;
        const std::string id = fmt::format("{}-{}-{}-{}", isBooking ? "book" : "search", gateway, seed, n);
        std::string response;
        try {
            if (!client)
                client = std::make_unique<RawClient>(fmt::format("127.0.0.{}", 21 + gateway), static_cast<std::uint16_t>(m_basePort + 2));
            client->send(fmt::format("GET /{}/x HTTP/1.1\r\nHost: site\r\nX-Curranttrail-Request-Id: {}\r\nX-Curranttrail-Deadline-Ms: 2000\r\n\r\n", isBooking ? "book" : "search", id));
            response = client->readMessage(kCallerTimeoutMs);
        } catch (const std::exception&) {
            std::this_thread::sleep_for(milliseconds { 20 });
        }
        ++m_requests;
        const std::string status = statusOf(response);
        if (response.empty() || response.find("Connection: close") != std::string::npos)
            client.reset();
        if (status == "200") {
            ++m_served;
            if (!isBooking)
                checkMerged(response, id);
            else if (bodyOf(response) != StampedServers::recordsOf("orders", id))
                addViolation(id + ": the body differs from that of the server");
        } else if (isBooking && !status.empty() && promisesNotRun(static_cast<unsigned>(std::stoul(status)))) {
            const std::lock_guard lock(m_mutex);
            m_refusedAsNotRun.push_back(id);
        }
        std::this_thread::sleep_for(milliseconds { 3 + random() % 10 });
    }
}

// Writes documents with increasing versions and checks that no instance returns a version older than the last acknowledged one.
void SoakHarness::runOperator(std::uint64_t seed)
{
    Random random(seed);
    for (std::uint64_t version = 2; !m_stopping; version += 1 + random() % 3) {
        while (m_operatorPaused && !m_stopping)
            std::this_thread::sleep_for(milliseconds { 10 });
        const std::string body = makeDocument(version);
        for (int tries = 0; tries < 20 && !m_stopping; ++tries) {
            if (statusOf(sendConfigurationRequest(random() % kCoordinators, "PUT", body)) == "200") {
                m_acceptedVersion = version;
                break;
            }
        }
        const std::uint64_t acceptedVersion = m_acceptedVersion;
        const std::string read = sendConfigurationRequest(random() % kCoordinators, "GET", "");
        if (statusOf(read) == "200" && versionOf(bodyOf(read)) < acceptedVersion)
            addViolation(fmt::format("version {} was read after {} was acknowledged", versionOf(bodyOf(read)), acceptedVersion));
        std::this_thread::sleep_for(milliseconds { 50 + random() % 200 });
    }
}

void SoakHarness::setLink(std::size_t server, const std::string& mode)
{
    m_linkModes[server] = mode;
    writeLinks();
}

void SoakHarness::writeLinks()
{
    std::string text;
    for (std::size_t n = 0; n < m_linkModes.size(); ++n)
        text += fmt::format("s{} {}\n", n, m_linkModes[n]);
    replaceFile(m_options.folder + "/links", text);
}

void SoakHarness::clearFaults()
{
    for (std::size_t n = 0; n < m_linkModes.size(); ++n) {
        m_linkModes[n] = "pass";
        m_servers.set(n, {});
    }
    writeLinks();
    for (std::size_t n = 0; n < kCoordinators; ++n)
        m_coordinators->processOf(n).start();
    for (ChildProcess& process : m_gateways)
        process.start();
}

void SoakHarness::startAll()
{
    for (ChildProcess& process : m_coordinators->processes())
        process.start();
    for (ChildProcess& process : m_gateways)
        process.start();
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + kRecoveryTimeout;
    while (std::chrono::steady_clock::now() < deadline) {
        for (std::size_t n = 0; n < kCoordinators && m_acceptedVersion == 0; ++n) {
            if (statusOf(sendConfigurationRequest(n, "PUT", makeDocument(1))) == "200")
                m_acceptedVersion = 1;
        }
        if (m_acceptedVersion > 0 && statusOf(sendRequest(0, "/search/x", "start")) == "200")
            break;
        std::this_thread::sleep_for(milliseconds { 50 });
    }
    // Only the first start bootstraps the group.
    writeSettings(false);
}

// Checks that the last acknowledged version, or a later one, is read back as it was sent, and that all gateways serve by it.
void SoakHarness::checkRecovery(const std::string& fault)
{
    m_operatorPaused = true;
    const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + kRecoveryTimeout;
    std::set<std::size_t> serving;
    std::uint64_t readBack = 0;
    // A change that was sent before the pause may be acknowledged meanwhile. It is read back and served by as well.
    for (int n = 0; std::chrono::steady_clock::now() < deadline && (serving.size() < m_gateways.size() || readBack < m_acceptedVersion); ++n) {
        const std::uint64_t readBefore = readBack;
        for (std::size_t member = 0; member < kCoordinators; ++member) {
            const std::string response = sendConfigurationRequest(member, "GET", "");
            if (statusOf(response) != "200")
                continue;
            readBack = versionOf(bodyOf(response));
            if (bodyOf(response) != makeDocument(readBack))
                addViolation(fmt::format("version {} differs from what was sent after {}", readBack, fault));
        }
        if (readBack != readBefore)
            serving.clear();
        for (std::size_t gateway = 0; gateway < m_gateways.size() && readBack >= m_acceptedVersion; ++gateway) {
            const std::string id = fmt::format("recovery-{}-{}", m_recoveries, n * m_gateways.size() + gateway);
            const std::string response = sendRequest(gateway, "/search/x", id);
            if (statusOf(response) != "200" || statusOf(sendRequest(gateway, fmt::format("/version-{}/x", readBack), id + "-version")) != "200")
                continue;
            checkMerged(response, id);
            serving.insert(gateway);
        }
        std::this_thread::sleep_for(milliseconds { 100 });
    }
    ++m_recoveries;
    if (readBack < m_acceptedVersion)
        addViolation(fmt::format("version {} cannot be read back after {}, the last one read is {}", m_acceptedVersion.load(), fault, readBack));
    else if (serving.size() < m_gateways.size())
        addViolation(fmt::format("only {} of {} gateways serve by version {} after {}", serving.size(), m_gateways.size(), readBack, fault));
    m_operatorPaused = false;
}

void SoakHarness::checkEnd()
{
    checkRecovery("the end");
    for (const std::string& id : m_refusedAsNotRun) {
        if (m_servers.runsOf(id) > 0)
            addViolation(id + ": refused as not run, but a server ran it");
    }
    if (m_servers.maximumRuns("book-") > 1)
        addViolation("a non-repeatable request ran more than once");
    for (std::vector<ChildProcess>* group : { &m_coordinators->processes(), &m_gateways }) {
        for (ChildProcess& process : *group) {
            const bool isRetired = group != &m_gateways && !m_coordinators->isMember(process);
            if (!process.unexpectedExit().empty() || (!process.isRunning() && !isRetired))
                addViolation("a process exited unexpectedly: " + process.unexpectedExit());
        }
    }
}

SoakResult SoakHarness::run()
{
    startAll();
    std::vector<std::thread> threads;
    for (std::size_t gateway = 0; gateway < m_gateways.size(); ++gateway) {
        for (int n = 0; n < 2; ++n)
            threads.emplace_back([this, gateway, seed = m_random()] { runCaller(gateway, seed); });
    }
    threads.emplace_back([this, seed = m_random()] { runOperator(seed); });
    const std::chrono::steady_clock::time_point until = std::chrono::steady_clock::now() + m_options.duration;
    std::thread gatewayFaults([this, until, random = Random(m_random())]() mutable {
        while (std::chrono::steady_clock::now() < until) {
            injectGatewayFault(random);
            std::this_thread::sleep_for(milliseconds { random() % 700 });
        }
    });
    while (std::chrono::steady_clock::now() < until) {
        injectCoordinatorFault();
        std::this_thread::sleep_for(milliseconds { randomBelow(700) });
    }
    gatewayFaults.join();
    countFault("final_fault");
    injectFinalFault();
    m_stopping = true;
    for (std::thread& thread : threads)
        thread.join();
    checkEnd();
    SoakResult result { m_violations, m_requests, m_served, m_acceptedVersion, {} };
    for (const auto& [kind, count] : m_faults)
        result.faults += fmt::format("{}{}={}", result.faults.empty() ? "" : " ", kind, count);
    return result;
}

} // namespace curranttrail::soak
