#pragma once

#include "main/settings.h"
#include "tests/stand_ins/backend_server.h"
#include "transport/http_router.h"

#include <memory>
#include <string>
#include <vector>

namespace curranttrail::stand_ins {

// Backend servers of one collection: `shards` services with `replicas` servers each.
struct BackendGroup {
    OwnerName owner;
    CollectionName collection;
    // Replica r of every service runs in data centre r modulo the number of data centres.
    std::vector<DataCentreName> dataCentres;
    std::uint32_t shards = 1;
    std::uint32_t replicas = 2;
    std::uint32_t connectionLimit = 25;
    std::uint64_t snapshot = 1;
    BackendBehaviour behaviour;
};

struct FleetSettings {
    std::uint64_t seed = 1;
    transport::Endpoint control { "127.0.0.1", 0 };
    std::vector<BackendGroup> groups;
};

// Reads the settings of the stand-in. Errors are collected in the SettingsFile.
FleetSettings readFleetSettings(const SettingsFile& file);

// Splits the key space into `shards` ranges of nearly equal size.
std::vector<query::ShardRange> evenShards(const std::string& prefix, std::uint32_t shards);

// Runs many backend servers in one process, with one control endpoint:
// POST /v1/stand-in {"server" or "collection": name, "set": {...}} changes behaviour, GET /v1/stand-in/runs returns run counts.
class BackendFleet {
public:
    BackendFleet(transport::IoThreads& threads, FleetSettings settings);
    ~BackendFleet();

    std::uint16_t controlPort() const { return m_control->port(); }
    const std::vector<std::shared_ptr<BackendServer>>& servers() const { return m_servers; }
    std::shared_ptr<BackendServer> server(const std::string& name) const;

    // Returns the body of GET /v1/instances for these servers, all in state "live".
    std::string instancesJson() const;
    // Returns the settings file of the platform stand-in for these servers.
    std::string platformToml() const;
    // Returns one line "name=address" for each server and for "control".
    std::string portsText() const;

    // Adds a snapshot with the given number of shards to the servers of a collection. The servers keep their older snapshots.
    void addSnapshot(const CollectionName& collection, std::uint64_t version, std::uint32_t shards);

private:
    struct Member {
        const BackendGroup* group = nullptr;
        std::uint32_t service = 0;
        DataCentreName dataCentre;
        std::shared_ptr<BackendServer> server;
    };

    void addServers(const BackendGroup& group, std::uint64_t& seed);
    void change(const transport::HttpRequest& request, const transport::Responder& responder);
    std::vector<std::shared_ptr<BackendServer>> selectServers(const std::string& server, const std::string& collection) const;
    std::string runsJson() const;

    transport::IoThreads& m_threads;
    const FleetSettings m_settings;
    std::vector<Member> m_members;
    std::vector<std::shared_ptr<BackendServer>> m_servers;
    std::unique_ptr<transport::HttpServer> m_control;
};

} // namespace curranttrail::stand_ins
