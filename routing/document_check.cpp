#include "routing/document_check.h"

#include <fmt/format.h>

#include <algorithm>
#include <set>
#include <utility>

namespace curranttrail::routing {

namespace {

    std::string nameOf(const Route& route)
    {
        return fmt::format("route \"{}\" ({}{})", route.name, route.host, route.prefix);
    }

    double millisOf(Micros span)
    {
        return static_cast<double>(span.count()) / 1'000;
    }

    std::set<CollectionName> collectionsOf(const Target& target)
    {
        if (const SingleTarget* single = std::get_if<SingleTarget>(&target))
            return { single->collection };
        if (const ScatterTarget* scatter = std::get_if<ScatterTarget>(&target))
            return { scatter->shards.begin(), scatter->shards.end() };
        std::set<CollectionName> collections;
        for (const WeightedCollection& part : std::get<SplitTarget>(target).parts)
            collections.insert(part.collection);
        return collections;
    }

    // Collects the findings about one document.
    class DocumentCheck {
    public:
        explicit DocumentCheck(const RouteDocument& document)
            : m_document(document)
        {
        }

        std::vector<Finding> run()
        {
            checkErrors();
            for (const Route& route : m_document.routes)
                checkRoute(route);
            checkCollections();
            checkAccounts();
            checkLimits();
            return std::move(m_findings);
        }

    private:
        void add(FindingKind kind, std::string text) { m_findings.push_back({ kind, std::move(text) }); }

        // Checks each route alone too, since the whole document is refused with its first error only.
        void checkErrors()
        {
            std::set<std::string> reasons;
            for (const Route& route : m_document.routes) {
                RouteDocument alone;
                alone.version = 1;
                alone.routes = { route };
                alone.collections = m_document.collections;
                reasons.insert(invalidReason(alone));
            }
            reasons.insert(invalidReason(m_document));
            reasons.erase("");
            for (const std::string& reason : reasons)
                add(FindingKind::Error, reason);
        }

        void checkRoute(const Route& route)
        {
            if (route.prefix.empty() || route.prefix.front() != '/' || route.prefix.back() != '/')
                add(FindingKind::Unreachable, fmt::format("{} never matches: its prefix does not begin and end with a slash", nameOf(route)));
            if (route.host.empty() || route.host.find(':') != std::string::npos)
                add(FindingKind::Unreachable, fmt::format("{} never matches: its host is empty or has a port", nameOf(route)));
            if (route.latencyObjective > route.timeout)
                add(FindingKind::Contradiction, fmt::format("{} has a latency objective of {:g} ms beyond its timeout of {:g} ms", nameOf(route), millisOf(route.latencyObjective), millisOf(route.timeout)));
            if (const ScatterTarget* scatter = std::get_if<ScatterTarget>(&route.target); scatter && scatter->recordLimit == 0)
                add(FindingKind::Contradiction, fmt::format("{} merges at most 0 records", nameOf(route)));
            const SplitTarget* split = std::get_if<SplitTarget>(&route.target);
            if (!split)
                return;
            for (const WeightedCollection& part : split->parts) {
                if (part.weight == 0)
                    add(FindingKind::Unreachable, fmt::format("{} never sends to \"{}\": its weight is 0", nameOf(route), part.collection));
            }
        }

        void checkCollections()
        {
            std::set<CollectionName> used;
            for (const Route& route : m_document.routes)
                used.merge(collectionsOf(route.target));
            for (const auto& [name, spec] : m_document.collections) {
                if (!used.contains(name))
                    add(FindingKind::Unreachable, fmt::format("no route leads to the collection \"{}\"", name));
                else if (spec.connectionLimit == 0)
                    add(FindingKind::Contradiction, fmt::format("the collection \"{}\" is used by a route and accepts no connections", name));
            }
        }

        void checkAccounts()
        {
            if (!m_document.accounts)
                return;
            const bool isKeyNeeded = std::any_of(m_document.routes.begin(), m_document.routes.end(), [](const Route& route) { return !route.isPublic; });
            if (isKeyNeeded && m_document.accounts->empty())
                add(FindingKind::Unreachable, "routes need keys and there is no client account");
            std::set<std::string> names;
            for (const ClientAccount& account : *m_document.accounts) {
                if (!names.insert(account.name).second)
                    add(FindingKind::Contradiction, fmt::format("two client accounts have the name \"{}\"", account.name));
                if (account.keys.empty())
                    add(FindingKind::Unreachable, fmt::format("the client account \"{}\" has no key", account.name));
                if (account.requestsPerSecond == 0 && account.burst > 0)
                    add(FindingKind::Contradiction, fmt::format("the client account \"{}\" has a burst without a rate, which is no limit", account.name));
            }
        }

        void checkLimits()
        {
            const CallerLimits& limits = m_document.limits;
            if (limits.headerTimeout > limits.idleTimeout)
                add(FindingKind::Contradiction, fmt::format("the header timeout of {:g} ms is beyond the idle timeout of {:g} ms", millisOf(limits.headerTimeout), millisOf(limits.idleTimeout)));
            if (limits.maximumHeaderBytes == 0 || limits.headerTimeout.count() == 0)
                add(FindingKind::Contradiction, "no request can be sent: the header size or the header timeout is 0");
        }

        const RouteDocument& m_document;
        std::vector<Finding> m_findings;
    };

