#include "policy/key_lease.h"

#include <algorithm>

namespace curranttrail::policy {

namespace {
    // Fraction of the limit that covers clocks of different speed and the resolution at which a suspension is noticed.
    constexpr int kMarginDivisor = 50;
} // namespace

KeyLease::KeyLease(Micros revocationLimit)
    : m_duration(revocationLimit - revocationLimit / kMarginDivisor)
{
}

void KeyLease::confirm(TimePoint requestSentAt)
{
    m_confirmedAt = std::max(m_confirmedAt, requestSentAt);
}

bool KeyLease::isValid(TimePoint now) const
{
    return age(now) <= m_duration;
}

Micros KeyLease::age(TimePoint now) const
{
    return m_confirmedAt == TimePoint::min() ? Micros::max() : now - m_confirmedAt;
}

} // namespace curranttrail::policy
