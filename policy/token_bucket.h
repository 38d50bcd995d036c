#pragma once

#include "core/units.h"

namespace curranttrail::policy {

// Tokens that accumulate at a constant rate up to a capacity. A new bucket is empty.
class TokenBucket {
public:
    explicit TokenBucket(TimePoint now)
        : m_updatedAt(now)
    {
    }

    // Sets the rate and the capacity. Tokens beyond the capacity are lost.
    void configure(double tokensPerSecond, double capacity, TimePoint now);
    void add(double tokens, TimePoint now);
    void clear(TimePoint now);
    double tokens(TimePoint now) const;
    // Takes a token. Returns false if there is none.
    bool tryAcquire(TimePoint now);
    // Returns the time until there is a token, or Micros::max() if there will be none.
    Micros timeUntilToken(TimePoint now) const;

private:
    double m_tokensPerSecond = 0;
    double m_capacity = 0;
    double m_tokens = 0;
    TimePoint m_updatedAt;
};

} // namespace curranttrail::policy
