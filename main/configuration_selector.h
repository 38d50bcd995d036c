#pragma once

#include "core/class_target.h"
#include "core/units.h"
#include "transport/control_protocol.h"

#include <map>
#include <memory>
#include <optional>
#include <set>

namespace curranttrail {

// Selects the configuration of each owner that an entry instance uses.
//
// The first configuration of an owner comes from that owner's control leader with a valid lease, or is the one with the
// highest version among the answers of serving entry instances of the same data centre within a short window. A follower may
// lag behind, so its answer is not accepted as the first one. After that a higher version is accepted from any instance and a
// lower one from none.
class ConfigurationSelector {
public:
    explicit ConfigurationSelector(DataCentreName dataCentre, Micros peerWindow = Micros { 300'000 });

    // Processes an answer. Returns the class table to apply if it changed, else null.
    std::shared_ptr<const ClassTable> handleAnswer(const transport::ConfigurationAnswer& answer, TimePoint now);
    // Closes the windows that have ended. Returns the class table to apply if it changed, else null.
    std::shared_ptr<const ClassTable> tick(TimePoint now);
    // Returns the time at which the next window ends.
    TimePoint nextWakeup() const;

    // True if a configuration of the owner has been accepted, even one without classes.
    bool hasAccepted(const OwnerName& owner) const { return m_accepted.contains(owner); }
    const ClassTable& accepted() const { return m_accepted; }
    transport::VersionTable versions() const;

private:
    struct Window {
        TimePoint endsAt;
        OwnerConfiguration highest;
    };

    bool adopt(const OwnerConfiguration& configuration);
    std::shared_ptr<const ClassTable> current(bool changed) const;

    const DataCentreName m_dataCentre;
    const Micros m_peerWindow;
    ClassTable m_accepted;
    std::map<OwnerName, Window> m_windows;
};

} // namespace curranttrail
