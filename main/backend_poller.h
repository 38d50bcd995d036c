#pragma once

#include "core/random.h"
#include "core/units.h"
#include "main/server_directory.h"
#include "query/messages.h"
#include "transport/event_sink.h"
#include "transport/http_client.h"
#include "transport/io_threads.h"

#include <functional>
#include <memory>
#include <mutex>
#include <set>

namespace curranttrail {

struct PollOptions {
    transport::Endpoint platform;
    Micros instancesInterval { 1'000'000 };
    // Each server is polled once per interval, at a random time within it.
    Micros reportInterval { 1'000'000 };
    Micros timeout { 1'000'000 };
    std::uint64_t seed = 0;
};

// Polls the platform's server list and each server's report. If a source does not answer, its last data stays in use.
class BackendPoller {
public:
    using EventCallback = std::function<void(query::Event)>;

    BackendPoller(transport::IoThreads& threads, PollOptions options, ServerDirectory& directory, transport::EventSink& sink, EventCallback post);
    // The I/O threads must have been stopped before.
    ~BackendPoller();
    void start();

private:
    void pollInstances();
    void handleInstances(const transport::HttpResult& result);
    void pollReports();
    void pollReport(ServerId server, const transport::Endpoint& address);
    void recordPollResult(const std::string& source, bool succeeded, const std::string& reason);

    transport::IoThreads& m_threads;
    const PollOptions m_options;
    ServerDirectory& m_directory;
    transport::EventSink& m_sink;
    EventCallback m_post;
    transport::HttpClient m_client;
    std::mutex m_mutex;
    Random m_random;
    // Sources whose last poll failed. Only the first failure and the recovery of a source are logged.
    std::set<std::string> m_failingSources;
};

} // namespace curranttrail
