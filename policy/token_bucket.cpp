#include "policy/token_bucket.h"

#include <algorithm>
#include <chrono>
#include <cmath>

namespace curranttrail::policy {

namespace {
    // A time that is computed from tokens and a rate may be short of the whole token by a rounding error.
    constexpr double kRoundingError = 1e-9;
} // namespace

void TokenBucket::configure(double tokensPerSecond, double capacity, TimePoint now)
{
    m_tokens = std::min(tokens(now), capacity);
    m_updatedAt = std::max(m_updatedAt, now);
    m_tokensPerSecond = tokensPerSecond;
    m_capacity = capacity;
}

void TokenBucket::add(double added, TimePoint now)
{
    m_tokens = std::min(m_capacity, tokens(now) + added);
    m_updatedAt = std::max(m_updatedAt, now);
}

void TokenBucket::clear(TimePoint now)
{
    m_tokens = 0;
    m_updatedAt = std::max(m_updatedAt, now);
}

double TokenBucket::tokens(TimePoint now) const
{
    const double elapsed = std::max(0.0, std::chrono::duration<double>(now - m_updatedAt).count());
    return std::min(m_capacity, m_tokens + elapsed * m_tokensPerSecond);
}

bool TokenBucket::tryAcquire(TimePoint now)
{
    if (tokens(now) < 1 - kRoundingError)
        return false;
    add(-1, now);
    return true;
}

Micros TokenBucket::timeUntilToken(TimePoint now) const
{
    const double missing = 1 - kRoundingError - tokens(now);
    if (missing <= 0)
        return Micros { 0 };
    const double micros = std::ceil(missing / m_tokensPerSecond * 1e6);
    if (m_capacity < 1 || !(micros < static_cast<double>(Micros::max().count())))
        return Micros::max();
    return Micros { static_cast<Micros::rep>(micros) };
}

} // namespace curranttrail::policy
