#pragma once

#include "query/entry_reducer.h"
#include "tests/core/take_effects.h"

#include <algorithm>
#include <map>
#include <set>
#include <string>
#include <variant>
#include <vector>

namespace curranttrail::query {

using std::chrono::milliseconds;

// Drives a reducer in virtual time. Connections open at once, or fail if failOpening is set; the test supplies the replies.
class EntryHarness {
public:
    explicit EntryHarness(std::uint64_t seed = 1, Micros drainTimeout = std::chrono::minutes { 5 })
        : reducer(makeOptions(seed, drainTimeout))
    {
    }

    static EntryOptions makeOptions(std::uint64_t seed, Micros drainTimeout)
    {
        EntryOptions options { "entry-1", "nile", "dc-1", seed, { { "dc-2", Micros { 500 } } } };
        options.drainTimeout = drainTimeout;
        return options;
    }

    void handle(const Event& event)
    {
        for (Effect& effect : reducer.handle(event, now)) {
            if (const OpenConnection* open = std::get_if<OpenConnection>(&effect)) {
                if (failOpening || ended.contains(open->server)) {
                    connectionEvents.push_back(ConnectionLost { open->connection });
                } else {
                    connections[open->connection] = open->server;
                    connectionEvents.push_back(ConnectionOpened { open->connection });
                }
            } else if (const CloseConnection* close = std::get_if<CloseConnection>(&effect)) {
                connections.erase(close->connection);
            }
            effects.push_back(std::move(effect));
        }
        while (!connectionEvents.empty()) {
            const Event next = connectionEvents.front();
            connectionEvents.erase(connectionEvents.begin());
            handle(next);
        }
    }

    void advance(Micros duration)
    {
        const TimePoint until = now + duration;
        while (reducer.nextWakeup() <= until) {
            now = std::max(now, reducer.nextWakeup());
            handle(Tick {});
        }
        now = until;
    }

    template <typename T>
    std::vector<T> takeEffects() { return tests::takeEffects<T>(effects); }

    template <typename T>
    T takeSingleEffect()
    {
        const std::vector<T> taken = takeEffects<T>();
        if (taken.size() != 1)
            throw std::runtime_error("expected one effect, got " + std::to_string(taken.size()));
        return taken.front();
    }

    static KeyRange rangeOf(std::uint64_t index, std::uint64_t count)
    {
        const std::uint64_t width = UINT64_MAX / count;
        return { index * width, index + 1 == count ? UINT64_MAX : (index + 1) * width };
    }

    static ServerId serverOf(std::uint64_t shard, std::uint64_t replica) { return ServerId { shard * 10 + replica + 1 }; }

    ListedServer listedServer(ServerId id) const
    {
        return { id, "server-" + std::to_string(id.value), "dc-1", "nile", "catalogue", slots, connectionLimit, false };
    }

    ServerReport report(std::uint64_t shard, std::uint64_t replica, const std::vector<std::uint64_t>& versions, bool draining = false) const
    {
        ServerReport report { serverOf(shard, replica), 0.1, draining, {} };
        for (std::uint64_t version : versions)
            report.held.push_back({ SnapshotVersion { version }, { "s" + std::to_string(shard), rangeOf(shard, shards) } });
        return report;
    }

    void confirmConfigurations()
    {
        for (const char* owner : { "nile", "stone" })
            handle(ConfigurationConfirmed { owner });
    }

    void configure(std::uint64_t version = 1)
    {
        OwnerConfiguration configuration { "nile", ConfigurationVersion { version }, {} };
        const auto add = [&](const char* name, Micros latency, double coverage, bool repeatable) {
            configuration.classes[name] = { name, "nile", "catalogue", 0.99, latency, coverage, repeatable, configuration.version };
        };
        add("search", milliseconds(100), 0.5, true);
        add("full", milliseconds(100), 1.0, true);
        add("bulk", milliseconds(400), 1.0, true);
        add("once", milliseconds(100), 1.0, false);
        handle(ConfigurationChanged { std::make_shared<const ClassTable>(ClassTable { { "nile", configuration } }) });
        confirmConfigurations();
    }

    void sendServerList()
    {
        ServerListChanged change;
        for (std::uint64_t shard = 0; shard < shards; ++shard) {
            for (std::uint64_t replica = 0; replica < replicas; ++replica)
                change.servers.push_back(listedServer(serverOf(shard, replica)));
        }
        handle(change);
    }

    void start(std::uint64_t shardCount = 4, std::uint64_t replicaCount = 2)
    {
        shards = shardCount;
        replicas = replicaCount;
        handle(EntryInstancesChanged { "entry-1", { "entry-1" } });
        configure();
        sendServerList();
        reportAll({ 1 });
        // Passes the grace period for new instances.
        advance(milliseconds(11'000));
        confirmConfigurations();
        effects.clear();
    }

    void reportAll(const std::vector<std::uint64_t>& versions)
    {
        for (std::uint64_t shard = 0; shard < shards; ++shard) {
            for (std::uint64_t replica = 0; replica < replicas; ++replica)
                handle(report(shard, replica, versions));
        }
    }

    QueryId submitQuery(const char* className, Micros timeout = milliseconds(1'000))
    {
        QueryArrived query { QueryId { ++lastQuery }, "nile", className, timeout, {}, {}, 1'000'000, "body-" + std::to_string(lastQuery) };
        query.requestId = "id-" + std::to_string(lastQuery);
        query.issuedAt = 1'000'000;
        handle(query);
        return query.query;
    }

    static SubqueryReplied replyTo(const SendSubquery& sent, ReplyStatus status = ReplyStatus::Ok)
    {
        return { sent.attempt, sent.connection, status, sent.snapshot, sent.shard, *sent.body, 1'000, std::nullopt };
    }

    void reply(const SendSubquery& sent, ReplyStatus status = ReplyStatus::Ok) { handle(replyTo(sent, status)); }

    // Replies to all sent subqueries after the given time.
    void replyAll(Micros after = milliseconds(2))
    {
        advance(after);
        for (const SendSubquery& sent : takeEffects<SendSubquery>())
            reply(sent);
    }

    // Ends the server of an attempt: all its connections are lost, and it takes no new ones.
    void endServer(const SendSubquery& sent)
    {
        ended.insert(sent.server);
        if (connections.contains(sent.connection))
            handle(SubqueryEnded { sent.attempt, sent.connection, AttemptProgress::BytesSent });
        std::vector<ConnectionId> lost;
        for (const auto& [connection, server] : connections) {
            if (server == sent.server)
                lost.push_back(connection);
        }
        for (const ConnectionId connection : lost) {
            connections.erase(connection);
            handle(ConnectionLost { connection });
        }
    }

    EntryReducer reducer;
    TimePoint now { Micros { 1'000'000 } };
    std::vector<Effect> effects;
    std::vector<Event> connectionEvents;
    std::map<ConnectionId, ServerId> connections;
    std::set<ServerId> ended;
    std::uint64_t shards = 0;
    std::uint64_t replicas = 0;
    std::uint32_t slots = 2;
    std::uint32_t connectionLimit = 25;
    std::uint64_t lastQuery = 0;
    bool failOpening = false;
};

} // namespace curranttrail::query
