#pragma once

#include "core/class_target.h"
#include "transport/control_protocol.h"
#include "transport/frame_link.h"
#include "usage/messages.h"

#include <map>
#include <mutex>
#include <string>

namespace curranttrail::stand_ins {

// Answers like the leader of the control group of one owner, without a replicated log: configurations, claims, settlements and
// usage batches.
class ControlStandIn {
public:
    ControlStandIn(const OwnerName& owner, const std::string& clusterKey);

    std::uint16_t port() const { return m_server.port(); }
    // Sets a class and increments the version of the owner's configuration.
    void setClass(const ClassTarget& target);
    // Sets whether the stand-in answers as a leader with a valid lease. Without it, commands are refused.
    void setLeading(bool leading);
    // Sets the time that the stand-in takes for each command and batch of usage records.
    void setDelay(Micros delay);
    // Returns the settled outcome of a claim, "held" if it is not settled, or "none" if there is no claim.
    std::string claimState(const std::string& requestId) const;

    // Returns the number of subqueries in the received usage records, counting each record once.
    std::uint64_t subqueriesBilled() const;

private:
    struct Claim {
        std::string holder;
        std::optional<Verdict> outcome;
    };

    void answer(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    void respondAfterDelay(const transport::FrameResponder& respond, std::string body);
    transport::ConfigurationAnswer configuration(const transport::FetchConfiguration& request) const;
    control::CommandResult run(const transport::SubmitCommand& command);
    std::string acknowledge(const std::string& batch);

    mutable std::mutex m_mutex;
    OwnerConfiguration m_configuration;
    bool m_leading = true;
    Micros m_delay { 0 };
    std::map<std::string, Claim> m_claims;
    std::map<std::pair<usage::ChainId, std::uint64_t>, usage::BillableUnits> m_records;
    transport::EventLoop m_loop;
    transport::FrameServer m_server;
};

} // namespace curranttrail::stand_ins
