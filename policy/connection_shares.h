#pragma once

#include "core/ids.h"
#include "core/units.h"

#include <cstdint>
#include <deque>
#include <string_view>
#include <vector>

namespace curranttrail::policy {

// Divides the servers' connection limits over the entry instances. A share shrinks at once and grows only after a grace period, so that
// instances with different views together stay within the limit.
class ConnectionShares {
public:
    void setInstances(const InstanceName& self, std::vector<InstanceName> instances, TimePoint now);
    // Returns the number of connections that this instance may hold to the server.
    std::uint32_t share(std::string_view server, std::uint32_t limit, TimePoint now) const;
    // Forgets views older than the grace period. Returns whether a share may have grown.
    bool expire(TimePoint now);
    std::uint32_t instanceCount() const;
    // Returns the most instances in any view of the grace period; a new instance assumes more until it has seen one such period,
    // and most at its first view.
    std::uint32_t largestInstanceCount(TimePoint now) const;
    // True for a moment after the first view, which may lack most instances.
    bool isFirstView() const { return m_isFirstView; }

    // Returns one instance's part of a limit under one view. Remainders go to the instances that rank highest for the server.
    static std::uint32_t divide(std::string_view server, std::uint32_t limit, const InstanceName& self, const std::vector<InstanceName>& instances);

private:
    struct View {
        std::vector<InstanceName> instances;
        // When the next view replaced this one.
        TimePoint replacedAt = kNever;
    };

    InstanceName m_self;
    std::deque<View> m_views;
    TimePoint m_joinedAt = kNever;
    bool m_isFirstView = false;
};

} // namespace curranttrail::policy
