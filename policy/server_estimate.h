#pragma once

#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// What an instance expects of one backend server, from its own replies and from the load the server reports.
class ServerEstimate {
public:
    // The distance is the network round trip expected before the first reply.
    explicit ServerEstimate(Micros networkRoundTrip);

    void onReply(Micros total, Micros service, std::uint32_t slots, TimePoint now);
    // Counts an attempt that was given up after the given time, which its server would have exceeded.
    void onAbandoned(Micros elapsed, TimePoint now);
    void onReport(double load, TimePoint now);

    // Returns the time that one more subquery is expected to take. The collection's typical time stands in for missing or old samples.
    double expectedMicros(std::uint32_t inFlight, std::uint32_t slots, Micros typical, TimePoint now) const;
    // Returns the part of a reply's time that was spent neither on the network nor in service.
    Micros queueDelay(Micros total, Micros service) const;
    // Returns from 0 to 1 how much the reported load counts.
    double reportTrust(TimePoint now) const;

private:
    double expectedFromReport(std::uint32_t slots) const;

    double m_network = 0;
    double m_service = 0;
    double m_total = 0;
    double m_load = 0;
    double m_reportAgreement = 1;
    bool m_hasReply = false;
    bool m_hasReport = false;
    TimePoint m_repliedAt;
    TimePoint m_reportedAt;
};

} // namespace curranttrail::policy
