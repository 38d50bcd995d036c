#pragma once

#include "main/entry_daemon.h"
#include "tests/stand_ins/backend_fleet.h"
#include "tests/stand_ins/control_stand_in.h"
#include "tests/stand_ins/platform_stand_in.h"
#include "tests/stand_ins/raw_client.h"
#include "transport/event_sink.h"
#include "transport/io_threads.h"

#include <chrono>
#include <memory>
#include <string>
#include <thread>

namespace curranttrail::test {

inline constexpr const char* kClusterKey = "a cluster key of at least 32 bytes for tests";

// An entry instance of owner "nile" with stand-ins for all other processes. Class "search" has the collection "catalogue"
// of 3 shards with 2 replicas, class "order_check" may not be repeated and has "orders" of 1 shard, class "names" belongs to
// the owner "stone".
struct EntryFixture {
    EntryFixture();
    ~EntryFixture();

    EntrySettings settings(const std::string& name) const;
    static stand_ins::FleetSettings fleetSettings();
    // Starts the instance and waits until it is ready.
    void start();
    // Waits until a condition holds. Returns false after 20 s.
    template <typename Condition>
    static bool eventually(Condition condition)
    {
        const std::chrono::steady_clock::time_point deadline = std::chrono::steady_clock::now() + std::chrono::seconds { 20 };
        while (!condition()) {
            if (std::chrono::steady_clock::now() > deadline)
                return false;
            std::this_thread::sleep_for(std::chrono::milliseconds { 2 });
        }
        return true;
    }

    // Sends a body to POST /v1/query with the token of nile's caller and returns the response.
    std::string ask(const std::string& body, const std::string& token = "nile-token") const;
    static std::string queryText(const std::string& body, const std::string& token = "nile-token");
    static std::string queryBody(const std::string& className, const std::string& query, int deadlineMs = 5'000, const std::string& requestId = "");

    transport::IoThreads threads { 2 };
    stand_ins::ControlStandIn nile { "nile", kClusterKey };
    stand_ins::ControlStandIn stone { "stone", kClusterKey };
    std::unique_ptr<stand_ins::BackendFleet> fleet;
    std::unique_ptr<stand_ins::PlatformStandIn> platform;
    std::string keyFile;
    transport::EventSink sink { { "nile-e1", Severity::Debug, 4'096, nullptr } };
    std::unique_ptr<EntryDaemon> entry;
};

} // namespace curranttrail::test
