#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <deque>
#include <map>
#include <optional>
#include <string>
#include <vector>

namespace curranttrail::policy {

// Plans who may connect to the servers of a collection if each of them accepts hardly one connection of every instance. Most of a
// server's limit goes to the instances of its own data centre. The rest goes to others, each of which gets some server elsewhere as the
// second choice. All instances that hold the same views compute the same plan; the quotas of a plan never add up to more than the limit.
// As with ConnectionShares a quota shrinks at once and grows only after a grace period.
class ConnectionPlan {
public:
    struct Server {
        std::string instance;
        DataCentreName dataCentre;

        bool operator==(const Server&) const = default;
    };

    // What this instance may hold to one server.
    struct Allotment {
        std::uint32_t quota = 0;
        // True for the server that the instance uses first. A connection to it is kept open ahead of need.
        bool isHome = false;
    };

    // Takes the known instances with their data centres. Without any data centre there is no plan.
    void setInstances(const InstanceName& self, std::map<InstanceName, DataCentreName> instances, TimePoint now);
    // Drops views that were replaced longer ago than the grace period. Returns whether a quota may have grown.
    bool expire(TimePoint now);
    // Returns the allotments in the order of the servers, or nothing if the servers accept too few connections for most instances to get a
    // second choice.
    std::optional<std::vector<Allotment>> allot(const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers, TimePoint now);

private:
    struct Known {
        DataCentreName dataCentre;
        std::uint64_t hash = 0;
        bool isSelf = false;
    };

    // The allotments of a view are kept until the servers of the collection change.
    struct Cached {
        std::uint32_t limit = 0;
        std::vector<Server> servers;
        std::vector<Allotment> allotments;
    };

    struct View {
        std::map<InstanceName, DataCentreName> instances;
        std::vector<Known> known;
        std::map<CollectionName, Cached> cache;
        // Time at which the next view replaced this one.
        TimePoint replacedAt = kNever;
    };

    static const std::vector<Allotment>& allotInView(View& view, const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers);
    static std::vector<Allotment> compute(const std::vector<Known>& known, const CollectionName& collection, std::uint32_t limit, const std::vector<Server>& servers);

    std::deque<View> m_views;
    TimePoint m_joinedAt = kNever;
};

} // namespace curranttrail::policy
