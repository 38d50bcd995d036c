#pragma once

#include "control/feed.h"
#include "control/member_directory.h"
#include "main/control_runtime.h"
#include "main/group_connection.h"
#include "main/group_links.h"
#include "transport/event_sink.h"

#include <functional>
#include <set>
#include <vector>

namespace curranttrail {

// Finds the group of a control instance that is no member or knows no leader, and helps others to find it. Only the leader admits an instance,
// and it need not be among the seeds, so each instance that is asked names the members. Functions run on the event loop's thread.
class GroupSearch {
public:
    GroupSearch(const InstanceName& self, GroupConnection groupConnection, GroupLinks& links, ControlRuntime& runtime, transport::EventSink& sink);

    // Replaces the seeds.
    void setSeeds(std::vector<transport::Endpoint> seeds) { m_groupConnection.seeds = std::move(seeds); }
    std::size_t seedCount() const { return m_groupConnection.seeds.size(); }
    std::set<InstanceName> seedNames() const;
    // Asks all known instances to let this one join, once a second while it has to.
    void update(const control::ReplicaStatus& status, TimePoint now);
    // Makes this instance known to seeds outside the group, which may know no member. For a leader, once in its term.
    void introduceToSeeds(const control::ReplicaStatus& status);
    // Takes a request of another instance to join. The responder is empty if the sender expects no reply.
    void takeRequest(const InstanceName& name, std::function<void(const control::JoinReply& reply)> respond);

private:
    void requestJoin(const InstanceName& target);

    const InstanceName m_self;
    GroupConnection m_groupConnection;
    GroupLinks& m_links;
    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    control::MemberDirectory m_directory;
    TimePoint m_lastRequest;
    control::Term m_introducedTerm = 0;
};

} // namespace curranttrail
