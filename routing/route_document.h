#pragma once

#include "core/ids.h"
#include "core/key_digest.h"
#include "core/units.h"
#include "policy/account_quota.h"

#include <cstdint>
#include <map>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <unordered_map>
#include <variant>
#include <vector>

// Routing of raw HTTP requests to collections of backend servers.
namespace curranttrail::routing {

// Every request goes to one server of the collection.
struct SingleTarget {
    CollectionName collection;
};

struct WeightedCollection {
    CollectionName collection;
    double weight = 0;
};

// Requests are distributed over the collections in proportion to their weights.
struct SplitTarget {
    std::vector<WeightedCollection> parts;
};

// Every request goes to one server of each shard, and the shard replies are merged.
struct ScatterTarget {
    std::vector<CollectionName> shards;
    // Minimum fraction of the shards that an answer must include, from 0 to 1.
    double minimumCoverage = 1;
    // Maximum number of records in the merged answer.
    std::uint32_t recordLimit = 0;
};

using Target = std::variant<SingleTarget, SplitTarget, ScatterTarget>;

struct Route {
    std::string name;
    std::string host;
    // Path prefix. The longest matching prefix selects the route.
    std::string prefix;
    // False if a request must run at most once.
    bool repeatable = false;
    // Maximum time until a request is answered or refused.
    Micros timeout { 0 };
    // Answer time that the service level objective asks for.
    Micros latencyObjective { 0 };
    // Lower values are more urgent; 0 is the most urgent.
    std::uint32_t priority = 0;
    // Maximum number of servers of a collection that may run one request.
    std::uint32_t maximumAttempts = 1;
    Target target;
    // True if requests need no key even where the document names client accounts.
    bool isPublic = false;
};

struct CollectionSpec {
    CollectionName name;
    // Maximum number of connections that a server of the collection accepts from all clients together.
    std::uint32_t connectionLimit = 0;
    // Requests a second that a server takes from all instances together while it is cold; 0 if there is no such limit.
    double coldRequestsPerSecond = 0;
};

// A client account, on whose behalf callers send requests.
struct ClientAccount {
    std::string name;
    // Digests of the secret keys by which callers identify the account.
    std::vector<KeyDigest> keys;
    // Takes precedence over the priority of the route.
    std::optional<std::uint32_t> priority;
    // Requests a second over all instances, and how many more may come at once; a rate of 0 is no limit.
    double requestsPerSecond = 0;
    double burst = 0;
};

// Size limits and timeouts for callers' requests.
struct CallerLimits {
    std::size_t maximumHeaderBytes = 16'384;
    std::size_t maximumBodyBytes = 262'144;
    Micros headerTimeout { 3'000'000 };
    Micros idleTimeout { 15'000'000 };
};

// One version of the complete routing configuration.
struct RouteDocument {
    std::uint64_t version = 0;
    std::vector<Route> routes;
    std::map<CollectionName, CollectionSpec> collections;
    // Client accounts by name. Without a value, callers need no keys.
    std::optional<std::vector<ClientAccount>> accounts;
    CallerLimits limits;
};

// Returns the reason why the document is invalid, or an empty string if it is valid.
std::string invalidReason(const RouteDocument& document);

// Returns the quotas of the accounts that have one.
policy::AccountQuotas quotasOf(const std::vector<ClientAccount>& accounts);
policy::AccountQuotas quotasOf(const RouteDocument& document);

// Finds the route of a request by its host and the longest matching path prefix, and the client account by its key.
class RouteTable {
public:
    explicit RouteTable(std::shared_ptr<const RouteDocument> document);

    // Returns null if no route matches. The port of the host is ignored.
    const Route* find(std::string_view host, std::string_view path) const;
    // Returns null if no account has the key.
    const ClientAccount* findAccount(const KeyDigest& key) const;
    // Returns whether the document names client accounts, so that requests need a key.
    bool hasAccounts() const { return m_document->accounts.has_value(); }
    const RouteDocument& document() const { return *m_document; }

private:
    std::shared_ptr<const RouteDocument> m_document;
    // Routes by host and prefix.
    std::map<std::string, std::map<std::string, const Route*, std::less<>>, std::less<>> m_hosts;
    std::unordered_map<KeyDigest, const ClientAccount*> m_accounts;
};

} // namespace curranttrail::routing
