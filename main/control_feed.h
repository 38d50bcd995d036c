#pragma once

#include "control/crash_exchange.h"
#include "control/document_transfer.h"
#include "control/feed.h"
#include "control/member_directory.h"
#include "main/group_connection.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <functional>
#include <map>
#include <memory>
#include <set>
#include <string>
#include <vector>

namespace curranttrail {

// Watches the leader of a control group, which it finds among the seeds and the members that replies name.
class ControlFeed {
public:
    // Callbacks, which run on the feed's own thread.
    struct Handlers {
        // Called with a leader's reply, the crash records in it and the boot time at which the request was sent.
        std::function<void(control::WatchReply reply, std::vector<policy::CrashRecord> crashes, TimePoint requestSentAt)> reply;
        // Called with a document that was fetched in parts.
        std::function<void(std::string content)> document;
        // Called with the servers that leave according to a control instance that knows no leader.
        std::function<void(std::vector<std::string> servers, Micros age)> serversLeaving;
        // Called after each reportQuotas(), without a reply if the leader does not answer.
        std::function<void(std::optional<policy::QuotaReply> reply)> quotasReplied;
        // Called when the watched leader no longer answers.
        std::function<void()> disconnected;
    };

    ControlFeed(const control::EntryInstance& instance, GroupConnection groupConnection, transport::EventSink& sink, Handlers handlers);
    ~ControlFeed();
    ControlFeed(const ControlFeed&) = delete;
    ControlFeed& operator=(const ControlFeed&) = delete;

    // Replaces the seeds.
    void setSeeds(std::vector<transport::Endpoint> seeds);
    // Tells the leader that this instance opens no more connections for others.
    void withdrawRelay();
    // Tells the leader of crash records of this instance that changed.
    void shareCrashes(std::vector<policy::CrashRecord> records);
    // Sends the leader a report of quotas.
    void reportQuotas(const policy::QuotaReport& report);

private:
    void watch();
    void handleResult(const transport::RequestResult& result, TimePoint requestSentAt);
    void handleReply(control::WatchReply reply, TimePoint requestSentAt);
    void takeLeavingServers(std::vector<std::string> servers, Micros age);
    void reportLost(std::string_view reason);
    void reportMissingLeader(std::string_view reason);
    // Returns the control instances that this instance may ask.
    std::set<InstanceName> knownInstances() const;
    void connectTo(const InstanceName& name);
    void connectToNext();
    void watchAfter(Micros delay);
    void fetchNextPart();
    void handlePart(const transport::RequestResult& result);
    void sendQuotaReport(const std::string& report);

    const InstanceName m_name;
    GroupConnection m_groupConnection;
    transport::EventSink& m_sink;
    Handlers m_handlers;
    const transport::LinkOptions m_options;
    // Used only on the loop's thread.
    control::WatchRequest m_nextWatch;
    control::CrashExchange m_crashes;
    control::DocumentTransfer m_transfer;
    bool m_isFetchingPart = false;
    // False if the current control instance does not answer requests for parts, as one of an earlier build. It sends documents whole then.
    bool m_sendsParts = true;
    std::map<InstanceName, TimePoint> m_sendsNoPartsUntil;
    // True once the current control instance has sent a part.
    bool m_hasSentPart = false;
    TimePoint m_partRequestedAt;
    // True if the current control instance has replied to a watch request since the last request for a part.
    bool m_isAliveSinceRequest = false;
    control::MemberDirectory m_members;
    InstanceName m_target;
    bool m_following = false;
    // Why each control instance did not serve as the leader, since the last report of a missing leader.
    std::map<InstanceName, std::string> m_outcomes;
    TimePoint m_leaderlessSince;
    TimePoint m_nextLeaderReport;
    unsigned m_redirects = 0;
    transport::EventLoop m_loop;
    std::unique_ptr<transport::FrameClient> m_client;
};

} // namespace curranttrail
