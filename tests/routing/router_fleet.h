#pragma once

#include "core/random.h"
#include "routing/router.h"
#include "tests/routing/router_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <boost/random/uniform_real_distribution.hpp>
#include <fmt/format.h>

#include <map>
#include <memory>
#include <optional>
#include <string>
#include <unordered_map>
#include <utility>
#include <vector>

namespace curranttrail::routing {

// Many instances, each with its router, that send requests to the same simulated servers. Virtual time in steps of 5 ms.
class RouterFleet {
public:
    struct SimulatedServer {
        // Connections beyond this number are accepted and reset.
        std::size_t connectionLimit = 1'000;
        std::size_t connections = 0;
        // The limit that replies name.
        std::optional<double> namedLimit;
        // When each instance first got a reply that names a limit.
        std::map<std::size_t, TimePoint> informedAt;
        // Arrival times of requests, oldest first, and of those from instances that had been informed of the limit for a while.
        std::vector<TimePoint> arrivals;
        std::vector<TimePoint> informedArrivals;
    };

    struct RouteLoad {
        std::string path;
        double requestsPerSecond = 0;
    };

    struct Outcomes {
        std::size_t served = 0;
        std::size_t partial = 0;
        std::size_t refused = 0;
        // Refusals of requests that had been held for more than a quarter of the latency objective of 100 ms.
        std::size_t refusedLate = 0;
        Micros shortestRetryAfter = Micros::max();
        Micros longestRetryAfter { 0 };
    };

    RouterFleet(std::size_t instances, std::uint64_t seed)
        : random(seed)
    {
        for (std::size_t n = 0; n < instances; ++n) {
            names.push_back(fmt::format("gateway-{}", n));
            routers.push_back(makeRouter(n));
        }
    }

    void addServer(const std::string& instance, const CollectionName& collection, std::uint32_t connectionLimit)
    {
        serverList.push_back({ instance, collection, instance, "dc-a", 2, false, Micros { 0 } });
        document->collections[collection] = { collection, connectionLimit };
        servers[instance].connectionLimit = connectionLimit;
    }

