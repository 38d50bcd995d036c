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
    FeedPublisher(transport::FrameLoop& loop, ControlRuntime& runtime, transport::EventSink& sink);

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
    struct PendingWatch {
        control::WatchRequest request;
        transport::FrameResponder respond;
        TimePoint since;
        // Whether no instance led when it began to wait.
        bool withoutLeader = false;
    };

    void replyOrWait(PendingWatch pending, bool mayWait);
    void replyToAll();
    void reply(const PendingWatch& pending, const control::ReplicaStatus& status, const control::HeldDocument& document);
    void updateEntryInstances(TimePoint now);

    transport::FrameLoop& m_loop;
    ControlRuntime& m_runtime;
    transport::EventSink& m_sink;
    std::vector<PendingWatch> m_pendingWatches;
    std::map<InstanceName, TimePoint> m_lastWatchTimes;
    control::ServerListHistory m_history;
    // The entry instances of the last reply and their number.
    std::vector<InstanceName> m_entryInstances;
    control::ListVersion m_entryListVersion;
    TimePoint m_serverListTime;
};

} // namespace curranttrail
