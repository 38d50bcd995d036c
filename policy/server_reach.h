#pragma once

#include "core/units.h"

#include <set>
#include <string>

namespace curranttrail::policy {

// Detects that this instance reaches no server by connections of its own: exchanges with several servers fail, none succeeds, and probes of
// other servers do not open either. Whether the servers are down or this instance is cut off is told by other instances, which may reach
// them.
class ServerReach {
public:
    // A server replied, or accepted a connection.
    void recordReached(TimePoint now);
    // A connection to the server was refused, lost or does not open, or an attempt gets no reply.
    void recordUnreached(const std::string& server);
    // Returns true once nothing has been reached for so long that open exchanges are worth a look.
    bool isDoubtful(TimePoint now) const;
    // Returns true if servers are to be probed now, to find out whether the instance is cut off.
    bool beginProbing(TimePoint now);
    // Returns true if the instance is cut off from now on, because no probe has succeeded.
    bool endProbing(TimePoint now);
    bool isCutOff() const { return m_isCutOff; }
    TimePoint lastReached() const { return m_lastReached; }
    std::size_t unreached() const { return m_unreached.size(); }
    bool wasUnreached(const std::string& server) const { return m_unreached.contains(server); }

private:
    TimePoint m_lastReached = TimePoint::min();
    // Servers that were not reached since the last one was.
    std::set<std::string> m_unreached;
    TimePoint m_probingSince = kNever;
    bool m_isCutOff = false;
};

} // namespace curranttrail::policy
