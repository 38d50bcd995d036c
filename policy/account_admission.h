#pragma once

#include "core/ids.h"
#include "core/random.h"
#include "core/units.h"

#include <cstdint>
#include <map>
#include <string>

namespace curranttrail::policy {

// Decides which requests to refuse at once while the servers of a group of collections have too little room for all: first those of the
// accounts that ask for most, in proportion to their weights, and of one account the less urgent. Requests of accounts that keep within
// their share of the room are admitted. An instance sees its own requests only; the room it learns from what servers report with replies.
class AccountAdmission {
public:
    struct Demand {
        std::string account;
        // Share of the room in relation to other accounts. 0 stands for the mean of the others.
        double weight = 0;
        // Lower values are more urgent.
        std::uint32_t priority = 0;
    };

    // Records the number of requests that a server reported to have, divided by the number that it runs at once.
    void recordLoad(double requestsPerSlot, TimePoint now);
    // Decides on a request, and counts it.
    bool tryAdmit(const Demand& demand, TimePoint now);
    // Counts an admitted request as ended.
    void recordEnd(TimePoint now);
    // Returns a random delay for a refused request. The more are refused, the longer is the time over which they come back.
    Micros retryAfter(Random& random) const;
    // Returns the part of the demand for which there is room, from 0 to 1.
    double room() const { return m_room; }

private:
    struct Class {
        double demand = 0;
        // Part of a request that the class may still send; fractions add up.
        double credit = 1;
    };
    struct Account {
        double weight = 0;
        std::map<std::uint32_t, Class> classes;

        double demand() const;
        // Returns the demand beyond one request, which an instance cannot tell from the usual demand of a small account.
        double excess() const;
    };

    void decayRates(TimePoint now);
    void decayDemand(TimePoint now);
    void updateRoom(TimePoint now);
    double meanWeight() const;
    double weightOf(const Account& account) const;
    // Returns the excess that an account of weight 1 may have, so that the admitted demand fits into the room.
    double excessPerWeight() const;
    double admittedShare(const Account& account, std::uint32_t priority) const;

    std::map<std::string, Account> m_accounts;
    TimePoint m_demandDecayedAt;
    TimePoint m_ratesDecayedAt;
    // Sum of the recent loads, and their number.
    double m_load = 0;
    double m_loads = 0;
    // Recent requests that arrived, and those that ended.
    double m_arrived = 0;
    double m_ended = 0;
    double m_room = 1;
    TimePoint m_roomUpdatedAt;
};

} // namespace curranttrail::policy
