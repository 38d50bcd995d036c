#pragma once

#include "core/units.h"

#include <array>
#include <cstddef>
#include <cstdint>

namespace curranttrail::policy {

// What a server takes well.
struct CapacityEstimate {
    // Number of requests in flight beyond which requests take longer, from 1 to the number of slots.
    double usableSlots = 1;
    // How much longer than usual requests take even below that. 1 if that is within the usual variation.
    double slowness = 1;
};

// Learns from the durations of attempts how much work one server takes well: the number of requests in flight up to which durations stay
// as they are, which may be lower than the number of slots, and how slow the server is below that. Observations lose weight within
// seconds, so that a server that has changed is used as any other again and shows what it takes by the requests that it then gets. There
// are no requests for the purpose of measurement.
class ServerCapacity {
public:
    // Records a reply: the requests that the server held meanwhile, this one included, and the duration as a ratio to the typical one of
    // its kind.
    void onReply(std::uint32_t inFlight, double ratio, std::uint32_t slots, TimePoint now);
    // Without observations, a server is assumed to be as fast as others and to take as many requests as it has slots.
    CapacityEstimate estimate(std::uint32_t slots, TimePoint now) const;

private:
    // Replies while the server held a number of requests.
    struct Level {
        double weight = 0;
        // Weighted sum of the logarithms of the duration ratios.
        double sum = 0;
        TimePoint observedAt = TimePoint::min();
    };

    // The rise of durations beyond a number of requests in flight.
    struct Rise {
        std::size_t beyond = 0;
        // Logarithm of the factor by which durations rise.
        double amount = 0;
        // Weight of the observations on both sides. Zero if no rise was found.
        double evidence = 0;
        // Time of the latest observation beyond that number.
        TimePoint observedAt;
    };

    // The last level stands for all higher ones.
    static constexpr std::size_t kLevels = 16;

    Level sumOf(std::size_t first, std::size_t last) const;
    Rise findRise(std::size_t slots) const;
    // Returns how far a rise makes additional requests cost as much as if they waited: 0 not at all, 1 fully.
    double excessAt(const Rise& rise, TimePoint now) const;
    double decay(TimePoint now) const;

    std::array<Level, kLevels> m_levels {};
    // As of the latest reply, so that an estimate is cheap.
    Rise m_rise;
    Level m_usable;
    TimePoint m_updatedAt;
};

} // namespace curranttrail::policy
