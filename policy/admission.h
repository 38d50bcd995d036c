#pragma once

#include "core/class_target.h"

#include <cstdint>
#include <map>

namespace curranttrail::policy {

// Admission control: decides before any work whether a query on one collection can meet its class's target latency.
// The limit on queries in flight follows the observed queueing time. Classes with longer targets are shed first.
class Admission {
public:
    struct Demand {
        const ClassTarget* target = nullptr;
        Micros timeout { 0 };
        // Expected queueing time in this instance for the busiest shard.
        Micros predictedWait { 0 };
        // Typical duration of a subquery once it has been sent.
        Micros service { 0 };
    };

    // Sets the limit that applies until queueing times have been observed.
    void setInitialLimit(double limit);
    // Returns whether the query is admitted, and counts it as in flight if so.
    bool tryAdmit(const Demand& demand, TimePoint now);
    // Counts an admitted query as ended. The mean wait is taken over its subqueries.
    void onEnded(const ClassTarget& target, Micros meanWait, bool hadReplies, TimePoint now);

    bool hasObservations() const { return m_hasObservations; }
    double limit() const { return m_limit; }
    std::uint32_t inFlight() const { return m_inFlight; }

private:
    struct OwnerState {
        std::uint32_t inFlight = 0;
        TimePoint lastSeenAt;
    };

    void evictIdle(TimePoint now);
    Micros shortestTarget() const;
    double ownerLimit(const OwnerName& owner) const;

    double m_limit = 4;
    bool m_hasObservations = false;
    std::uint32_t m_inFlight = 0;
    double m_smoothedWait = 0;
    // Share of the limit up to which classes with longer targets are admitted.
    double m_ordinaryLimitShare = 0.7;
    // Admissions left to classes with longer targets even if the most urgent class uses up the limit.
    double m_ordinaryTokens = 1;
    std::map<OwnerName, OwnerState> m_owners;
    std::map<Micros, TimePoint> m_targets;
};

} // namespace curranttrail::policy
