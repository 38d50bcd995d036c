#pragma once

#include "query/claims.h"
#include "query/reply_handler.h"

#include <vector>

namespace curranttrail::query {

// Current totals of an entry instance, exported as metrics.
struct EntryMetrics {
    std::size_t queries = 0;
    std::size_t attempts = 0;
    std::size_t connections = 0;
    std::size_t servers = 0;
    std::size_t leavingServers = 0;
    std::size_t claimsAwaited = 0;
    // Servers that ended under attempts since the start, and queries under which servers ended that are still remembered.
    std::uint64_t serversEnded = 0;
    std::size_t crashRecords = 0;
};

struct CollectionMetrics {
    CollectionName name;
    std::size_t waiting = 0;
    std::uint32_t inFlight = 0;
    double limit = 0;
    Micros median { 0 };
    Micros high { 0 };
    double hedgeShare = 0;
    SnapshotVersion snapshot;
    double snapshotCoverage = 0;
};

struct PoolMetrics {
    ServerId server;
    std::uint32_t share = 0;
    std::uint32_t open = 0;
    std::uint32_t busy = 0;
    std::uint32_t opening = 0;
    bool isLeaving = false;
};

// State machine of an entry instance: takes each query through admission, claim, fan-out and merge to one answer or refusal.
class EntryReducer {
public:
    explicit EntryReducer(EntryOptions options);
    EntryReducer(const EntryReducer&) = delete;
    EntryReducer& operator=(const EntryReducer&) = delete;

    std::vector<Effect> handle(const Event& event, TimePoint now);
    TimePoint nextWakeup() const;

    // Returns whether queries are accepted.
    bool isReady() const { return m_directory.hasList() && !m_classes.empty() && !m_isDraining; }
    // Returns the version of an owner's current configuration, or 0 if there is none.
    ConfigurationVersion configurationVersion(const OwnerName& owner) const;
    EntryMetrics metrics() const;
    // Returns what is known about queries that end servers, to be told to other instances.
    const policy::CrashTable& crashes() const { return m_guard.crashes(); }
    std::vector<CollectionMetrics> collectionMetrics();
    std::vector<PoolMetrics> poolMetrics() const;
    const std::map<std::pair<OwnerName, ClassName>, ClassCounters>& classCounters() const { return m_queries.counters(); }

private:
    void on(const QueryArrived& event);
    void on(const CallerDisconnected& event);
    void on(const ClaimResolved& event);
    void on(const ServerReport& event);
    void on(const ServerListChanged& event);
    void on(const PeerReportedLeaving& event);
    void on(const EntryInstancesChanged& event);
    void on(const ConfigurationChanged& event);
    void on(const ConfigurationConfirmed& event) { m_confirmedAt[event.owner] = m_context.now; }
    void on(const CrashRecordsReceived& event) { m_guard.merge(event); }
    void on(const ConnectionOpened& event);
    void on(const ConnectionLost& event);
    void on(const SubqueryReplied& event);
    void on(const SubqueryEnded& event);
    void on(const DrainRequested& event);
    void on(const Tick& event);

    const ClassTarget* findClass(const OwnerName& owner, const ClassName& name) const;
    // Returns whether the control leader of the owner has confirmed lately that no newer configuration is in force.
    bool isConfigurationConfirmed(const OwnerName& owner) const;
    RefusalReason unknownClassReason(const QueryArrived& event) const;
    void refuseImmediately(const QueryArrived& event, RefusalReason reason, Verdict verdict, std::string message);
    bool admit(const QueryArrived& event, const ClassTarget& target, Micros timeout);
    // Returns the time until this instance may send a query under which several servers ended at once.
    Micros trialDelay(const RequestFingerprint& fingerprint) const;
    // Refuses a query under which servers ended. Returns false if it may be sent.
    bool refuseSuspect(const QueryArrived& event, const RequestFingerprint& fingerprint);
    void runTimers();
    void maintain();
    void reportReadiness();
    void finishDrain();

    ReducerContext m_context;
    Directory m_directory;
    ConnectionPool m_pool;
    QueryTable m_queries;
    RequestGuard m_guard;
    EndChecks m_ends;
    Dispatcher m_dispatcher;
    FanOut m_fanOut;
    ReplyHandler m_replies;
    Claims m_claims;
    ClassTable m_classes;
    std::map<OwnerName, TimePoint> m_confirmedAt;
    TimePoint m_maintainAt = TimePoint::min();
    bool m_wasReady = false;
    bool m_isDraining = false;
    bool m_hasDrained = false;
};

} // namespace curranttrail::query