    // Publishes the document and the servers, and lets the instances learn of each other.
    void start()
    {
        document->version = 1;
        for (std::size_t n = 0; n < routers.size(); ++n)
            connectToControl(n);
        run(milliseconds { 11'000 });
    }

    // Sends the servers to all instances except the last ones, which are cut off from control.
    void publish(std::size_t cutOff = 0, Micros age = Micros { 0 })
    {
        for (std::size_t n = 0; n + cutOff < routers.size(); ++n)
            handle(n, ServerListReceived { serverList, age });
    }

    // Replaces an instance by a new process. Its requests are lost.
    void restart(std::size_t instance)
    {
        std::erase_if(m_pending, [&](const auto& entry) { return entry.second.first == instance; });
        std::erase_if(m_connections, [&](const auto& entry) {
            if (entry.first.first != instance)
                return false;
            --servers.at(entry.second).connections;
            return true;
        });
        for (auto& [name, server] : servers)
            server.informedAt.erase(instance);
        routers[instance] = makeRouter(instance);
        connectToControl(instance);
    }

    // Lets the process of an instance stand still for a time; replies that arrive meanwhile are read afterwards.
    void pause(std::size_t instance, milliseconds duration) { m_pausedUntil[instance] = now + duration; }

    void run(milliseconds duration)
    {
        for (const TimePoint until = now + duration; now < until; now += kStep) {
            while (!m_pending.empty() && m_pending.begin()->first <= now) {
                const auto [instance, event] = m_pending.begin()->second;
                m_pending.erase(m_pending.begin());
                if (isPaused(instance))
                    m_pending.emplace(m_pausedUntil[instance], std::make_pair(instance, event));
                else
                    handle(instance, event);
            }
            for (const RouteLoad& load : loads) {
                const double expected = load.requestsPerSecond * std::chrono::duration<double>(kStep).count();
                if (boost::random::uniform_real_distribution<double>(0, 1)(random) < expected)
                    sendRequest(load.path);
            }
            for (std::size_t n = 0; n < routers.size(); ++n) {
                if (!isPaused(n) && routers[n]->nextWakeup() <= now)
                    handle(n, Tick {});
            }
        }
    }

    // Returns the most times in any window of the given length, of those not before the given time.
    static std::size_t mostInWindow(const std::vector<TimePoint>& times, Micros window, TimePoint from)
    {
        std::size_t most = 0;
        std::size_t first = 0;
        for (std::size_t last = 0; last < times.size(); ++last) {
            while (first < last && (times[first] < from || times[last] - times[first] > window))
                ++first;
            if (times[first] >= from)
                most = std::max(most, last + 1 - first);
        }
        return most;
    }

    static constexpr milliseconds kStep { 5 };
    static constexpr milliseconds kConnectTime { 8 };
    static constexpr milliseconds kInformedDelay { 500 };
    static constexpr milliseconds kLatencyObjective { 100 };

    Random random;
    TimePoint now { Micros { 1'000'000 } };
    std::shared_ptr<RouteDocument> document = std::make_shared<RouteDocument>();
    ServerList serverList;
    std::map<std::string, SimulatedServer> servers;
    std::vector<RouteLoad> loads;
    std::map<std::string, Outcomes> outcomes;
    std::vector<InstanceName> names;
    std::vector<std::unique_ptr<Router>> routers;

private:
    struct CallerRequest {
        std::string path;
        TimePoint sentAt;
    };

    std::unique_ptr<Router> makeRouter(std::size_t instance)
    {
        return std::make_unique<Router>(RouterOptions { names[instance], "dc-a", random(), { 0.2, 400, Micros { 10'000'000 } } });
    }

    void connectToControl(std::size_t instance)
    {
        handle(instance, EntryInstancesChanged { names });
        handle(instance, RouteDocumentUpdated { document });
        handle(instance, ServerListReceived { serverList, Micros { 0 } });
    }

    bool isPaused(std::size_t instance) const
    {
        const auto it = m_pausedUntil.find(instance);
        return it != m_pausedUntil.end() && now < it->second;
    }

    void sendRequest(const std::string& path)
    {
        const std::size_t instance = boost::random::uniform_int_distribution<std::size_t>(0, routers.size() - 1)(random);
        const RequestKey key { ++m_lastRequest };
        m_requests[key] = { path, now };
        const Event arrived { RequestArrived { key, "id", "site", path } };
        if (isPaused(instance))
            m_pending.emplace(m_pausedUntil[instance], std::make_pair(instance, arrived));
        else
            handle(instance, arrived);
    }

    void handle(std::size_t instance, const Event& event)
    {
        const AttemptReplied* replied = std::get_if<AttemptReplied>(&event);
        if (replied && replied->reply.limit)
            servers.at(replied->reply.stamp).informedAt.emplace(instance, now);
        for (Effect& effect : routers[instance]->handle(event, now))
            std::visit([&](const auto& content) { run(instance, content); }, effect);
    }

    void run(std::size_t, const LogEvent&) { }

    void run(std::size_t instance, const OpenConnection& effect)
    {
        SimulatedServer& server = servers.at(effect.address);
        m_connections[{ instance, effect.connection }] = effect.address;
        m_pending.emplace(now + kConnectTime, std::make_pair(instance, Event { ConnectionOpened { effect.connection } }));
        if (++server.connections <= server.connectionLimit)
            return;
        close(instance, effect.connection);
        m_pending.emplace(now + kConnectTime + kStep, std::make_pair(instance, Event { ConnectionLost { effect.connection, "reset" } }));
    }

    void run(std::size_t instance, const CloseConnection& effect) { close(instance, effect.connection); }

    void close(std::size_t instance, ConnectionId connection)
    {
        const auto it = m_connections.find({ instance, connection });
        if (it == m_connections.end())
            return;
        --servers.at(it->second).connections;
        m_connections.erase(it);
    }

    void run(std::size_t instance, const SendAttempt& effect)
    {
        // A request on a connection that the server resets gets no reply.
        if (!m_connections.contains({ instance, effect.connection }))
            return;
        SimulatedServer& server = servers.at(effect.instance);
        server.arrivals.push_back(now);
        const auto informed = server.informedAt.find(instance);
        if (informed != server.informedAt.end() && now - informed->second >= kInformedDelay)
            server.informedArrivals.push_back(now);
        const milliseconds serviceTime { boost::random::uniform_int_distribution<int>(10, 20)(random) };
        AttemptReplied event { effect.attempt, RouterHarness::success(effect.instance) };
        if (server.namedLimit)
            event.reply.limit = NamedLimit { server.namedLimit };
        m_pending.emplace(now + serviceTime, std::make_pair(instance, Event { std::move(event) }));
    }

    void run(std::size_t, const AnswerReply& effect) { ++outcomes[finish(effect.request).path].served; }

    void run(std::size_t, const AnswerMerged& effect)
    {
        Outcomes& outcome = outcomes[finish(effect.request).path];
        ++outcome.served;
        outcome.partial += effect.missing > 0 ? 1 : 0;
    }

    void run(std::size_t, const ReportQuotas&) { }
    void run(std::size_t, const RefuseRequest& effect)
    {
        const CallerRequest request = finish(effect.request);
        Outcomes& outcome = outcomes[request.path];
        ++outcome.refused;
        outcome.refusedLate += now - request.sentAt > kLatencyObjective / 4 ? 1 : 0;
        if (!effect.retryAfter)
            return;
        outcome.shortestRetryAfter = std::min(outcome.shortestRetryAfter, *effect.retryAfter);
        outcome.longestRetryAfter = std::max(outcome.longestRetryAfter, *effect.retryAfter);
    }

    CallerRequest finish(RequestKey key)
    {
        const auto it = m_requests.find(key);
        CallerRequest request = std::move(it->second);
        m_requests.erase(it);
        return request;
    }

    std::unordered_map<RequestKey, CallerRequest> m_requests;
    std::map<std::pair<std::size_t, ConnectionId>, std::string> m_connections;
    std::multimap<TimePoint, std::pair<std::size_t, Event>> m_pending;
    std::map<std::size_t, TimePoint> m_pausedUntil;
    std::uint64_t m_lastRequest = 0;
};

} // namespace curranttrail::routing
