#pragma once

#include "core/random.h"
#include "routing/router.h"
#include "tests/routing/router_harness.h"

#include <boost/random/uniform_int_distribution.hpp>
#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <string>
#include <utility>
#include <vector>

namespace curranttrail::routing {

// More instances than a server accepts connections, each with its router, and shards of three servers spread over data centres.
// Each instance sends a query a second; the servers reply after 10 to 20 ms. Virtual time, one step each 5 ms.
struct OversubscribedFleet {
    explicit OversubscribedFleet(std::size_t dataCentres, std::size_t instances = kKeepingInstances, milliseconds latencyObjective = milliseconds { 100 })
    {
        constexpr std::size_t kShards = 20;
        document->version = 1;
        ScatterTarget scatter { {}, 0.9, 3 };
        ServerList serverList;
        std::vector<InstanceName> names;
        for (std::size_t n = 0; n < instances; ++n)
            names.push_back(fmt::format("gateway-{}", n));
        for (std::size_t shard = 0; shard < kShards; ++shard) {
            scatter.shards.push_back(fmt::format("shard{}", shard));
            document->collections[scatter.shards.back()] = { scatter.shards.back(), kConnectionLimit };
            for (int replica = 0; replica < 3; ++replica) {
                const std::string name = fmt::format("i-{}-{}", shard, replica);
                dataCentreOf[name] = fmt::format("dc-{}", serverList.size() % dataCentres);
                serverList.push_back({ name, scatter.shards.back(), name, dataCentreOf[name], 2, false, Micros { 0 } });
            }
        }
        document->routes.push_back({ "search", "site", "/search/", true, milliseconds { 600 }, latencyObjective, 1, 2, scatter });
        std::map<InstanceName, DataCentreName> dataCentreOfInstance;
        for (std::size_t n = 0; n < instances; ++n)
            dataCentreOfInstance[names[n]] = fmt::format("dc-{}", n % dataCentres);
        for (std::size_t n = 0; n < instances; ++n) {
            ownDataCentre.push_back(dataCentreOfInstance[names[n]]);
            routers.push_back(std::make_unique<Router>(RouterOptions { names[n], ownDataCentre.back(), n, { 0.2, 400, Micros { 10'000'000 } } }));
            handle(n, EntryInstancesChanged { names, dataCentreOfInstance });
            handle(n, RouteDocumentUpdated { document });
            handle(n, ServerListReceived { serverList, Micros { 0 } });
        }
    }

    void run(milliseconds duration)
    {
        for (const TimePoint until = now + duration; now < until; now += kStep) {
            while (!pending.empty() && pending.begin()->first <= now) {
                const auto [instance, event] = pending.begin()->second;
                pending.erase(pending.begin());
                handle(instance, event);
            }
            for (std::size_t n = 0; n < routers.size(); ++n) {
                if (sendsQueries && ++steps % kStepsPerQuery == 0)
                    handle(n, RequestArrived { { ++lastRequest }, "id", "site", "/search/x" });
                if (routers[n]->nextWakeup() <= now)
                    handle(n, Tick {});
            }
        }
    }

    static constexpr std::uint32_t kConnectionLimit = 59;
    // With the first number of instances each may keep connections to two of three servers, with the second to one.
    static constexpr std::size_t kKeepingInstances = 74;
    static constexpr std::size_t kSharingInstances = 150;
    bool sendsQueries = true;
    // Time that servers need beyond the usual.
    std::map<std::string, milliseconds> additionalTime;
    std::map<std::string, std::uint32_t> open;
    std::map<std::string, std::uint32_t> mostOpen;
    std::size_t attempts = 0;
    std::size_t localAttempts = 0;
    std::size_t opened = 0;

    static constexpr milliseconds kStep { 5 };
    // Every n-th step over all instances starts a query: about one a second and instance, since a second has 200 steps. A prime, so that
    // all instances get queries.
    static constexpr std::size_t kStepsPerQuery = 199;
    static constexpr milliseconds kConnectTime { 8 };

    void handle(std::size_t instance, const Event& event)
    {
        for (Effect& effect : routers[instance]->handle(event, now))
            std::visit([&](const auto& content) { run(instance, content); }, effect);
    }

    template <typename Other>
    void run(std::size_t, const Other&) { }

    void run(std::size_t instance, const OpenConnection& effect)
    {
        servers[{ instance, effect.connection }] = effect.address;
        mostOpen[effect.address] = std::max(mostOpen[effect.address], ++open[effect.address]);
        ++opened;
        pending.emplace(now + kConnectTime, std::make_pair(instance, Event { ConnectionOpened { effect.connection } }));
    }

    void run(std::size_t instance, const CloseConnection& effect) { --open[servers.at({ instance, effect.connection })]; }

    void run(std::size_t instance, const SendAttempt& effect)
    {
        ++attempts;
        localAttempts += dataCentreOf.at(effect.instance) == ownDataCentre[instance] ? 1 : 0;
        const milliseconds serviceTime = milliseconds { boost::random::uniform_int_distribution<int>(10, 20)(random) } + additionalTime[effect.instance];
        pending.emplace(now + serviceTime, std::make_pair(instance, Event { AttemptReplied { effect.attempt, RouterHarness::success("stamp") } }));
    }

    std::shared_ptr<RouteDocument> document = std::make_shared<RouteDocument>();
    std::vector<std::unique_ptr<Router>> routers;
    std::vector<DataCentreName> ownDataCentre;
    std::map<std::string, DataCentreName> dataCentreOf;
    std::map<std::pair<std::size_t, ConnectionId>, std::string> servers;
    std::multimap<TimePoint, std::pair<std::size_t, Event>> pending;
    TimePoint now { Micros { 1'000'000 } };
    std::size_t steps = 0;
    std::uint64_t lastRequest = 0;
    Random random { 7 };
};

} // namespace curranttrail::routing
