#pragma once

#include "control/feed.h"
#include "control/messages.h"
#include "main/group_connection.h"
#include "policy/account_quota.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <set>
#include <string>
#include <vector>

namespace curranttrail {

// Returns the options of frame links that all processes connected to one control group share.
transport::LinkOptions groupLinkOptions(const std::string& name, const std::string& key, transport::EventSink& sink);

// The frame links of a control instance in a group whose members change. Members are named by their addresses, and a client
// is created when a message is first sent to a member.
class GroupLinks {
public:
    struct Handlers {
        std::function<void(const InstanceName& from, control::PeerMessage message)> peer;
        // The responder is empty if the sender expects no reply.
        std::function<void(const InstanceName& name, std::function<void(const control::JoinReply& reply)> respond)> join;
        std::function<void(const InstanceName& name, std::function<void(control::LeaveOutcome)> respond)> leave;
        std::function<void(control::WatchRequest request, transport::FrameResponder respond)> watch;
        std::function<void(const control::DocumentPartRequest& request, transport::FrameResponder respond)> fetchDocument;
        std::function<void(policy::QuotaReport report, transport::FrameResponder respond)> reportQuotas;
    };

    // Starts to listen. Throws std::runtime_error if the address cannot be used.
    GroupLinks(const InstanceName& self, const transport::Endpoint& bind, const std::string& key, transport::EventSink& sink);
    ~GroupLinks();
    GroupLinks(const GroupLinks&) = delete;
    GroupLinks& operator=(const GroupLinks&) = delete;

    // Starts to handle messages, on the loop's thread.
    void start(Handlers handlers);
    void stop();

    // Sets the instances whose clients are always kept. A client of another one is closed once it has not been used for some seconds, or to
    // make room for a new one. Called on the loop's thread.
    void setMembers(std::set<InstanceName> members);
    // Number of instances that this one is connected to, or tries to connect to.
    std::size_t clients() const;
    void sendToPeer(const InstanceName& to, const control::PeerMessage& message);
    // Asks an instance to let this one join the group. The callback runs on the loop's thread, only if the instance replies in time.
    void requestJoin(const InstanceName& to, Micros timeout, std::function<void(const control::JoinReply&)> callback);
    // Asks a member to let this instance leave the group. The callback runs on the loop's thread, only if the member replies in time.
    void requestLeave(const InstanceName& to, Micros timeout, std::function<void(control::LeaveOutcome)> callback);
    transport::EventLoop& loop() { return m_loop; }

private:
    struct Peer {
        std::unique_ptr<transport::FrameClient> client;
        std::chrono::steady_clock::time_point usedAt;
    };

    transport::FrameClient* clientFor(const InstanceName& name);
    bool makeRoom();
    void retire(std::map<InstanceName, Peer>::iterator peer);
    void closeRetired();
    void receive(const transport::IncomingFrame& frame, const transport::FrameResponder& respond);
    void refuse(const transport::IncomingFrame& frame, std::string_view reason);

    const InstanceName m_self;
    transport::EventSink& m_sink;
    const transport::LinkOptions m_options;
    transport::EventLoop m_loop;
    mutable std::mutex m_mutex;
    bool m_stopped = false;
    Handlers m_handlers;
    std::set<InstanceName> m_members;
    std::map<InstanceName, Peer> m_peers;
    // Clients that are closed on the loop's thread.
    std::vector<std::unique_ptr<transport::FrameClient>> m_retired;
    // Number of requests to join in a row without a reply.
    std::map<InstanceName, unsigned> m_unansweredJoins;
    std::unique_ptr<transport::FrameServer> m_server;
};

} // namespace curranttrail
