#include "policy/relay_table.h"

#include <boost/random/uniform_int_distribution.hpp>

#include <algorithm>
#include <utility>

namespace curranttrail::policy {

namespace {
    // Time for which a relay that failed is not asked. It doubles with each failure, up to the maximum, while there are others.
    constexpr Micros kMinimumAvoidanceTime { 1'000'000 };
    constexpr unsigned kMaximumDoublings = 3;
}

RelayTable::RelayTable(InstanceName self, DataCentreName dataCentre)
    : m_self(std::move(self))
    , m_dataCentre(std::move(dataCentre))
{
}

void RelayTable::set(const std::vector<Relay>& relays)
{
    std::map<InstanceName, Entry> entries;
    for (const Relay& relay : relays) {
        if (relay.name == m_self || relay.address.empty())
            continue;
        const auto known = m_entries.find(relay.name);
        Entry& entry = entries[relay.name];
        // Another address is another process.
        if (known != m_entries.end() && known->second.relay == relay)
            entry = known->second;
        entry.relay = relay;
    }
    m_entries = std::move(entries);
}

const Relay* RelayTable::choose(Random& random, TimePoint now) const
{
    std::vector<const Relay*> near;
    std::vector<const Relay*> far;
    for (const auto& [name, entry] : m_entries) {
        if (now >= entry.avoidedUntil)
            (entry.relay.dataCentre == m_dataCentre ? near : far).push_back(&entry.relay);
    }
    if (near.empty() && far.empty()) {
        for (const auto& [name, entry] : m_entries) {
            if (now >= entry.failedAt + kMinimumAvoidanceTime)
                far.push_back(&entry.relay);
        }
    }
    const std::vector<const Relay*>& candidates = near.empty() ? far : near;
    if (candidates.empty())
        return nullptr;
    return candidates[boost::random::uniform_int_distribution<std::size_t>(0, candidates.size() - 1)(random)];
}

void RelayTable::recordSuccess(const InstanceName& name, TimePoint now)
{
    const auto it = m_entries.find(name);
    if (it == m_entries.end())
        return;
    it->second.lastSuccess = now;
    it->second.failures = 0;
}

void RelayTable::recordFailure(const InstanceName& name, TimePoint now)
{
    if (const auto it = m_entries.find(name); it != m_entries.end())
        avoid(it->second, now);
}

// Failures at the same time, such as those of several connections, count once.
void RelayTable::avoid(Entry& entry, TimePoint now)
{
    if (now < entry.avoidedUntil)
        return;
    entry.failedAt = now;
    entry.avoidedUntil = now + kMinimumAvoidanceTime * (1 << std::min(entry.failures, kMaximumDoublings));
    ++entry.failures;
}

void RelayTable::recordSilence(const InstanceName& name, TimePoint sentAt, TimePoint now)
{
    if (const auto it = m_entries.find(name); it != m_entries.end() && it->second.lastSuccess < sentAt)
        avoid(it->second, now);
}

} // namespace curranttrail::policy
