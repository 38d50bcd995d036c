#include "policy/trial_turns.h"

#include <algorithm>
#include <cstring>

namespace curranttrail::policy {

namespace {
    constexpr Micros kTurn { 2'000'000 };
    // Time at the beginning of each turn in which nobody sends the request, so that all instances hear first how the turn before ended.
    constexpr Micros kPause { 1'000'000 };
}

void TrialTurns::setInstances(const InstanceName& self, std::vector<InstanceName> instances)
{
    instances.push_back(self);
    std::sort(instances.begin(), instances.end());
    instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
    m_self = static_cast<std::size_t>(std::lower_bound(instances.begin(), instances.end(), self) - instances.begin());
    m_count = instances.size();
}

Micros TrialTurns::timeUntilTurn(const RequestFingerprint& request, TimePoint lastEnd, TimePoint now) const
{
    // The first turns of different requests fall to different instances.
    std::uint64_t first = 0;
    std::memcpy(&first, request.bytes.data(), sizeof first);
    const Micros sinceEnd = std::max(Micros { 0 }, std::chrono::duration_cast<Micros>(now - lastEnd));
    const std::size_t turn = (first % m_count + static_cast<std::size_t>(sinceEnd / kTurn)) % m_count;
    const std::size_t turnsUntilOwn = (m_self + m_count - turn) % m_count;
    const Micros untilEndOfPause = kTurn * static_cast<Micros::rep>(turnsUntilOwn) + kPause - sinceEnd % kTurn;
    return std::max(Micros { 0 }, untilEndOfPause);
}

} // namespace curranttrail::policy
