#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace curranttrail::membership {

// Queue of members whose records are still to be disseminated. Records sent least often come first, the newest of them in front.
// A record leaves the queue after a number of sends that grows with the logarithm of the member count.
class GossipQueue {
public:
    // Queues a member after a change of its record and resets its send count.
    void push(const InstanceName& name);
    void remove(const InstanceName& name);

    // Returns the names to send next, in order of priority.
    std::vector<InstanceName> front(std::size_t count) const;
    // Counts one send of each name and removes names that were sent "limit" times.
    void markSent(const std::vector<InstanceName>& names, std::uint32_t limit);

    bool empty() const { return m_order.empty(); }
    std::size_t size() const { return m_order.size(); }

private:
    using Key = std::tuple<std::uint32_t, std::uint64_t, InstanceName>;

    std::set<Key> m_order;
    std::map<InstanceName, Key> m_keys;
    // Decreases with each push, so that newer names sort first.
    std::uint64_t m_nextOrder = UINT64_MAX;
};

} // namespace curranttrail::membership
