#pragma once

#include "core/class_target.h"
#include "transport/control_protocol.h"
#include "transport/frame_link.h"
#include "usage/messages.h"

#include <map>
#include <mutex>
#include <string>

namespace curranttrail::stand_ins {

// Answers as the leader of one owner's control group would, without a log: configurations, claims and settlements.
class ControlStandIn {
public:
    ControlStandIn(const OwnerName& owner, const std::string& clusterKey);

    std::uint16_t port() const { return m_server.port(); }
    // Sets a class at the next version of the owner's configuration.
    void setClass(const ClassTarget& target);
    // Whether answers say that this is a leader with a valid lease. Others refuse commands.
    void setLeading(bool leading);
    // The settled outcome of a claim, "held" or "none".
    std::string claimState(const std::string& requestId) const;

    // Subqueries in the usage records received, each record counted once.
    std::uint64_t subqueriesBilled() const;

private:
    struct Claim {
        std::string holder;
        std::optional<Verdict> outcome;
    };

    void answer(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    transport::ConfigurationAnswer configuration(const transport::FetchConfiguration& request) const;
    control::CommandResult run(const transport::SubmitCommand& command);
    std::string acknowledge(const std::string& batch);

    mutable std::mutex m_mutex;
    OwnerConfiguration m_configuration;
    bool m_leading = true;
    std::map<std::string, Claim> m_claims;
    std::map<std::pair<usage::ChainId, std::uint64_t>, usage::BillableUnits> m_records;
    transport::FrameLoop m_loop;
    transport::FrameServer m_server;
};

} // namespace curranttrail::stand_ins