    std::string describe(const Target& target)
    {
        if (const SingleTarget* single = std::get_if<SingleTarget>(&target))
            return single->collection;
        if (const ScatterTarget* scatter = std::get_if<ScatterTarget>(&target))
            return fmt::format("{} of {}, coverage {:g}, {} records", scatter->shards.size(), fmt::join(scatter->shards, "+"), scatter->minimumCoverage, scatter->recordLimit);
        std::string text;
        for (const WeightedCollection& part : std::get<SplitTarget>(target).parts)
            text += fmt::format("{}{} ({:g})", text.empty() ? "" : " or ", part.collection, part.weight);
        return text;
    }

    // Fields of an entry by name, as text.
    using Fields = std::vector<std::pair<std::string, std::string>>;

    Fields fieldsOf(const Route& route)
    {
        return { { "name", route.name }, { "repeatable", fmt::to_string(route.repeatable) }, { "timeout", fmt::format("{:g} ms", millisOf(route.timeout)) }, { "latency objective", fmt::format("{:g} ms", millisOf(route.latencyObjective)) }, { "priority", fmt::to_string(route.priority) }, { "attempts", fmt::to_string(route.maximumAttempts) }, { "public", fmt::to_string(route.isPublic) }, { "target", describe(route.target) } };
    }

    Fields fieldsOf(const CollectionSpec& spec)
    {
        return { { "connections", fmt::to_string(spec.connectionLimit) }, { "requests a second while cold", fmt::format("{:g}", spec.coldRequestsPerSecond) } };
    }

    Fields fieldsOf(const ClientAccount& account)
    {
        return { { "priority", account.priority ? fmt::to_string(*account.priority) : std::string { "of the route" } }, { "requests a second", fmt::format("{:g}", account.requestsPerSecond) }, { "burst", fmt::format("{:g}", account.burst) } };
    }

    Fields fieldsOf(const CallerLimits& limits)
    {
        return { { "header bytes", fmt::to_string(limits.maximumHeaderBytes) }, { "body bytes", fmt::to_string(limits.maximumBodyBytes) }, { "header timeout", fmt::format("{:g} ms", millisOf(limits.headerTimeout)) }, { "idle timeout", fmt::format("{:g} ms", millisOf(limits.idleTimeout)) } };
    }

    // Collects what differs between two documents.
    class DocumentComparison {
    public:
        std::vector<Finding> run(const RouteDocument& before, const RouteDocument& after)
        {
            if (after.version <= before.version)
                m_findings.push_back({ FindingKind::Contradiction, fmt::format("version {} is not higher than version {}, which is in force: it would change nothing", after.version, before.version) });
            compareEntries(routesOf(before), routesOf(after), "route ");
            compareEntries(before.collections, after.collections, "collection ");
            if (before.accounts.has_value() != after.accounts.has_value())
                add(after.accounts ? "callers need keys" : "callers need no keys any more");
            const std::map<std::string, ClientAccount> accountsBefore = accountsOf(before);
            const std::map<std::string, ClientAccount> accountsAfter = accountsOf(after);
            compareEntries(accountsBefore, accountsAfter, "client account ");
            for (const auto& [name, account] : accountsAfter) {
                if (const auto it = accountsBefore.find(name); it != accountsBefore.end())
                    compareKeys(name, it->second, account);
            }
            compareFields("limits", fieldsOf(before.limits), fieldsOf(after.limits));
            return std::move(m_findings);
        }

    private:
        static std::map<std::string, Route> routesOf(const RouteDocument& document)
        {
            std::map<std::string, Route> routes;
            for (const Route& route : document.routes)
                routes.emplace(route.host + route.prefix, route);
            return routes;
        }

        static std::map<std::string, ClientAccount> accountsOf(const RouteDocument& document)
        {
            std::map<std::string, ClientAccount> accounts;
            for (const ClientAccount& account : document.accounts.value_or(std::vector<ClientAccount> {}))
                accounts.emplace(account.name, account);
            return accounts;
        }

        void add(std::string text) { m_findings.push_back({ FindingKind::Difference, std::move(text) }); }

        template <typename Entries>
        void compareEntries(const Entries& before, const Entries& after, std::string_view what)
        {
            for (const auto& [name, entry] : before) {
                if (!after.contains(name))
                    add(fmt::format("{}{} is removed", what, name));
            }
            for (const auto& [name, entry] : after) {
                if (const auto it = before.find(name); it != before.end())
                    compareFields(fmt::format("{}{}", what, name), fieldsOf(it->second), fieldsOf(entry));
                else
                    add(fmt::format("{}{} is added", what, name));
            }
        }

        void compareFields(std::string_view entry, const Fields& before, const Fields& after)
        {
            for (std::size_t n = 0; n < after.size(); ++n) {
                if (before[n].second != after[n].second)
                    add(fmt::format("{}: {} changes from {} to {}", entry, after[n].first, before[n].second, after[n].second));
            }
        }

        void compareKeys(const std::string& name, const ClientAccount& before, const ClientAccount& after)
        {
            using Keys = std::vector<KeyDigest>;
            const auto countMissing = [](const Keys& keys, const Keys& others) { return std::count_if(keys.begin(), keys.end(), [&](const KeyDigest& key) { return std::find(others.begin(), others.end(), key) == others.end(); }); };
            if (const std::ptrdiff_t added = countMissing(after.keys, before.keys))
                add(fmt::format("client account {}: {} keys are added", name, added));
            if (const std::ptrdiff_t removed = countMissing(before.keys, after.keys))
                add(fmt::format("client account {}: {} keys are withdrawn", name, removed));
        }

        std::vector<Finding> m_findings;
    };

} // namespace

std::vector<Finding> checkDocument(const RouteDocument& document) { return DocumentCheck(document).run(); }

std::vector<Finding> compareDocuments(const RouteDocument& inForce, const RouteDocument& proposed) { return DocumentComparison().run(inForce, proposed); }

} // namespace curranttrail::routing
