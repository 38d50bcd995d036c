#include "policy/connection_shares.h"

#include <openssl/sha.h>

#include <algorithm>
#include <array>
#include <cstring>
#include <string>

namespace curranttrail::policy {

namespace {
    // Changes of the membership reach all instances well within this time.
    constexpr Micros kGracePeriod { 10'000'000 };
    // A fifth of each limit is reserved for instances that the others do not know yet. Up to two may join at once.
    constexpr std::uint32_t kReserveDivisor = 5;
    constexpr std::uint32_t kConcurrentJoiners = 2;
    // Minimum number of instances that a new one assumes during its first grace period.
    constexpr std::uint32_t kAssumedInstances = 8;
    // After a restart of all instances, the others become known within a fraction of this time. Until then the number of
    // instances of the largest deployments is assumed, since otherwise all would open too many connections at once.
    constexpr Micros kFirstViewPeriod { 600'000 };
    constexpr std::uint32_t kAssumedInstancesAtFirstView = 100;

    // All instances must compute the same ranks whatever their build, so a standardised hash is used.
    std::uint64_t rank(std::string_view server, const InstanceName& instance)
    {
        std::string text { server };
        text += '\0';
        text += instance;
        std::array<unsigned char, SHA256_DIGEST_LENGTH> digest {};
        SHA256(reinterpret_cast<const unsigned char*>(text.data()), text.size(), digest.data());
        std::uint64_t value = 0;
        std::memcpy(&value, digest.data(), sizeof value);
        return value;
    }
} // namespace

void ConnectionShares::setInstances(const InstanceName& self, std::vector<InstanceName> instances, TimePoint now)
{
    m_self = self;
    instances.push_back(self);
    std::sort(instances.begin(), instances.end());
    instances.erase(std::unique(instances.begin(), instances.end()), instances.end());
    if (m_views.empty()) {
        m_joinedAt = now;
        m_isFirstView = true;
    } else if (m_views.back().instances == instances) {
        return;
    } else {
        m_views.back().replacedAt = now;
    }
    m_views.push_back({ std::move(instances), kNever });
}

std::uint32_t ConnectionShares::instanceCount() const
{
    return m_views.empty() ? 1 : static_cast<std::uint32_t>(m_views.back().instances.size());
}

std::uint32_t ConnectionShares::maximumInstanceCount(TimePoint now) const
{
    std::size_t largest = 1;
    for (const View& view : m_views)
        largest = std::max(largest, view.instances.size());
    const bool isJoining = m_views.empty() || (m_joinedAt != kNever && now - m_joinedAt < kGracePeriod);
    const std::uint32_t assumed = m_isFirstView ? kAssumedInstancesAtFirstView : (isJoining ? kAssumedInstances : 1U);
    return std::max(static_cast<std::uint32_t>(largest), assumed);
}

bool ConnectionShares::expire(TimePoint now)
{
    bool changed = m_isFirstView && now - m_joinedAt >= kFirstViewPeriod;
    if (changed)
        m_isFirstView = false;
    while (m_views.size() > 1 && now - m_views.front().replacedAt >= kGracePeriod) {
        m_views.pop_front();
        changed = true;
    }
    if (m_joinedAt != kNever && now - m_joinedAt >= kGracePeriod) {
        m_joinedAt = kNever;
        changed = true;
    }
    return changed;
}

std::uint32_t ConnectionShares::share(std::string_view server, std::uint32_t limit, TimePoint now) const
{
    if (m_views.empty())
        return 0;
    const std::uint32_t reserve = limit / kReserveDivisor;
    std::uint32_t smallest = limit;
    for (const View& view : m_views)
        smallest = std::min(smallest, shareInView(server, limit - reserve, m_self, view.instances));
    if (m_joinedAt != kNever && now - m_joinedAt < kGracePeriod)
        smallest = std::min(smallest, (reserve + kConcurrentJoiners - 1) / kConcurrentJoiners);
    return smallest;
}

std::uint32_t ConnectionShares::shareInView(
    std::string_view server, std::uint32_t limit, const InstanceName& self, const std::vector<InstanceName>& instances)
{
    const std::uint32_t count = static_cast<std::uint32_t>(instances.size());
    if (count == 0)
        return 0;
    const std::uint32_t remainder = limit % count;
    if (remainder == 0)
        return limit / count;
    const std::uint64_t own = rank(server, self);
    const std::ptrdiff_t above = std::count_if(instances.begin(), instances.end(), [&](const InstanceName& other) {
        const std::uint64_t theirs = rank(server, other);
        return theirs > own || (theirs == own && other < self);
    });
    return limit / count + (above < static_cast<std::ptrdiff_t>(remainder) ? 1 : 0);
}

} // namespace curranttrail::policy
