#pragma once

#include "control/messages.h"
#include "main/control_runtime.h"
#include "main/control_settings.h"
#include "main/version_report_table.h"
#include "transport/control_client.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <functional>
#include <map>
#include <memory>
#include <string>

namespace curranttrail {

// Handlers of messages about usage. Called on the thread of an event loop; may be empty.
struct UsageHandlers {
    std::function<void(const std::string& batch, const transport::FrameResponder& respond)> ship;
    std::function<void(const InstanceName& from, const std::string& message)> exchange;
};

// The frame connections of a control instance: one server for the group, which only its replicas can reach, and one for
// entry instances and other owners. Each has a thread of its own, so that entry traffic does not delay the group's heartbeats.
class ControlLinks {
public:
    // Starts to listen. Throws std::runtime_error if a key or an address cannot be used.
    ControlLinks(const ControlSettings& settings, transport::EventSink& sink, VersionReportTable& versionReports);
    ~ControlLinks();
    ControlLinks(const ControlLinks&) = delete;
    ControlLinks& operator=(const ControlLinks&) = delete;

    std::uint16_t groupPort() const { return m_groupServer->port(); }
    std::uint16_t framesPort() const { return m_frameServer->port(); }

    // Starts to handle messages.
    void start(ControlRuntime& runtime, const std::vector<GroupPeer>& peers, UsageHandlers usage);
    // Closes all connections; no message is handled afterwards.
    void stop();

    void sendToPeer(const InstanceName& to, const control::PeerMessage& message);

    // Submits a command to this replica, or forwards it once to the leader if another replica leads. The callback runs exactly once.
    void submit(control::Command command, Micros timeout, transport::SubmitCallback callback);

    // Sends a message of the usage ledger to another control instance, of this group or of another owner.
    void sendToLedger(const InstanceName& to, std::string message);

private:
    struct PendingCommand;

    transport::LinkOptions linkOptions(const std::string& key, std::size_t maximumBodyBytes) const;
    void receiveFromGroup(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    void receive(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    void answerConfiguration(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    void answerCommand(const transport::IncomingFrame& frame, const transport::FrameResponder& respond, bool fromGroup);
    void forwardToLeader(const InstanceName& leader, const std::shared_ptr<PendingCommand>& pending, Micros timeout);
    void refuse(const transport::IncomingFrame& frame, std::string_view reason);

    const InstanceName m_name;
    const OwnerName m_owner;
    const DataCentreName m_dataCentre;
    transport::EventSink& m_sink;
    VersionReportTable& m_versionReports;
    transport::LinkOptions m_groupOptions;
    transport::LinkOptions m_frameOptions;
    std::vector<PartnerInstance> m_partners;
    UsageHandlers m_usage;
    std::atomic<ControlRuntime*> m_runtime { nullptr };
    transport::EventLoop m_groupLoop;
    transport::EventLoop m_frameLoop;
    std::map<InstanceName, std::unique_ptr<transport::FrameClient>> m_peerClients;
    std::map<InstanceName, std::unique_ptr<transport::FrameClient>> m_partnerClients;
    std::unique_ptr<transport::FrameServer> m_groupServer;
    std::unique_ptr<transport::FrameServer> m_frameServer;
};

} // namespace curranttrail
