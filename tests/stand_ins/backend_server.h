#pragma once

#include "core/random.h"
#include "core/units.h"
#include "query/messages.h"
#include "transport/http_server.h"
#include "transport/io_threads.h"

#include <atomic>
#include <deque>
#include <list>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace curranttrail::stand_ins {

// What a backend server does; all of it may change at run time.
struct BackendBehaviour {
    std::uint32_t slots = 2;
    // Requests that may wait for a slot; more are shed.
    std::size_t queueLimit = 32;
    // Median and spread of the log-normal service time.
    Micros serviceTime { 4'000 };
    double serviceSigma = 0.2;
    double slowFactor = 1;
    // Share of requests that take longer by the factor, whichever server they meet.
    double stragglerShare = 0;
    double stragglerFactor = 10;
    // Extra time before the first reply on a connection, in place of the cost of opening it.
    Micros openTime { 0 };
    // Service time is up to coldStartFactor times longer at start and falls to normal over this time.
    Micros coldStartTime { 0 };
    double coldStartFactor = 5;
    // Reported load is as old as this, at most.
    Micros loadLag { 0 };
    std::optional<double> reportedLoad;
    bool draining = false;
    // Replies leave later than the work is done, by a fixed and a random time. The random part changes their order.
    Micros replyDelay { 0 };
    Micros replyShuffle { 0 };
    // Share of replies that carry another attempt's number, or a failure.
    double wrongAttemptShare = 0;
    double failShare = 0;
};

struct BackendCounts {
    std::uint64_t started = 0;
    std::uint64_t completed = 0;
    std::uint64_t shed = 0;
    std::uint64_t snapshotGone = 0;
    std::uint64_t cancelled = 0;
    // How often each request id was started.
    std::map<std::string, std::uint64_t> runs;
};

// One backend server with its own port, slots and queue.
class BackendServer : public std::enable_shared_from_this<BackendServer> {
public:
    BackendServer(transport::IoThreads& threads, std::string name, std::uint64_t seed, const BackendBehaviour& behaviour, std::size_t connectionLimit,
        transport::Endpoint bind);

    // Opens the port; the port stays the same after stop() and start().
    void start();
    // Closes the port and all connections at once.
    void stop();

    const std::string& name() const { return m_name; }
    transport::Endpoint address() const;

    template <typename Change>
    void change(Change&& change)
    {
        const std::lock_guard lock(m_mutex);
        change(m_behaviour);
    }

    void holdShard(const query::HeldShard& held);
    void dropSnapshot(SnapshotVersion snapshot);
    // Requests on connections that are open now never get a reply; new connections work.
    void silenceConnections();
    BackendCounts counts() const;
    // Requests that run or wait.
    std::size_t jobCount() const;

private:
    struct Job {
        transport::HttpRequest request;
        transport::Responder responder;
        std::string attempt;
        TimePoint deadline;
        bool running = false;
        bool cancelled = false;
        Micros serviceTime { 0 };
    };
    using JobPointer = std::shared_ptr<Job>;

    void handle(const transport::HttpRequest& request, const transport::Responder& responder);
    void report(const transport::Responder& responder);
    void cancel(const transport::HttpRequest& request, const transport::Responder& responder);
    void subquery(const transport::HttpRequest& request, const transport::Responder& responder);
    void startNext();
    void run(const JobPointer& job);
    void finish(const JobPointer& job);
    void reply(const JobPointer& job, transport::HttpResponse response, Micros delay);
    transport::HttpResponse makeReply(const Job& job);
    void addReplyFields(const Job& job, transport::HttpResponse& response);
    const query::HeldShard* findHeld(const transport::HttpRequest& request) const;
    Micros drawServiceTime();
    bool occursWithProbability(double share);
    double load();

    transport::IoThreads& m_threads;
    const std::string m_name;
    const std::size_t m_connectionLimit;
    transport::Endpoint m_bind;
    mutable std::mutex m_mutex;
    Random m_random;
    BackendBehaviour m_behaviour;
    std::vector<query::HeldShard> m_held;
    std::deque<JobPointer> m_queue;
    std::list<JobPointer> m_running;
    std::set<std::string> m_connections;
    std::set<std::string> m_silentConnections;
    std::vector<transport::Responder> m_unansweredResponders;
    BackendCounts m_counts;
    TimePoint m_startedAt;
    double m_sampledLoad = 0;
    TimePoint m_loadSampledAt;
    std::unique_ptr<transport::HttpServer> m_server;
};

} // namespace curranttrail::stand_ins
