#pragma once

#include "core/class_target.h"
#include "core/units.h"
#include "transport/control_protocol.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace curranttrail {

// Decides which configurations an entry instance puts in force.
//
// The first configuration of an owner comes from that owner's control leader with a valid lease, or it is the highest
// among the answers of serving entry instances of the own data centre within a short window. A follower may be behind, so
// it gives none of the first ones. After that a higher version is taken from anyone, and a lower one from nobody.
class ConfigurationSelector {
public:
    explicit ConfigurationSelector(DataCentreName dataCentre, Micros peerWindow = Micros { 300'000 });

    // Takes an answer; returns the table to put in force if it changed.
    std::shared_ptr<const ClassTable> handleAnswer(const transport::ConfigurationAnswer& answer, TimePoint now);
    // Ends the windows that are over; returns the table to put in force if it changed.
    std::shared_ptr<const ClassTable> tick(TimePoint now);
    // When the next window ends.
    TimePoint nextWakeup() const;

    // Whether the owner's configuration may be served from, also if it has no classes yet.
    bool holds(const OwnerName& owner) const { return m_held.contains(owner); }
    const ClassTable& held() const { return m_held; }
    transport::VersionTable versions() const;

private:
    struct Window {
        TimePoint endsAt;
        OwnerConfiguration best;
    };

    bool adopt(const OwnerConfiguration& configuration);
    std::shared_ptr<const ClassTable> current(bool changed) const;

    const DataCentreName m_dataCentre;
    const Micros m_peerWindow;
    ClassTable m_held;
    std::map<OwnerName, Window> m_windows;
};

} // namespace curranttrail
