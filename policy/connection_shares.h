#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace curranttrail::policy {

// Divides the servers' connection limits among the entry instances. A share shrinks at once and grows only after a grace period,
// so that instances with different views of the membership together stay within the limit.
class ConnectionShares {
public:
    void setInstances(const InstanceName& self, std::vector<InstanceName> instances, TimePoint now);
    // Returns the number of connections that this instance may hold to the server.
    std::uint32_t share(std::string_view server, std::uint32_t limit, TimePoint now) const;
    // Drops views that were replaced longer ago than the grace period. Returns whether a share may have grown.
    bool expire(TimePoint now);
    std::uint32_t instanceCount() const;
    // Returns the highest number of instances in any view of the grace period. A new instance assumes a minimum number during its
    // first grace period, and a higher one shortly after its first view.
    std::uint32_t maximumInstanceCount(TimePoint now) const;
    // Returns true for a short time after the first view, which may lack most instances.
    bool isFirstView() const { return m_isFirstView; }

    // Returns one instance's share of a limit in one view. The remainder goes to the instances that rank highest for the server.
    static std::uint32_t shareInView(std::string_view server, std::uint32_t limit, const InstanceName& self, const std::vector<InstanceName>& instances);

private:
    struct View {
        std::vector<InstanceName> instances;
        // Time at which the next view replaced this one.
        TimePoint replacedAt = kNever;
    };

    InstanceName m_self;
    std::deque<View> m_views;
    TimePoint m_joinedAt = kNever;
    bool m_isFirstView = false;
};

} // namespace curranttrail::policy
