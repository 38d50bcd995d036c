#include "membership/gossip_queue.h"

namespace curranttrail::membership {

void GossipQueue::push(const InstanceName& name)
{
    remove(name);
    const Key key { 0, --m_nextOrder, name };
    m_order.insert(key);
    m_keys.emplace(name, key);
}

void GossipQueue::remove(const InstanceName& name)
{
    const std::map<InstanceName, Key>::iterator it = m_keys.find(name);
    if (it == m_keys.end())
        return;
    m_order.erase(it->second);
    m_keys.erase(it);
}

std::vector<InstanceName> GossipQueue::front(std::size_t count) const
{
    std::vector<InstanceName> names;
    for (const Key& key : m_order) {
        if (names.size() >= count)
            break;
        names.push_back(std::get<InstanceName>(key));
    }
    return names;
}

void GossipQueue::markSent(const std::vector<InstanceName>& names, std::uint32_t limit)
{
    for (const InstanceName& name : names) {
        const std::map<InstanceName, Key>::iterator it = m_keys.find(name);
        if (it == m_keys.end())
            continue;
        Key key = it->second;
        m_order.erase(key);
        if (++std::get<std::uint32_t>(key) >= limit) {
            m_keys.erase(it);
            continue;
        }
        m_order.insert(key);
        it->second = key;
    }
}

} // namespace curranttrail::membership
