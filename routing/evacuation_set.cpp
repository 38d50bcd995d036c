#include "routing/evacuation_set.h"

namespace curranttrail::routing {

EvacuationSet::Change EvacuationSet::update(const std::vector<DataCentreName>& ordered, const std::function<Micros()>& returnDelay, TimePoint now)
{
    Change change;
    const std::set<DataCentreName> inForce(ordered.begin(), ordered.end());
    for (auto& [dataCentre, returnsAt] : m_returnsAt) {
        if (returnsAt != kNever || inForce.contains(dataCentre))
            continue;
        returnsAt = now + returnDelay();
        change.withdrawn.push_back(dataCentre);
    }
    for (const DataCentreName& dataCentre : inForce) {
        const auto [it, isNew] = m_returnsAt.try_emplace(dataCentre, kNever);
        if (isNew || it->second != kNever)
            change.evacuated.push_back(dataCentre);
        it->second = kNever;
    }
    return change;
}

std::vector<DataCentreName> EvacuationSet::takeReturned(TimePoint now)
{
    std::vector<DataCentreName> returned;
    for (auto it = m_returnsAt.begin(); it != m_returnsAt.end();) {
        if (now < it->second) {
            ++it;
            continue;
        }
        returned.push_back(it->first);
        it = m_returnsAt.erase(it);
    }
    return returned;
}

} // namespace curranttrail::routing
