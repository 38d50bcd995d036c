#include "routing/route_document.h"

#include <fmt/format.h>

#include <algorithm>
#include <cmath>
#include <set>
#include <utility>

namespace curranttrail::routing {

namespace {

    std::string unknown(const Route& route, const CollectionName& name)
    {
        return fmt::format("route \"{}\" refers to the unknown collection \"{}\"", route.name, name);
    }

    // Checks the target of one route against the collections of the document.
    class TargetCheck {
    public:
        TargetCheck(const RouteDocument& document, const Route& route)
            : m_document(document)
            , m_route(route)
        {
        }

        std::string operator()(const SingleTarget& target) const
        {
            return m_document.collections.contains(target.collection) ? std::string {} : unknown(m_route, target.collection);
        }

        std::string operator()(const SplitTarget& target) const
        {
            double sum = 0;
            for (const WeightedCollection& part : target.parts) {
                if (!m_document.collections.contains(part.collection))
                    return unknown(m_route, part.collection);
                if (!std::isfinite(part.weight) || part.weight < 0)
                    return fmt::format("route \"{}\" has a weight that is negative or not finite", m_route.name);
                sum += part.weight;
            }
            return sum > 0 ? std::string {} : fmt::format("the weights of route \"{}\" add up to 0", m_route.name);
        }

        std::string operator()(const ScatterTarget& target) const
        {
            if (target.shards.empty())
                return fmt::format("route \"{}\" lists no shards", m_route.name);
            std::set<CollectionName> seen;
            for (const CollectionName& shard : target.shards) {
                if (!m_document.collections.contains(shard))
                    return unknown(m_route, shard);
                if (!seen.insert(shard).second)
                    return fmt::format("route \"{}\" lists the shard \"{}\" twice", m_route.name, shard);
            }
            if (!(target.minimumCoverage >= 0 && target.minimumCoverage <= 1))
                return fmt::format("the minimum coverage of route \"{}\" is not between 0 and 1", m_route.name);
            return {};
        }

    private:
        const RouteDocument& m_document;
        const Route& m_route;
    };

    std::string sharedKeyReason(const std::vector<ClientAccount>& accounts)
    {
        std::unordered_map<KeyDigest, const ClientAccount*> owners;
        for (const ClientAccount& account : accounts) {
            for (const KeyDigest& key : account.keys) {
                const ClientAccount* owner = owners.try_emplace(key, &account).first->second;
                if (owner != &account)
                    return fmt::format("the client accounts \"{}\" and \"{}\" share a key", owner->name, account.name);
            }
        }
        return {};
    }

} // namespace

std::string invalidReason(const RouteDocument& document)
{
    if (document.version == 0)
        return "the document version is 0";
    std::set<std::pair<std::string, std::string>> places;
    for (const Route& route : document.routes) {
        if (!places.emplace(route.host, route.prefix).second)
            return fmt::format("two routes have the host \"{}\" and the prefix \"{}\"", route.host, route.prefix);
        if (route.timeout <= Micros { 0 })
            return fmt::format("the timeout of route \"{}\" is not positive", route.name);
        if (std::string reason = std::visit(TargetCheck(document, route), route.target); !reason.empty())
            return reason;
    }
    return document.accounts ? sharedKeyReason(*document.accounts) : std::string {};
}

policy::AccountQuotas quotasOf(const std::vector<ClientAccount>& accounts)
{
    policy::AccountQuotas quotas;
    for (const ClientAccount& account : accounts) {
        if (account.requestsPerSecond > 0)
            quotas[policy::accountIdOf(account.name)] = { account.requestsPerSecond, std::max(0.0, account.burst) };
    }
    return quotas;
}

policy::AccountQuotas quotasOf(const RouteDocument& document)
{
    return document.accounts ? quotasOf(*document.accounts) : policy::AccountQuotas {};
}

RouteTable::RouteTable(std::shared_ptr<const RouteDocument> document)
    : m_document(std::move(document))
{
    for (const Route& route : m_document->routes)
        m_hosts[route.host].emplace(route.prefix, &route);
    if (!m_document->accounts)
        return;
    for (const ClientAccount& account : *m_document->accounts) {
        for (const KeyDigest& key : account.keys)
            m_accounts.emplace(key, &account);
    }
}

const ClientAccount* RouteTable::findAccount(const KeyDigest& key) const
{
    const auto it = m_accounts.find(key);
    return it == m_accounts.end() ? nullptr : it->second;
}

const Route* RouteTable::find(std::string_view host, std::string_view path) const
{
    const auto routes = m_hosts.find(host.substr(0, host.find(':')));
    if (routes == m_hosts.end())
        return nullptr;
    // Prefixes end with a slash, so only the positions of slashes are looked up, the longest prefix first.
    for (std::size_t end = path.rfind('/'); end != std::string_view::npos; end = end == 0 ? std::string_view::npos : path.rfind('/', end - 1)) {
        const auto it = routes->second.find(path.substr(0, end + 1));
        if (it != routes->second.end())
            return it->second;
    }
    return nullptr;
}

} // namespace curranttrail::routing
