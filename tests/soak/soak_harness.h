#pragma once

#include "core/random.h"
#include "tests/soak/soak_coordinators.h"
#include "tests/soak/soak_processes.h"
#include "tests/stand_ins/link_stand_in.h"
#include "tests/stand_ins/stamped_servers.h"

#include <atomic>
#include <chrono>
#include <map>
#include <memory>
#include <mutex>
#include <string>
#include <thread>
#include <vector>

namespace curranttrail::soak {

constexpr std::chrono::milliseconds kDrainGrace { 3'000 };

struct SoakOptions {
    std::string programs;
    std::string folder;
    std::uint64_t seed = 1;
    std::size_t gateways = 3;
    std::chrono::milliseconds duration { 12'000 };
    // Also ends a replaced coordinator without notice after its successor has caught up.
    bool withoutNotice = false;
};

struct SoakResult {
    std::vector<std::string> violations;
    std::uint64_t requests = 0;
    std::uint64_t served = 0;
    std::uint64_t acceptedVersion = 0;
    std::string faults;
};

// Runs coordinators and gateways as separate processes on loopback, with a proxy in front of each backend server. Injects
// external faults chosen by a seed, and checks the results that callers, servers and operators observe.
class SoakHarness {
public:
    explicit SoakHarness(SoakOptions options);
    ~SoakHarness();
    SoakHarness(const SoakHarness&) = delete;
    SoakHarness& operator=(const SoakHarness&) = delete;

    SoakResult run();

private:
    void writeSettings(bool bootstrap);
    void startAll();
    void countFault(const std::string& kind);
    void freeze(ChildProcess& process, Random& random);
    void restart(ChildProcess& process, int number, Random& random);
    void injectCoordinatorFault();
    void injectGatewayFault(Random& random);
    void replaceCoordinator(std::size_t member);
    void injectFinalFault();
    void clearFaults();
    void setLink(std::size_t server, const std::string& mode);
    void writeLinks();
    void runCaller(std::size_t gateway, std::uint64_t seed);
    void runOperator(std::uint64_t seed);
    void checkMerged(const std::string& response, const std::string& id);
    void checkRecovery(const std::string& fault);
    void checkEnd();
    std::string makeDocument(std::uint64_t version) const;
    std::string sendConfigurationRequest(std::size_t coordinator, const std::string& method, const std::string& body) const;
    std::string sendRequest(std::size_t gateway, const std::string& path, const std::string& id) const;
    void addViolation(std::string text);
    std::size_t randomBelow(std::size_t bound) { return m_random() % bound; }

    const SoakOptions m_options;
    Random m_random;
    std::uint16_t m_basePort = 0;
    stand_ins::StampedServers m_servers;
    std::vector<std::string> m_linkModes;
    std::unique_ptr<stand_ins::LinkStandIn> m_links;
    std::unique_ptr<CoordinatorGroup> m_coordinators;
    std::vector<ChildProcess> m_gateways;
    // Held during a fault of a gateway, a link or a server, and while all processes restart.
    std::mutex m_gatewayFaultMutex;
    // Until then a coordinator counts as lost, and no other may be replaced or lose its data folder.
    std::chrono::steady_clock::time_point m_caughtUpAt;
    unsigned m_recoveries = 0;
    std::atomic<bool> m_stopping { false };
    std::atomic<bool> m_operatorPaused { false };
    std::atomic<std::uint64_t> m_requests { 0 };
    std::atomic<std::uint64_t> m_served { 0 };
    // Highest document version that a coordinator has acknowledged.
    std::atomic<std::uint64_t> m_acceptedVersion { 0 };
    std::mutex m_mutex;
    std::vector<std::string> m_violations;
    // Ids of non-repeatable requests that were refused as not run.
    std::vector<std::string> m_refusedAsNotRun;
    std::map<std::string, unsigned> m_faults;
};

} // namespace curranttrail::soak
