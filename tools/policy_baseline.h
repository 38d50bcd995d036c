#pragma once

#include "core/random.h"
#include "query/messages.h"

#include <deque>
#include <map>
#include <unordered_map>

namespace curranttrail::tools {

// Baseline for the policy benchmark: a random replica, a fixed timeout, and neither hedges, retries nor admission control. It
// reports coverage correctly and claims non-repeatable requests, so that only the policy differs from the measured client.
class BaselineClient {
public:
    explicit BaselineClient(std::uint64_t seed);

    std::vector<query::Effect> handle(const query::Event&, TimePoint now);
    TimePoint nextWakeup() const;

private:
    struct PendingQuery {
        query::QueryArrived arrival;
        ClassTarget target;
        TimePoint expires;
        SnapshotVersion snapshot;
        std::vector<query::ShardRange> shards;
        std::vector<std::optional<std::string>> payloads;
        std::vector<AttemptProgress> progress;
        std::size_t open = 0;
        bool started = false;
        std::shared_ptr<const std::string> body;
    };

    struct Attempt {
        QueryId query;
        std::size_t shard = 0;
    };

    struct Server {
        query::ListedServer listed;
        std::vector<query::HeldShard> held;
        std::vector<ConnectionId> idle;
        std::deque<AttemptId> waiting;
        std::size_t connections = 0;
    };

    void apply(const query::QueryArrived&);
    void apply(const query::CallerDisconnected&);
    void apply(const query::ClaimResolved&);
    void apply(const query::ServerReport&);
    void apply(const query::ServerListChanged&);
    void apply(const query::PeerReportedLeaving&) { }
    void apply(const query::EntryInstancesChanged&);
    void apply(const query::ConfigurationChanged&);
    void apply(const query::ConfigurationConfirmed&) { }
    void apply(const query::CrashRecordsReceived&) { }
    void apply(const query::ConnectionOpened&);
    void apply(const query::ConnectionLost&);
    void apply(const query::SubqueryReplied&);
    void apply(const query::SubqueryEnded&);
    void apply(const query::DrainRequested&) { }
    void apply(const query::Tick&);

    void fanOut(PendingQuery&);
    void send(AttemptId, ConnectionId);
    void endAttempt(AttemptId, AttemptProgress, const std::string* payload);
    void finish(QueryId);
    void openMissingConnections();
    void releaseConnection(ConnectionId);
    SnapshotVersion newestSnapshot(const CollectionName&) const;
    std::vector<query::ShardRange> shardsOf(const CollectionName&, SnapshotVersion) const;

    Random m_random;
    TimePoint m_now {};
    std::vector<query::Effect> m_effects;
    std::map<std::uint64_t, Server> m_servers;
    std::unordered_map<std::uint64_t, ServerId> m_connections;
    std::unordered_map<std::uint64_t, PendingQuery> m_queries;
    std::unordered_map<std::uint64_t, Attempt> m_attempts;
    std::multimap<TimePoint, QueryId> m_expiries;
    std::shared_ptr<const ClassTable> m_classes;
    std::size_t m_instances = 1;
    std::uint64_t m_nextAttempt = 1;
    std::uint64_t m_nextConnection = 1;
    TimePoint m_nextConnectionCheck {};
};

} // namespace curranttrail::tools
