#include "tests/main/gateway_fixture.h"

#include "tests/stand_ins/free_ports.h"

#include <unistd.h>

namespace curranttrail::test {

using stand_ins::RawClient;

namespace {
    constexpr const char* kKey = "a link key of at least 32 characters";
}

GatewayFixture::GatewayFixture()
{
    for (const char* collection : { "shard0", "shard0", "shard1", "shard1", "orders", "orders" })
        servers.add(collection);
    // Ports are the same on all addresses.
    const std::uint16_t base = stand_ins::findFreePorts({ "127.0.0.11", "127.0.0.12", "127.0.0.13", "127.0.0.14", "127.0.0.15", "127.0.0.16", "127.0.0.21" });
    GroupConnection groupConnection;
    groupConnection.groupPort = base;
    groupConnection.linkKey = kKey;
    for (int n = 1; n <= 3; ++n)
        groupConnection.seeds.push_back({ fmt::format("127.0.0.{}", 10 + n), static_cast<std::uint16_t>(base + 1) });
    for (const transport::Endpoint& seed : groupConnection.seeds) {
        CoordinatorSettings settings;
        settings.name = seed.address;
        settings.dataCentre = "z1";
        settings.dataFolder = (folder.path() / seed.address).string();
        settings.http = seed;
        settings.group = { seed.address, groupConnection.groupPort };
        settings.groupConnection = groupConnection;
        settings.bootstrap = true;
        settings.serverList = { "127.0.0.1", servers.listPort() };
        settings.listCallsPerSecond = 100;
        coordinatorSettings.push_back(settings);
    }
    gatewaySettings.name = "gateway-1";
    gatewaySettings.dataCentre = "z1";
    gatewaySettings.callers = { "127.0.0.21", static_cast<std::uint16_t>(base + 2) };
    gatewaySettings.ready = { "127.0.0.21", static_cast<std::uint16_t>(base + 3) };
    gatewaySettings.groupConnection = groupConnection;
    gatewaySettings.gracePeriod = Micros { 3'000'000 };
    coordinators.resize(3);
}

GatewayFixture::~GatewayFixture()
{
    stopGateway();
    coordinators.clear();
}

void GatewayFixture::startCoordinators()
{
    for (std::size_t n = 0; n < coordinators.size(); ++n) {
        coordinators[n] = std::make_unique<CoordinatorDaemon>(coordinatorSettings[n], sink);
        coordinators[n]->start();
    }
}

void GatewayFixture::startGateway()
{
    gateway = std::make_unique<GatewayDaemon>(gatewaySettings, sink);
    gatewayThread = std::thread([this] { gateway->run(); });
}

void GatewayFixture::stopGateway()
{
    if (!gateway)
        return;
    gateway->stop();
    gatewayThread.join();
    gateway.reset();
}

std::string GatewayFixture::document(std::uint64_t version, const std::string& extraRoutes)
{
    return fmt::format(R"({{"version":{},"routes":[
{{"name":"search","host":"site","pathPrefix":"/search/","kind":"safe","timeoutMs":2000,"sloMs":500,"priority":1,"gather":["shard0","shard1"],"maxAttempts":2,"topK":4,"minCoverage":0.5}},
{{"name":"order","host":"site","pathPrefix":"/order/","kind":"safe","timeoutMs":2000,"sloMs":500,"priority":2,"service":"orders","maxAttempts":2}},
{{"name":"book","host":"site","pathPrefix":"/book/","kind":"unsafe","timeoutMs":2000,"sloMs":500,"priority":2,"service":"orders","maxAttempts":2}}{}],
"services":[{{"name":"shard0","maxConns":50}},{{"name":"shard1","maxConns":50}},{{"name":"orders","maxConns":50}}],
"limits":{{"maxHeaderBytes":8192,"maxBodyBytes":100000,"headerTimeoutMs":1000,"idleTimeoutMs":5000}}}})",
        version, extraRoutes);
}

std::string GatewayFixture::control(std::size_t coordinator, const std::string& method, const std::string& body) const
{
    try {
        const transport::Endpoint& http = coordinatorSettings[coordinator].http;
        RawClient client(http.address, http.port);
        client.send(fmt::format("{} /curranttrail/config HTTP/1.1\r\nHost: {}\r\nContent-Length: {}\r\n\r\n{}", method, http.text(), body.size(), body));
        return client.readMessage(2'000);
    } catch (const std::exception&) {
        return {};
    }
}

std::string GatewayFixture::put(const std::string& body) const
{
    std::string status;
    eventually([&] {
        for (std::size_t n = 0; n < coordinators.size(); ++n) {
            status = stand_ins::statusOf(control(n, "PUT", body));
            if (status == "200" || status == "400")
                return true;
        }
        return false;
    });
    return status;
}

std::string GatewayFixture::read() const
{
    for (std::size_t n = 0; n < coordinators.size(); ++n) {
        const std::string response = control(n, "GET", "");
        if (stand_ins::statusOf(response) == "200")
            return stand_ins::bodyOf(response);
    }
    return {};
}

std::string GatewayFixture::ready() const
{
    try {
        RawClient client(gatewaySettings.ready.address, gatewaySettings.ready.port);
        client.send("GET /curranttrail/ready HTTP/1.1\r\nHost: x\r\n\r\n");
        return stand_ins::statusOf(client.readMessage(2'000));
    } catch (const std::exception&) {
        return {};
    }
}

std::string GatewayFixture::requestText(const std::string& path, const std::string& id, const std::string& method, const std::string& body)
{
    const std::string length = body.empty() ? "" : fmt::format("Content-Length: {}\r\n", body.size());
    return fmt::format("{} {} HTTP/1.1\r\nHost: site\r\nX-Curranttrail-Request-Id: {}\r\nX-Curranttrail-Deadline-Ms: 2000\r\n{}\r\n{}", method, path, id, length, body);
}

std::string GatewayFixture::ask(const std::string& path, const std::string& id, const std::string& method, const std::string& body) const
{
    RawClient client(gatewaySettings.callers.address, gatewaySettings.callers.port);
    client.send(requestText(path, id, method, body));
    return client.readMessage();
}

} // namespace curranttrail::test
