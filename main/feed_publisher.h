#pragma once

#include "control/control_reducer.h"
#include "control/feed.h"
#include "control/server_list_history.h"
#include "main/control_runtime.h"
#include "transport/event_sink.h"
#include "transport/frame_link.h"

#include <cstdint>
#include <map>
#include <memory>
#include <vector>

namespace curranttrail {

// Answers the entry instances that watch this control instance: at once if there is news or another instance leads, else when
// that comes or after a while. All functions run on the frame loop's thread unless they say otherwise.
class FeedPublisher {
public:
    FeedPublisher(transport::EventLoop& loop, ControlRuntime& runtime, transport::EventSink& sink);

    void watch(control::WatchRequest request, transport::FrameResponder respond);
    // Takes a complete list of servers. May be called from any thread.
    void setServers(routing::ServerList servers);
    // Answers all that wait, because a document was committed. May be called from any thread.
    void documentChanged();
    // Looks again at all that wait, because another instance leads or this one does. May be called from any thread.
    void leaderChanged(bool leads);
    // Answers those that have waited for long.
    void tick();

private:
    struct Waiting {
        control::WatchRequest request;
        transport::FrameResponder respond;
        TimePoint since;
        // Whether no instance led when it began to wait.
        bool withoutLeader = false;
    };

    void answer(Waiting waiting, bool mayWait);
    void answerAll();
    void reply(const Waiting& waiting, const control::ReplicaStatus& status, const control::HeldDocument& document);
    void updateEntryInstances(TimePoint now);

    transport::EventLoop& m_loop;
    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    std::vector<Waiting> m_waiting;
    std::map<InstanceName, TimePoint> m_seen;
    control::ServerListHistory m_history;
    // The entry instances of the last reply and their number.
    std::vector<InstanceName> m_entryInstances;
    control::ListVersion m_entryList;
    TimePoint m_listedAt;
};

} // namespace curranttrail
