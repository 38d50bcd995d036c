#pragma once

#include "routing/router.h"
#include "tests/core/take_effects.h"

#include <fmt/format.h>

#include <algorithm>
#include <map>
#include <memory>
#include <optional>
#include <set>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

namespace curranttrail::routing {

using std::chrono::milliseconds;

// Drives a router in virtual time. Connections open at once unless openConnections is false; the test supplies the replies.
class RouterHarness {
public:
    explicit RouterHarness(double allowance = 1'000)
        : router({ "gateway-1", "dc-a", 7, { 0.2, allowance, Micros { 10'000'000 } } })
    {
        handle(EntryInstancesChanged { { "gateway-1" } });
        // Passes the grace period in which a new instance assumes that others exist.
        advance(milliseconds { 11'000 });
    }

    // Sets up shards with two servers each, a collection "orders" with three servers, and routes to them.
    void setUpCollections(std::size_t shards, double minimumCoverage = 0.75, std::uint64_t version = 1)
    {
        document = std::make_shared<RouteDocument>();
        document->version = version;
        ScatterTarget scatter { {}, minimumCoverage, 3 };
        serverList.clear();
        for (std::size_t n = 0; n < shards; ++n) {
            scatter.shards.push_back(fmt::format("shard{}", n));
            document->collections[scatter.shards.back()] = { scatter.shards.back(), 100 };
            addServer(fmt::format("s{}a", n), scatter.shards.back());
            addServer(fmt::format("s{}b", n), scatter.shards.back());
        }
        document->collections["orders"] = { "orders", 100 };
        for (const char* name : { "o1", "o2", "o3" })
            addServer(name, "orders");
        document->routes.push_back({ "search", "site", "/search/", true, milliseconds { 600 }, milliseconds { 100 }, 1, 2, scatter });
        document->routes.push_back({ "order", "site", "/order/", true, milliseconds { 2'000 }, milliseconds { 400 }, 2, 2, SingleTarget { "orders" } });
        document->routes.push_back({ "book", "site", "/book/", false, milliseconds { 2'000 }, milliseconds { 400 }, 2, 2, SingleTarget { "orders" } });
        handle(RouteDocumentUpdated { document });
        publish();
        for (int n = 0; n < 10; ++n)
            advance(milliseconds { 100 });
        handle(ControlContacted {});
    }

    void addServer(const std::string& instance, const CollectionName& collection)
    {
        const auto dataCentre = dataCentres.find(instance);
        serverList.push_back({ instance, collection, fmt::format("10.0.0.{}:80", serverList.size() + 1), dataCentre == dataCentres.end() ? "dc-a" : dataCentre->second, 2, false, Micros { 0 } });
    }

    const std::string& addressOf(std::string_view instance) const
    {
        return std::find_if(serverList.begin(), serverList.end(), [&](const ServerRecord& record) { return record.instance == instance; })->address;
    }

    void publish() { handle(ServerListReceived { serverList, Micros { 0 } }); }

    void handle(const Event& event)
    {
        for (Effect& effect : router.handle(event, now)) {
            if (const OpenConnection* open = std::get_if<OpenConnection>(&effect)) {
                ++openedConnections;
                if (!open->relay.empty())
                    relayedConnections.insert(open->connection.value);
                if (openConnections && (!open->relay.empty() || !unreachableAddresses.contains(open->address)))
                    openingConnections.push_back(open->connection);
            }
            if (const SendAttempt* send = std::get_if<SendAttempt>(&effect))
                sent.push_back(*send);
            else
                effects.push_back(std::move(effect));
        }
        while (!openingConnections.empty()) {
            const ConnectionId next = openingConnections.back();
            openingConnections.pop_back();
            handle(ConnectionOpened { next });
        }
    }

    void advance(Micros duration)
    {
        const TimePoint until = now + duration;
        while (router.nextWakeup() <= until) {
            now = std::max(now, router.nextWakeup());
            handle(Tick {});
        }
        now = until;
    }

    RequestKey sendRequest(const std::string& path, std::optional<Micros> callerTimeout = std::nullopt)
    {
        const RequestKey key { ++lastKey };
        handle(RequestArrived { key, fmt::format("id-{}", key.value), "site", path, callerTimeout });
        return key;
    }

    // Removes and returns the attempts sent since the last call.
    std::vector<SendAttempt> takeSent() { return std::exchange(sent, {}); }

    static ServerReply success(const std::string& stamp, const std::string& body = "")
    {
        ServerReply reply;
        reply.kind = ReplyKind::Success;
        reply.status = 200;
        reply.stamp = stamp;
        reply.body = body;
        return reply;
    }

    static ServerReply failure(ReplyKind kind, unsigned status)
    {
        ServerReply reply;
        reply.kind = kind;
        reply.status = status;
        return reply;
    }

    void reply(const SendAttempt& send, ServerReply reply) { handle(AttemptReplied { send.attempt, std::move(reply) }); }

    template <typename T>
    std::vector<T> takeEffects() { return tests::takeEffects<T>(effects); }

    Router router;
    TimePoint now { Micros { 1'000'000 } };
    std::shared_ptr<RouteDocument> document;
    ServerList serverList;
    // Data centres of servers that are added; dc-a for the others.
    std::map<std::string, DataCentreName> dataCentres;
    std::vector<Effect> effects;
    std::vector<SendAttempt> sent;
    std::vector<ConnectionId> openingConnections;
    bool openConnections = true;
    // Servers at these addresses accept no direct connection and refuse none.
    std::set<std::string> unreachableAddresses;
    std::set<std::uint64_t> relayedConnections;
    std::size_t openedConnections = 0;
    std::uint64_t lastKey = 0;
};

} // namespace curranttrail::routing
