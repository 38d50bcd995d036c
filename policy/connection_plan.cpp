#include "policy/connection_plan.h"

#include <algorithm>
#include <string_view>
#include <utility>

namespace curranttrail::policy {

namespace {
    // Changes of the membership reach all instances well within this time.
    constexpr Micros kGracePeriod { 10'000'000 };
    constexpr std::size_t kMinimumServers = 2;
    // Servers that the instances must be able to connect to on average: the one that each uses first, and for most a second choice.
    constexpr double kMinimumServersPerInstance = 1.75;
    // With more connections of one instance, requests would only queue at the server instead of here.
    constexpr std::uint32_t kMaximumQuota = 4;

    std::uint64_t mix(std::uint64_t value)
    {
        value ^= value >> 30;
        value *= 0xbf58476d1ce4e5b9ULL;
        value ^= value >> 27;
        value *= 0x94d049bb133111ebULL;
        return value ^ (value >> 31);
    }

    // All instances must compute the same plan whatever their build, so the hash is defined here (FNV-1a).
    std::uint64_t hashOf(std::string_view text)
    {
        std::uint64_t value = 0xcbf29ce484222325ULL;
        for (const char c : text) {
            value ^= static_cast<unsigned char>(c);
            value *= 0x100000001b3ULL;
        }
        return mix(value);
    }

    // Hands out the connections of one collection's servers, round by round, in an order of the instances that depends on the collection.
    class Handout {
    public:
        struct Holder {
            std::uint64_t hash = 0;
            std::uint64_t rank = 0;
            const DataCentreName* dataCentre = nullptr;
            bool isSelf = false;
            std::vector<std::uint32_t> held;
            std::vector<bool> isHome;
            bool hasHome = false;
        };

        Handout(std::vector<Holder> holders, const std::vector<ConnectionPlan::Server>& servers, std::uint32_t limit)
            : m_holders(std::move(holders))
            , m_servers(servers)
            , m_remaining(servers.size(), limit)
        {
            for (const ConnectionPlan::Server& server : servers)
                m_serverHashes.push_back(hashOf(server.instance));
            std::sort(m_holders.begin(), m_holders.end(), [](const Holder& a, const Holder& b) { return std::pair { a.rank, a.hash } < std::pair { b.rank, b.hash }; });
            for (Holder& holder : m_holders) {
                holder.held.assign(servers.size(), 0);
                holder.isHome.assign(servers.size(), false);
            }
        }

        // A server of its own data centre for each instance, before those that have none there get one elsewhere.
        void giveHomes()
        {
            for (const bool isForOwn : { true, false }) {
                for (Holder& holder : m_holders) {
                    const std::optional<std::size_t> server = preferred(holder);
                    const bool isOwn = server && m_servers[*server].dataCentre == *holder.dataCentre;
                    if (!server || holder.hasHome || (isForOwn && !isOwn))
                        continue;
                    take(holder, *server);
                    holder.isHome[*server] = true;
                    holder.hasHome = true;
                }
            }
        }

        // Another server for each instance as long as there are connections.
        void giveNextChoices()
        {
            for (Holder& holder : m_holders) {
                if (const std::optional<std::size_t> server = preferred(holder))
                    take(holder, *server);
            }
        }

        // Further connections to the servers at home, if all that are at home there can get one.
        void giveMoreAtHome()
        {
            for (std::size_t n = 0; n < m_servers.size(); ++n) {
                const auto atHome = static_cast<std::uint32_t>(std::count_if(m_holders.begin(), m_holders.end(), [n](const Holder& holder) { return holder.isHome[n]; }));
                const std::uint32_t more = atHome == 0 ? 0 : std::min(m_remaining[n] / atHome, kMaximumQuota - 1);
                for (Holder& holder : m_holders)
                    holder.held[n] += holder.isHome[n] ? more : 0;
                m_remaining[n] -= more * atHome;
            }
        }

        std::vector<ConnectionPlan::Allotment> ownAllotments() const
        {
            const auto self = std::find_if(m_holders.begin(), m_holders.end(), [](const Holder& holder) { return holder.isSelf; });
            std::vector<ConnectionPlan::Allotment> allotments(m_servers.size());
            for (std::size_t n = 0; self != m_holders.end() && n < m_servers.size(); ++n)
                allotments[n] = { self->held[n], self->isHome[n] };
            return allotments;
        }

    private:
        void take(Holder& holder, std::size_t server)
        {
            --m_remaining[server];
            ++holder.held[server];
        }

