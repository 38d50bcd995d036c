#pragma once

#include "main/coordinator_daemon.h"
#include "main/gateway_daemon.h"
#include "tests/stand_ins/raw_client.h"
#include "tests/stand_ins/stamped_servers.h"
#include "tests/stand_ins/temporary_folder.h"

#include <fmt/format.h>

#include <chrono>
#include <filesystem>
#include <memory>
#include <string>
#include <thread>
#include <vector>

namespace curranttrail::test {

// Three coordinators, each at its own loopback address, and one gateway in this process, with stand-in servers: two
// shards with two servers each and a collection "orders" of two.
class GatewayFixture {
public:
    GatewayFixture();
    ~GatewayFixture();
    GatewayFixture(const GatewayFixture&) = delete;
    GatewayFixture& operator=(const GatewayFixture&) = delete;

    void startCoordinators();
    void startGateway();
    void stopGateway();

    // Waits until a condition holds. Returns false after 30 s.
    template <typename Condition>
    static bool eventually(Condition condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 30 };
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds { 5 });
        }
        return true;
    }

    static std::string document(std::uint64_t version, const std::string& extraRoutes = "");
    // Sends a document to coordinators until one accepts it or refuses it as invalid; returns the status.
    std::string put(const std::string& body) const;
    // Reads the document from any coordinator that serves it. Returns an empty text if none does.
    std::string read() const;
    std::string control(std::size_t coordinator, const std::string& method, const std::string& body) const;
    std::string ready() const;
    // One request on a new connection.
    std::string ask(const std::string& path, const std::string& id, const std::string& method = "GET", const std::string& body = "") const;
    static std::string requestText(const std::string& path, const std::string& id, const std::string& method = "GET", const std::string& body = "");

    stand_ins::TemporaryFolder folder;
    stand_ins::StampedServers servers;
    std::vector<CoordinatorSettings> coordinatorSettings;
    GatewaySettings gatewaySettings;
    transport::EventSink sink { { "raw-system", Severity::Debug, 4'096, nullptr } };
    std::vector<std::unique_ptr<CoordinatorDaemon>> coordinators;
    std::unique_ptr<GatewayDaemon> gateway;
    std::thread gatewayThread;
};

} // namespace curranttrail::test
