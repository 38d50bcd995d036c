#pragma once

#include "core/units.h"

#include <cstdint>

namespace curranttrail::policy {

// Expected reply time of one backend server, estimated from its replies and from the load that it reports.
class ServerEstimate {
public:
    // The network round-trip time is assumed until the first reply.
    explicit ServerEstimate(Micros networkRoundTrip);

    void onReply(Micros total, Micros service, std::uint32_t slots, TimePoint now);
    // Records an attempt that was abandoned after the given time, as a lower bound of its duration.
    void onAbandoned(Micros elapsed, TimePoint now);
    void onReport(double load, TimePoint now);

    // Returns the expected duration of one more subquery. The collection's typical latency replaces missing or old samples.
    double expectedMicros(std::uint32_t inFlight, std::uint32_t slots, Micros typical, TimePoint now) const;
    // Returns the part of a reply's duration that was spent neither on the network nor in service.
    Micros queueDelay(Micros total, Micros service) const;
    // Returns the weight of the reported load, from 0 to 1.
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
