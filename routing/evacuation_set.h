#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstddef>
#include <functional>
#include <map>
#include <set>
#include <vector>

namespace curranttrail::routing {

// The data centres whose servers get no requests. An order takes effect at once, a withdrawal after a delay that differs between instances:
// the servers may have been idle for long, and would otherwise get the requests of all instances in the same moment.
class EvacuationSet {
public:
    struct Change {
        std::vector<DataCentreName> evacuated;
        // Their servers return after the delay of this instance.
        std::vector<DataCentreName> withdrawn;

        bool isEmpty() const { return evacuated.empty() && withdrawn.empty(); }
    };

    // Takes over the orders in force. The function is called for each data centre that returns.
    Change update(const std::vector<DataCentreName>& ordered, const std::function<Micros()>& returnDelay, TimePoint now);
    // Removes and returns the data centres whose delay has passed.
    std::vector<DataCentreName> takeReturned(TimePoint now);
    // Includes the data centres whose delay has not passed yet.
    bool contains(const DataCentreName& dataCentre) const { return m_returnsAt.contains(dataCentre); }
    bool isEmpty() const { return m_returnsAt.empty(); }
    std::size_t size() const { return m_returnsAt.size(); }

private:
    // Time from which the servers get requests again; kNever while the order is in force.
    std::map<DataCentreName, TimePoint> m_returnsAt;
};

} // namespace curranttrail::routing
