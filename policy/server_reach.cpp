#include "policy/server_reach.h"

namespace curranttrail::policy {

namespace {
    // Time without any exchange that succeeded.
    constexpr Micros kSilence { 400'000 };
    // Fewer servers may be down.
    constexpr std::size_t kMinimumServers = 3;
    // Time for a probe to open, with a round trip between data centres and a busy server.
    constexpr Micros kProbeTime { 300'000 };
}

void ServerReach::recordReached(TimePoint now)
{
    m_lastReached = now;
    m_isCutOff = false;
    m_probingSince = kNever;
    m_unreached.clear();
}

void ServerReach::recordUnreached(const std::string& server)
{
    m_unreached.insert(server);
}

bool ServerReach::isDoubtful(TimePoint now) const
{
    return !m_isCutOff && m_lastReached != TimePoint::min() && now - m_lastReached >= kSilence;
}

bool ServerReach::beginProbing(TimePoint now)
{
    if (!isDoubtful(now) || m_unreached.size() < kMinimumServers || m_probingSince != kNever)
        return false;
    m_probingSince = now;
    return true;
}

bool ServerReach::endProbing(TimePoint now)
{
    if (m_isCutOff || m_probingSince == kNever || now - m_probingSince < kProbeTime)
        return false;
    m_isCutOff = true;
    return true;
}

} // namespace curranttrail::policy
