#include "membership/replay_window.h"

#include <algorithm>

namespace curranttrail::membership {

bool ReplayWindow::accept(const InstanceName& sender, std::uint64_t incarnation, std::uint64_t sequence)
{
    if (m_senders.size() >= kMaximumSenders && !m_senders.contains(sender))
        evictOldest();
    Sender& known = m_senders[sender];
    known.lastUse = ++m_uses;
    if (incarnation < known.incarnation)
        return false;
    if (incarnation > known.incarnation) {
        known.incarnation = incarnation;
        known.highest = 0;
        known.seen.reset();
    }
    if (sequence > known.highest) {
        const std::uint64_t step = sequence - known.highest;
        known.seen = step >= kWidth ? std::bitset<kWidth> {} : known.seen << step;
        known.seen.set(0);
        known.highest = sequence;
        return true;
    }
    const std::uint64_t behind = known.highest - sequence;
    if (behind >= kWidth || known.seen.test(behind))
        return false;
    known.seen.set(behind);
    return true;
}

void ReplayWindow::evictOldest()
{
    const std::map<InstanceName, Sender>::iterator oldest = std::min_element(m_senders.begin(), m_senders.end(),
        [](const std::pair<const InstanceName, Sender>& left, const std::pair<const InstanceName, Sender>& right) { return left.second.lastUse < right.second.lastUse; });
    m_senders.erase(oldest);
}

} // namespace curranttrail::membership
