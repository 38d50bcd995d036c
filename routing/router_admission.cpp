#include "routing/router.h"

#include <algorithm>

namespace curranttrail::routing {

namespace {

    struct FirstCollection {
        const CollectionName& operator()(const SingleTarget& target) const { return target.collection; }
        const CollectionName& operator()(const SplitTarget& target) const { return target.parts.front().collection; }
        const CollectionName& operator()(const ScatterTarget& target) const { return target.shards.front(); }
    };

    // Calls the function with each collection of a target.
    template <typename Function>
    struct EachCollection {
        Function function;

        void operator()(const SingleTarget& target) const { function(target.collection); }
        void operator()(const SplitTarget& target) const
        {
            for (const WeightedCollection& part : target.parts)
                function(part.collection);
        }
        void operator()(const ScatterTarget& target) const
        {
            for (const CollectionName& shard : target.shards)
                function(shard);
        }
    };

} // namespace

void Router::updateAdmissions()
{
    m_admissionGroups.clear();
    if (m_table->hasAccounts()) {
        for (const Route& route : m_table->document().routes) {
            const CollectionName& first = std::visit(FirstCollection {}, route.target);
            const CollectionName group = m_admissionGroups.try_emplace(first, first).first->second;
            m_admissions.try_emplace(group);
            std::visit(EachCollection { [&](const CollectionName& collection) { m_admissionGroups.try_emplace(collection, group); } }, route.target);
        }
    }
    std::erase_if(m_admissions, [this](const auto& entry) { return !m_admissionGroups.contains(entry.first); });
}

policy::AccountAdmission* Router::admissionTo(const CollectionName& collection)
{
    const auto group = m_admissionGroups.find(collection);
    return group == m_admissionGroups.end() ? nullptr : &m_admissions.at(group->second);
}

std::optional<Micros> Router::delayOverShare(const Route& route, const ClientAccount* account)
{
    if (m_admissionGroups.empty())
        return std::nullopt;
    policy::AccountAdmission& admission = *admissionTo(std::visit(FirstCollection {}, route.target));
    if (admission.tryAdmit({ account ? account->name : std::string {}, account ? account->requestsPerSecond : 0, priorityOf(route, account) }, m_now))
        return std::nullopt;
    return admission.retryAfter(m_random);
}

void Router::recordLoad(const Server& server)
{
    if (policy::AccountAdmission* admission = admissionTo(server.record.collection))
        admission->recordLoad(static_cast<double>(server.load.running + server.load.waiting) / std::max(1U, server.record.slots), m_now);
}

// The document may have changed since the request was admitted.
void Router::recordAdmittedEnd(const Request& request)
{
    if (policy::AccountAdmission* admission = admissionTo(std::visit(FirstCollection {}, request.route->target)))
        admission->recordEnd(m_now);
}

double Router::leastRoom() const
{
    double least = 1;
    for (const auto& [group, admission] : m_admissions)
        least = std::min(least, admission.room());
    return least;
}

} // namespace curranttrail::routing
