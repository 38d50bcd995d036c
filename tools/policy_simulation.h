#pragma once

#include "core/random.h"
#include "tools/policy_client.h"
#include "tools/policy_scenario.h"

#include <deque>
#include <functional>
#include <map>
#include <optional>
#include <queue>
#include <string>
#include <unordered_map>
#include <vector>

namespace curranttrail::tools {

// Results of one run for one class.
struct ClassFigures {
    // Milliseconds from arrival at the entry instance, for every query that was not refused before work.
    std::vector<float> latencies;
    double coverageSum = 0;
    std::uint64_t arrived = 0;
    std::uint64_t answered = 0;
    std::uint64_t refusedBeforeWork = 0;
    std::uint64_t refusedAfterWork = 0;
    // Subqueries that a fan-out without hedges and retries would send, and subqueries that servers started.
    std::uint64_t plannedSubqueries = 0;
    std::uint64_t started = 0;
    // Server time of subqueries that are part of an answer in time.
    Micros usefulServerTime { 0 };
    Micros capacity { 0 };
    std::uint64_t duplicateRuns = 0;
    std::uint64_t falseCoverage = 0;

    void add(const ClassFigures&);
};

// Violations of invariants, except those that have a column in the report.
struct Violations {
    std::uint64_t unanswered = 0;
    std::uint64_t falseNotRun = 0;
    std::uint64_t connectionsAboveLimit = 0;
    std::uint64_t workForLeavingServer = 0;

    void add(const Violations&);
    std::uint64_t total() const { return unanswered + falseNotRun + connectionsAboveLimit + workForLeavingServer; }
};

struct RunFigures {
    std::map<std::string, ClassFigures> classes;
    Violations violations;

    void add(const RunFigures&);
};

// One deployment in virtual time: real reducers of the entry instances against fake backend servers, links and claims.
class PolicySimulation {
public:
    PolicySimulation(const Deployment&, const Scenario&, PolicyKind, std::uint64_t seed);

    RunFigures run();

private:
    struct Job {
        std::size_t entry = 0;
        query::SendSubquery request;
        std::uint64_t queryNumber = 0;
        TimePoint expires;
        Micros serviceTime { 0 };
        bool queued = false;
        bool running = false;
        bool cancelled = false;
    };

    struct Server {
        query::ListedServer listed;
        std::size_t dataCentre = 0;
        std::size_t service = 0;
        Micros connectionSetup { 0 };
        bool inMainCollection = true;
        bool up = true;
        bool draining = false;
        bool reportsZeroLoad = false;
        double serviceTimeFactor = 1;
        TimePoint coldUntil {};
        TimePoint drainingSince = kNever;
        std::vector<query::HeldShard> held;
        std::deque<std::size_t> queue;
        std::size_t running = 0;
        std::size_t connections = 0;
        std::uint64_t incarnation = 0;
    };

    struct Link {
        ServerId server;
        std::uint64_t incarnation = 0;
        bool open = false;
        bool silent = false;
        std::optional<std::size_t> job;
    };

    struct Entry {
        std::size_t dataCentre = 0;
        PolicyClient client;
        std::unordered_map<std::uint64_t, Link> links;
        TimePoint tickAt = kNever;
    };

    struct Query {
        const ClassLoad* load = nullptr;
        ClassFigures* figures = nullptr;
        std::size_t entry = 0;
        TimePoint arrived;
        bool measured = false;
        bool ended = false;
        bool started = false;
        std::string requestId;
        std::size_t resends = 0;
    };

    struct Claim {
        std::size_t holder = 0;
        std::optional<Verdict> outcome;
    };

    struct ScheduledAction {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;
        bool operator>(const ScheduledAction& other) const { return at != other.at ? at > other.at : order > other.order; }
    };

    void at(TimePoint, std::function<void()>);
    void after(Micros delay, std::function<void()> action) { at(m_now + delay, std::move(action)); }
    double uniform();

    // Set-up.
    void addCollection(const CollectionShape&, bool inMainCollection);
    void addEntries(PolicyKind, std::uint64_t seed);
    void scheduleArrivals(const ClassLoad&, const CollectionShape&, double load, bool urgent);
    void scheduleReports();

    // Entry instances.
    void deliver(std::size_t entry, const query::Event&);
    void perform(std::size_t entry, const query::OpenConnection&);
    void perform(std::size_t entry, const query::CloseConnection&);
    void perform(std::size_t entry, const query::SendSubquery&);
    void perform(std::size_t entry, const query::CancelSubquery&);
    void perform(std::size_t entry, const query::RequestClaim&);
    void perform(std::size_t entry, const query::SettleClaim&);
    void perform(std::size_t entry, const query::SendAnswer&);
    void perform(std::size_t entry, const query::SendRefusal&);
    void perform(std::size_t entry, const query::RecordUsage&) { static_cast<void>(entry); }
    void perform(std::size_t entry, const query::AnnounceLeaving&);
    void perform(std::size_t entry, const query::DrainComplete&) { static_cast<void>(entry); }
    void perform(std::size_t entry, const LogEvent&) { static_cast<void>(entry); }

    // Callers.
    void submitQuery(const ClassLoad&, ClassFigures&, std::size_t entry, const std::string& requestId, std::size_t resends);
    void checkAnswer(const query::SendAnswer&, Query&);
    void resend(const Query&);

    // Backend servers.
    Micros oneWayDelay(std::size_t entry, const Server&) const;
    bool isPartitioned(std::size_t entry, const Server&) const;
    void receiveSubquery(std::size_t job);
    void startQueuedJobs(Server&);
    void finishJob(std::size_t job, std::uint64_t incarnation);
    void reply(std::size_t job, query::ReplyStatus);
    void cancelJob(std::size_t job);
    void resetConnections(ServerId);
    Micros drawServiceTime(const Server&);
    query::ServerReport reportOf(const Server&) const;
    void sendReport(std::size_t entry, const Server&);
    void sendServerList(Micros delay);

    // Faults.
    void apply(const Fault&);
    static query::ShardRange shardAfterRepartition(std::size_t index, std::size_t shards);
    void switchSnapshot(const Fault&, bool repartition);
    void restart(const Fault&);

    const Deployment& m_deployment;
    const Scenario& m_scenario;
    Random m_random;
    TimePoint m_now {};
    TimePoint m_measureFrom {};
    TimePoint m_end {};
    std::uint64_t m_order = 0;
    std::priority_queue<ScheduledAction, std::vector<ScheduledAction>, std::greater<>> m_timeline;
    std::vector<Server> m_servers;
    std::deque<Entry> m_entries;
    std::deque<Job> m_jobs;
    std::unordered_map<std::uint64_t, Query> m_queries;
    std::map<std::string, Claim> m_claims;
    std::unordered_map<std::string, std::uint64_t> m_runs;
    std::uint64_t m_nextQuery = 1;
    double m_stragglerShare = 0;
    double m_stragglerFactor = 1;
    double m_urgentFactor = 1;
    Micros m_reportLag { 20'000 };
    std::optional<std::size_t> m_partitionedDataCentre;
    RunFigures m_figures;
};

} // namespace curranttrail::tools