        // Returns a server with connections left that the instance does not hold, in its own data centre if there is one. The order of
        // the others depends only on the instance and the server, so that few choices change with the instances.
        std::optional<std::size_t> preferred(const Holder& holder) const
        {
            std::optional<std::size_t> best;
            std::pair<bool, std::uint64_t> highest;
            for (std::size_t n = 0; n < m_servers.size(); ++n) {
                if (m_remaining[n] == 0 || holder.held[n] > 0)
                    continue;
                const std::pair<bool, std::uint64_t> preference { m_servers[n].dataCentre == *holder.dataCentre, mix(holder.hash ^ m_serverHashes[n]) };
                if (best && preference <= highest)
                    continue;
                best = n;
                highest = preference;
            }
            return best;
        }

        std::vector<Holder> m_holders;
        const std::vector<ConnectionPlan::Server>& m_servers;
        std::vector<std::uint64_t> m_serverHashes;
        std::vector<std::uint32_t> m_remaining;
    };
} // namespace

void ConnectionPlan::setInstances(const InstanceName& self, std::map<InstanceName, DataCentreName> instances, TimePoint now)
{
    if (!m_views.empty() && m_views.back().instances == instances)
        return;
    if (m_views.empty())
        m_joinedAt = now;
    else
        m_views.back().replacedAt = now;
    View& view = m_views.emplace_back();
    for (const auto& [name, dataCentre] : instances)
        view.known.push_back({ dataCentre, hashOf(name), name == self });
    view.instances = std::move(instances);
}

bool ConnectionPlan::expire(TimePoint now)
{
    bool changed = false;
    while (m_views.size() > 1 && now - m_views.front().replacedAt >= kGracePeriod) {
        m_views.pop_front();
        changed = true;
    }
    if (m_joinedAt != kNever && now - m_joinedAt >= kGracePeriod) {
        m_joinedAt = kNever;
        changed = true;
    }
    return changed;
}

std::optional<std::vector<ConnectionPlan::Allotment>> ConnectionPlan::allot(
    const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers, TimePoint now)
{
    if (m_views.empty() || servers.size() < kMinimumServers)
        return std::nullopt;
    const bool isUnplannable = std::any_of(m_views.begin(), m_views.end(), [&](const View& view) {
        const bool knowsDataCentres = std::any_of(view.known.begin(), view.known.end(), [](const Known& known) { return !known.dataCentre.empty(); });
        return !knowsDataCentres || static_cast<double>(limit * servers.size()) < static_cast<double>(view.known.size()) * kMinimumServersPerInstance;
    });
    if (isUnplannable)
        return std::nullopt;
    std::vector<Allotment> smallest;
    for (View& view : m_views) {
        const std::vector<Allotment>& inView = allotInView(view, collection, limit, servers);
        if (smallest.empty())
            smallest = inView;
        for (std::size_t n = 0; n < servers.size(); ++n) {
            smallest[n].quota = std::min(smallest[n].quota, inView[n].quota);
            smallest[n].isHome = inView[n].isHome;
        }
    }
    // The others may not have made room for a new instance yet.
    for (Allotment& allotment : smallest) {
        if (m_joinedAt != kNever && now - m_joinedAt < kGracePeriod)
            allotment.quota = std::min(allotment.quota, 1U);
        allotment.isHome = allotment.isHome && allotment.quota > 0;
    }
    return smallest;
}

const std::vector<ConnectionPlan::Allotment>& ConnectionPlan::allotInView(
    View& view, const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers)
{
    Cached& cached = view.cache[collection];
    if (cached.limit == limit && cached.servers == servers)
        return cached.allotments;
    cached = { limit, servers, compute(view.known, collection, limit, servers) };
    return cached.allotments;
}

std::vector<ConnectionPlan::Allotment> ConnectionPlan::compute(
    const std::vector<Known>& known, const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers)
{
    const std::uint64_t collectionHash = hashOf(collection);
    std::vector<Handout::Holder> holders;
    holders.reserve(known.size());
    for (const Known& instance : known)
        holders.push_back({ instance.hash, mix(instance.hash ^ collectionHash), &instance.dataCentre, instance.isSelf, {}, {}, false });
    Handout handout(std::move(holders), servers, limit);
    handout.giveHomes();
    for (std::size_t n = 1; n < servers.size(); ++n)
        handout.giveNextChoices();
    handout.giveMoreAtHome();
    return handout.ownAllotments();
}

} // namespace curranttrail::policy
