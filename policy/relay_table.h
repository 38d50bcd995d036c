#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"

#include <map>
#include <string>
#include <vector>

namespace curranttrail::policy {

// An entry instance that opens connections to servers for others.
struct Relay {
    InstanceName name;
    DataCentreName dataCentre;
    std::string address;

    bool operator==(const Relay&) const = default;
};

// The other entry instances as relays. One that failed, or refused because it reaches no server itself or relays enough, is not asked
// for a while, which doubles with each failure.
class RelayTable {
public:
    RelayTable(InstanceName self, DataCentreName dataCentre);

    void set(const std::vector<Relay>& relays);
    bool contains(const InstanceName& name) const { return m_entries.contains(name); }
    // Chooses a relay at random, of the own data centre if possible. Returns null if there is none at present.
    const Relay* choose(Random& random, TimePoint now) const;
    void recordSuccess(const InstanceName& name, TimePoint now);
    void recordFailure(const InstanceName& name, TimePoint now);
    // An attempt that was sent through the relay at a time got no reply, which counts only if nothing has come through it since.
    void recordSilence(const InstanceName& name, TimePoint sentAt, TimePoint now);

private:
    struct Entry {
        Relay relay;
        TimePoint lastSuccess = TimePoint::min();
        TimePoint failedAt = TimePoint::min();
        TimePoint avoidedUntil = TimePoint::min();
        unsigned failures = 0;
    };

    static void avoid(Entry& entry, TimePoint now);

    InstanceName m_self;
    DataCentreName m_dataCentre;
    std::map<InstanceName, Entry> m_entries;
};

} // namespace curranttrail::policy
