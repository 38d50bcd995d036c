#pragma once

#include "core/ids.h"

#include <cstddef>
#include <cstdint>
#include <map>
#include <set>
#include <tuple>
#include <vector>

namespace curranttrail::membership {

// Names of members whose records are still to be passed on. The least sent come first, among them the newest,
// and a record leaves the queue after a number of sends that grows with the logarithm of the member count.
class GossipQueue {
public:
    // Queues a record again from the start after each change.
    void push(const InstanceName& name);
    void remove(const InstanceName& name);

    // The names to send next, in order of preference.
    std::vector<InstanceName> front(std::size_t count) const;
    // Counts one send of each name and drops those sent "limit" times.
    void markSent(const std::vector<InstanceName>& names, std::uint32_t limit);

    bool empty() const { return m_order.empty(); }
    std::size_t size() const { return m_order.size(); }

private:
    using Key = std::tuple<std::uint32_t, std::uint64_t, InstanceName>;

    std::set<Key> m_order;
    std::map<InstanceName, Key> m_keys;
    // Counts down, so that newer names sort first.
    std::uint64_t m_nextOrder = UINT64_MAX;
};

} // namespace curranttrail::membership
