#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <memory>
#include <string>
#include <string_view>
#include <variant>
#include <vector>

// Routes of raw HTTP requests to collections of backend servers.
namespace curranttrail::routing {

// Every request goes to one server of the collection.
struct SingleTarget {
    CollectionName collection;
};

struct WeightedCollection {
    CollectionName collection;
    double weight = 0;
};

// Requests are spread over the collections in proportion to their weights.
struct SplitTarget {
    std::vector<WeightedCollection> parts;
};

// Every request goes to one server of each shard, and the parts are merged.
struct ScatterTarget {
    std::vector<CollectionName> shards;
    // The least share of the shards that an answer must include, from 0 to 1.
    double minimumCoverage = 1;
    // The number of records in the merged answer.
    std::uint32_t recordLimit = 0;
};

using Target = std::variant<SingleTarget, SplitTarget, ScatterTarget>;

struct Route {
    std::string name;
    std::string host;
    // The longest prefix of the path selects the route.
    std::string prefix;
    // False for requests that may run at most once.
    bool repeatable = false;
    // The longest time that a request may be kept waiting.
    Micros timeout { 0 };
    // An answer within this time is worth most to the caller.
    Micros latencyObjective { 0 };
    // 0 is the most urgent.
    std::uint32_t priority = 0;
    // The most servers of a collection that one request may be sent to.
    std::uint32_t maximumAttempts = 1;
    Target target;
};

struct CollectionSpec {
    CollectionName name;
    // Connections that a server of the collection accepts from all callers together.
    std::uint32_t connectionLimit = 0;
};

// What callers may send, and how long they may take.
struct CallerLimits {
    std::size_t headerBytes = 16'384;
    std::size_t bodyBytes = 262'144;
    Micros headerTime { 3'000'000 };
    Micros idleTime { 15'000'000 };
};

// One version of the whole configuration of routes.
struct RouteDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<CollectionName, CollectionSpec> collections;
    CallerLimits limits;
};

// Returns why the document must be refused, empty if it is valid.
std::string invalidReason(const RouteDocument& document);

// Finds the route of a request: the longest matching prefix among the routes of its host.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const RouteDocument> document);

    // Returns nothing if no route matches. The port of a host is ignored.
    const Route* find(std::string_view host, std::string_view path) const;
    const RouteDocument& document() const { return *m_document; }

private:
    std::shared_ptr<const RouteDocument> m_document;
    // The routes of each host by prefix.
    std::map<std::string, std::map<std::string, const Route*, std::less<>>, std::less<>> m_hosts;
};

} // namespace curranttrail::routing
